package sched

import (
	"context"
	"io"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// The period between fetches: a slower response is outdated when it
	// arrives.
	fetchTimeout = time.Second
	// Limit on the size of one engine's metrics, which are held in memory.
	maxMetricsBytes = 1 << 20

	millisecondsPerSecond = 1000
)

// codeMetricsRefused is the error code of a fetch that was answered with a
// status other than 200.
const codeMetricsRefused = "metrics-refused"

// Names of the metrics that model engines export.
const (
	metricRunning = "engine_requests_running"
	metricWaiting = "engine_requests_waiting"
	metricSlots   = "engine_slots"
	// In Unix seconds.
	metricProcessStart = "process_start_time_seconds"
)

// fetchLoads starts a fetch of the load of each model engine that has no fetch
// in progress.
func (t *task) fetchLoads() {
	for _, n := range t.sortedHosts() {
		h := t.hosts[n]
		if t.fetching[n] || !h.GetReady() || !t.placer.IsModel(h.GetService()) {
			continue
		}
		t.fetching[n] = true
		go t.fetchLoad(h)
	}
}

func (t *task) fetchLoad(host *wire.Host) {
	c, f := context.WithTimeout(t.ctx, fetchTimeout)
	defer f()
	e := loadFetched{host: host.GetName()}
	r, x := t.metrics.Fetch(c, host.GetAddress())
	if x == nil {
		e = parseLoad(host.GetName(), io.LimitReader(r, maxMetricsBytes))
		_ = r.Close()
	}
	e.address = host.GetAddress()
	e.answered = x == nil || trail.CodeOf(x) == codeMetricsRefused
	t.scheduler.sendEvent(t.ctx, e)
}

// parseLoad reads the load from metrics in Prometheus text format. It is
// invalid without the number of running calls.
func parseLoad(host string, metrics io.Reader) loadFetched {
	p := expfmt.NewTextParser(model.UTF8Validation)
	m, e := p.TextToMetricFamilies(metrics)
	if e != nil {
		return loadFetched{host: host}
	}
	l := loadFetched{host: host}
	l.running, l.valid = firstCount(m[metricRunning])
	l.waiting, _ = firstCount(m[metricWaiting])
	l.slots, _ = firstCount(m[metricSlots])
	if len(m[metricProcessStart].GetMetric()) == 1 {
		n, _ := firstValue(m[metricProcessStart])
		l.processStart = int64(n * millisecondsPerSecond)
	}
	return l
}

// firstCount returns the value of a family's first metric, which is a count.
func firstCount(family *dto.MetricFamily) (int, bool) {
	n, f := firstValue(family)
	return int(n), f
}

// firstValue returns the value of a family's first metric. Engines export
// gauges; without a TYPE line the value is untyped.
func firstValue(family *dto.MetricFamily) (float64, bool) {
	l := family.GetMetric()
	if len(l) == 0 {
		return 0, false
	}
	return l[0].GetGauge().GetValue() + l[0].GetUntyped().GetValue(), true
}
