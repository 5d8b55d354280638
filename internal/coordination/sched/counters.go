package sched

import "github.com/prometheus/client_golang/prometheus"

// Why a reply of a backend server was dropped.
const (
	// The attempt had been cancelled.
	dropLate = "late"
	// It names another attempt.
	dropCrossed = "crossed"
	// Its offset repeats or skips bytes.
	dropOffset = "offset"
)

// counters are the metrics of the scheduler.
type counters struct {
	decisions *prometheus.CounterVec
	dropped   *prometheus.CounterVec
}

func newCounters(r prometheus.Registerer) *counters {
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
	r.MustRegister(n.decisions, n.dropped)
	return n
}
