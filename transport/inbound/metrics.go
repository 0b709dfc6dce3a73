package inbound

import (
	"github.com/prometheus/client_golang/prometheus"

	"gentiangauge.example/gentiangauge/state/shedding"
)

// collector reads the metrics of an account as they are asked for.
type collector struct {
	account                                             *shedding.Account
	held, heldBound, open, bound, refused, ended, short *prometheus.Desc
}

// RegisterMetrics registers the metrics of an account.
func RegisterMetrics(r prometheus.Registerer, a *shedding.Account) {
	of := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("gentiangauge_inbound_"+name, help, labels, nil)
	}
	r.MustRegister(&collector{
		account:   a,
		held:      of("held_bytes", "Memory that is held for clients and upstreams, by use.", "use"),
		heldBound: of("held_bound_bytes", "Bound of that memory, by use.", "use"),
		open:      of("connections", "Open connections, by door.", "door"),
		bound:     of("connections_bound", "Bound of the open connections, by door.", "door"),
		refused:   of("refused_connections_total", "Connections that were closed at once, by door.", "door"),
		ended:     of("yielded_connections_total", "Connections that ended to make room for others, by door and by what they were used for.", "door", "phase"),
		short:     of("short_bodies_total", "Bodies that found no memory, by use.", "use"),
	})
}

// Describe implements prometheus.Collector.
func (x *collector) Describe(c chan<- *prometheus.Desc) { prometheus.DescribeByCollect(x, c) }

// Collect implements prometheus.Collector.
func (x *collector) Collect(c chan<- prometheus.Metric) {
	s := x.account.Status()
	gauge := func(d *prometheus.Desc, v float64, label string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, label)
	}
	count := func(d *prometheus.Desc, v int64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	for _, u := range shedding.Uses() {
		gauge(x.held, float64(s.Held[u]), u.String())
		gauge(x.heldBound, float64(s.Limits.Held[u]), u.String())
		count(x.short, s.Counts.Short[u], u.String())
	}
	for _, d := range shedding.Doors() {
		gauge(x.open, float64(s.Open[d]), d.String())
		gauge(x.bound, float64(s.Limits.Connections[d]), d.String())
		count(x.refused, s.Counts.Refused[d], d.String())
	}
	for y, n := range s.Counts.Yielded {
		count(x.ended, n, y.Door.String(), y.Phase.String())
	}
}
