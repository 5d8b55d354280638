package engine

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// load is the load that the engine reports in its metrics.
type load struct {
	running int
	waiting int
	// Share of the prefix cache in use, 0 to 1.
	cacheUse float64
}

type loadSample struct {
	at time.Time
	load
}

// loadHistory keeps recent loads, oldest first, so that reports can lag.
type loadHistory []loadSample

// record adds a load and removes samples older than the one that a report with
// this lag uses now.
func (s *loadHistory) record(now time.Time, current load, lag time.Duration) {
	*s = append(*s, loadSample{now, current})
	n := 0
	for n+1 < len(*s) && !(*s)[n+1].at.After(now.Add(-lag)) {
		n++
	}
	*s = (*s)[n:]
}

// at returns the load at a moment, zero if there is no sample as old as that.
func (s loadHistory) at(moment time.Time) load {
	o := load{}
	for _, l := range s {
		if l.at.After(moment) {
			break
		}
		o = l.load
	}
	return o
}

// Metrics of the kind that model engines export: request counts and a ratio.
var (
	descRunning = prometheus.NewDesc("engine_requests_running", "Requests in a slot, as of the report lag.", nil, nil)
	descWaiting = prometheus.NewDesc("engine_requests_waiting", "Requests that wait for a slot, as of the report lag.", nil, nil)
	descCache   = prometheus.NewDesc("engine_cache_use_ratio", "Use of the prefix cache from 0 to 1, as of the report lag.", nil, nil)
	descSlots   = prometheus.NewDesc("engine_slots", "Requests that run at the same time at most.", nil, nil)
	descStart   = prometheus.NewDesc("process_start_time_seconds", "Start of the process in Unix seconds.", nil, nil)
)

// collector reports the load and the start of the process to Prometheus.
type collector struct{ engine *Engine }

// Describe sends the descriptions of the metrics.
func (s collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- descRunning
	descriptions <- descWaiting
	descriptions <- descCache
	descriptions <- descSlots
	descriptions <- descStart
}

// Collect sends the load as it was one load lag ago.
func (s collector) Collect(metrics chan<- prometheus.Metric) {
	var l load
	var b time.Time
	s.engine.runTask(func(t *scheduler, now time.Time) {
		l = t.loads.at(now.Add(-t.config.loadLag))
		b = t.processStart
	})
	g := func(d *prometheus.Desc, v float64) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	g(descRunning, float64(l.running))
	g(descWaiting, float64(l.waiting))
	g(descCache, l.cacheUse)
	g(descSlots, float64(s.engine.config.slots))
	g(descStart, float64(b.UnixMilli())/1000)
}
