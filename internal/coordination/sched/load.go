package sched

import (
	"context"
	"io"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A report that takes longer is of no use; the next one is due.
	fetchTimeout = time.Second
	// Bound on the memory for one engine's metrics.
	maxMetricsBytes = 1 << 20
)

// Metric names of the model engines.
const (
	metricRunning = "engine_requests_running"
	metricWaiting = "engine_requests_waiting"
	metricSlots   = "engine_slots"
)

// fetchLoads asks the model engines for their load, each at most once at a
// time.
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
	t.scheduler.sendEvent(t.ctx, e)
}

// parseLoad reads the load from metrics in Prometheus text format. It is not
// valid without the number of running calls.
func parseLoad(host string, metrics io.Reader) loadFetched {
	p := expfmt.NewTextParser(model.UTF8Validation)
	m, e := p.TextToMetricFamilies(metrics)
	if e != nil {
		return loadFetched{host: host}
	}
	l := loadFetched{host: host}
	l.running, l.valid = firstValue(m[metricRunning])
	l.waiting, _ = firstValue(m[metricWaiting])
	l.slots, _ = firstValue(m[metricSlots])
	return l
}

// firstValue returns the value of a family's first metric. Engines write gauges;
// without a TYPE line the value is untyped.
func firstValue(family *dto.MetricFamily) (int, bool) {
	l := family.GetMetric()
	if len(l) == 0 {
		return 0, false
	}
	return int(l[0].GetGauge().GetValue() + l[0].GetUntyped().GetValue()), true
}
