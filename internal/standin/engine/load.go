package engine

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// load is what an engine reports of itself.
type load struct {
	running int
	waiting int
	// Use of the prefix cache, 0 to 1.
	cache float64
}

type loadAt struct {
	at time.Time
	load
}

// loads remembers recent loads, oldest first, so that reports can lag.
type loads []loadAt

// note adds a load and forgets those that no report needs any more.
func (s *loads) note(now time.Time, l load, lag time.Duration) {
	*s = append(*s, loadAt{now, l})
	n := 0
	for n+1 < len(*s) && !(*s)[n+1].at.After(now.Add(-lag)) {
		n++
	}
	*s = (*s)[n:]
}

// at returns the load at a time.
func (s loads) at(t time.Time) load {
	o := load{}
	for _, l := range s {
		if l.at.After(t) {
			break
		}
		o = l.load
	}
	return o
}

// Metrics, named as engines do: counts of requests, and a ratio.
var (
	descRunning = prometheus.NewDesc("engine_requests_running", "Requests in a slot, as of the report lag.", nil, nil)
	descWaiting = prometheus.NewDesc("engine_requests_waiting", "Requests that wait for a slot, as of the report lag.", nil, nil)
	descCache   = prometheus.NewDesc("engine_cache_use_ratio", "Use of the prefix cache from 0 to 1, as of the report lag.", nil, nil)
	descSlots   = prometheus.NewDesc("engine_slots", "Requests that run at the same time at most.", nil, nil)
)

// collector reports the load to Prometheus.
type collector struct{ s *Engine }

// Describe names the metrics.
func (s collector) Describe(c chan<- *prometheus.Desc) {
	c <- descRunning
	c <- descWaiting
	c <- descCache
	c <- descSlots
}

// Collect reads the load of a moment ago.
func (s collector) Collect(c chan<- prometheus.Metric) {
	var l load
	s.s.do(func(t *table, now time.Time) { l = t.loads.at(now.Add(-t.s.loadLag)) })
	g := func(d *prometheus.Desc, v float64) {
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	g(descRunning, float64(l.running))
	g(descWaiting, float64(l.waiting))
	g(descCache, l.cache)
	g(descSlots, float64(s.s.s.slots))
}
