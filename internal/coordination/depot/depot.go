package depot

import (
	"context"
	"path/filepath"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/time/rate"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/answer"
	"bulrushtrail.example/trail/internal/state/seglog"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	segmentFolder = "segments"
	answerFolder  = "answers"
)

// Depot serves the operations of one host with a disk.
type Depot struct {
	id       string
	m        *mesh.Mesh
	v        trail.Views
	l        log.Interface
	segments *seglog.Store
	answers  *answer.Log
	// Messages to the task that owns the registrations and the drain.
	messages chan message
	done     chan struct{}
	bytes    *prometheus.CounterVec
	served   *prometheus.CounterVec
	// Bounds what this depot fetches of others and what it sends of answers
	// when copies are replaced.
	copyRate *rate.Limiter
	// Depots whose loss was not dealt with yet.
	pending prometheus.Gauge
	// Segments and answers whose second copy was checked.
	checked *prometheus.CounterVec
}

// New opens the data folder of member id. Its task ends with c.
func New(c context.Context, id, folder string, m *mesh.Mesh, v trail.Views, l log.Interface, r prometheus.Registerer) (*Depot, error) {
	s, e := seglog.New(filepath.Join(folder, segmentFolder), l)
	if e != nil {
		return nil, e
	}
	a, e := answer.New(c, filepath.Join(folder, answerFolder), l)
	if e != nil {
		return nil, e
	}
	f := promauto.With(r)
	d := &Depot{
		id: id, m: m, v: v, l: l, segments: s, answers: a,
		messages: make(chan message),
		done:     make(chan struct{}),
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_depot_bytes_total",
			Help: "Bytes of segments by direction.",
		}, []string{"direction"}),
		served: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_depot_operations_total",
			Help: "Operations served by result.",
		}, []string{"operation", "result"}),
		copyRate: rate.NewLimiter(copyBytesPerSecond, copyBurst),
		pending: f.NewGauge(prometheus.GaugeOpts{
			Name: "bulrushtrail_depot_recopy_pending",
			Help: "Depots lost or restarted for which the second copies of the data here were not all checked yet.",
		}),
		checked: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_depot_recopy_checked_total",
			Help: "Segments and answers whose second copy was checked after a loss, by kind and result.",
		}, []string{"kind", "result"}),
	}
	go d.run(c)
	go d.watchLosses(c)
	return d, nil
}

// Drain refuses new segments, answers and registrations, and returns when the
// writes in progress have ended or c ends. Reads are served until the process
// ends.
func (d *Depot) Drain(c context.Context) error {
	w := make(chan struct{})
	e := d.tell(c, message{drained: w})
	if e != nil {
		return e
	}
	select {
	case <-w:
		d.l.Info("depot: drained")
		return nil
	case <-d.done:
		return context.Canceled
	case <-c.Done():
		return c.Err()
	}
}
