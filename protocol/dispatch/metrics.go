package dispatch

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/route"
)

// Metrics are the counters and histograms of a dispatcher.
type Metrics struct {
	refusals   *prometheus.CounterVec
	firstParts *prometheus.HistogramVec
	// limitedSends counts the sends to upstreams that have set a rate limit.
	limitedSends *prometheus.CounterVec
	// breaks counts the connections that broke during a request.
	breaks *prometheus.CounterVec
	// continued counts the streams that went on after a break.
	continued *prometheus.CounterVec
}

// NewMetrics registers the metrics of a dispatcher.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiangauge_dispatch_refusals_total", Help: "Requests that got no answer of an upstream, by code.",
		}, []string{"code"}),
		firstParts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gentiangauge_dispatch_first_part_seconds", Help: "Time from sending a request to the first part of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"kind"}),
		limitedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiangauge_dispatch_limited_sends_total", Help: "Requests sent to upstreams that have set a rate limit, by way: first, retry or resume.",
		}, []string{"way"}),
	}
	m.breaks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiangauge_dispatch_breaks_total", Help: "Connections that broke during a request, by whether the upstream has ended.",
	}, []string{"ended"})
	m.continued = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiangauge_dispatch_streams_continued_total", Help: "Streams that went on after a break, by way: resume within one response, first or retry for a request that takes a stream up, unknown if it was refused.",
	}, []string{"way"})
	r.MustRegister(m.refusals, m.firstParts, m.limitedSends, m.breaks, m.continued)
	return m
}

func (m *Metrics) countRefusal(c refusal.Code) {
	m.refusals.WithLabelValues(string(c)).Inc()
}

func (m *Metrics) countLimitedSend(way string) {
	m.limitedSends.WithLabelValues(way).Inc()
}

func (m *Metrics) countBreak(ended bool) {
	m.breaks.WithLabelValues(strconv.FormatBool(ended)).Inc()
}

func (m *Metrics) countContinued(way string) {
	m.continued.WithLabelValues(way).Inc()
}

func (m *Metrics) observeFirstPart(k route.Kind, d time.Duration) {
	m.firstParts.WithLabelValues(k.String()).Observe(d.Seconds())
}
