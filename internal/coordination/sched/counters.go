package sched

import (
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Reasons for dropping a reply of a backend server.
const (
	// The attempt was cancelled before the reply arrived.
	dropLate = "late"
	// The reply carries the id of another attempt.
	dropCrossed = "crossed"
	// The offset of the reply repeats or skips bytes.
	dropOffset = "offset"
)

// counters contains the metrics of the scheduler.
type counters struct {
	decisions *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	queued    *prometheus.GaugeVec
	free      *prometheus.GaugeVec
}

func newCounters(registerer prometheus.Registerer) *counters {
	n := &counters{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_sched_decisions_total",
			Help: "Decisions by kind and reason.",
		}, []string{"kind", "reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_sched_dropped_replies_total",
			Help: "Replies of backend servers that belong to no attempt in flight or to another part of the answer.",
		}, []string{"reason"}),
	}
	n.queued = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bulrushtrail_sched_queued_calls",
		Help: "Calls that wait for a slot, by service and class.",
	}, []string{"service", "class"})
	n.free = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bulrushtrail_sched_free_online_slots",
		Help: "Slots that are free for online calls or held by batch calls, by service.",
	}, []string{"service"})
	registerer.MustRegister(n.decisions, n.dropped, n.queued, n.free)
	return n
}

// setLoads updates the gauges.
func (n *counters) setLoads(loads []*wire.ServiceLoad) {
	n.queued.Reset()
	n.free.Reset()
	for _, v := range loads {
		n.queued.WithLabelValues(v.GetService(), "online").Set(float64(v.GetQueuedOnline()))
		n.queued.WithLabelValues(v.GetService(), "batch").Set(float64(v.GetQueuedBatch()))
		n.free.WithLabelValues(v.GetService()).Set(float64(v.GetFreeOnlineSlots()))
	}
}
