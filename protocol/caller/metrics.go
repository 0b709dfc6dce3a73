package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentiangauge.example/gentiangauge/refusal"
)

// Metrics holds the counters and histograms of callers' requests.
type Metrics struct {
	refusals   *prometheus.CounterVec
	requests   *prometheus.CounterVec
	retries    prometheus.Counter
	loadWait   prometheus.Histogram
	quotaWait  prometheus.Histogram
	firstToken prometheus.Histogram
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gentiangauge_refusals_total", Help: "Refused requests by code."}, []string{"code"}),
		requests:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gentiangauge_answers_total", Help: "Requests answered whole by kind."}, []string{"kind"}),
		retries:    prometheus.NewCounter(prometheus.CounterOpts{Name: "gentiangauge_retries_total", Help: "Requests sent to an upstream again."}),
		loadWait:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gentiangauge_load_wait_seconds", Help: "Time that requests waited for an adapter load.", Buckets: prometheus.DefBuckets}),
		quotaWait:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gentiangauge_quota_wait_seconds", Help: "Time that requests waited for the quota owner.", Buckets: prometheus.DefBuckets}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gentiangauge_first_byte_seconds", Help: "Time until the first byte of an answer.", Buckets: prometheus.DefBuckets}),
	}
	r.MustRegister(m.refusals, m.requests, m.retries, m.loadWait, m.quotaWait, m.firstToken)
	return m
}

func (m *Metrics) countRefusal(c refusal.Code) {
	m.refusals.WithLabelValues(string(c)).Inc()
}

func (m *Metrics) countAnswer(kind string) {
	m.requests.WithLabelValues(kind).Inc()
}

func observe(h prometheus.Histogram, d time.Duration) {
	h.Observe(d.Seconds())
}
