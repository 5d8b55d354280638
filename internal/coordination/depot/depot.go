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

// Depot serves segments and stored answers from the data folder of one host.
type Depot struct {
	id       string
	mesh     *mesh.Mesh
	views    trail.Views
	logger   log.Interface
	segments *seglog.Store
	answers  *answer.Log
	// Messages to the goroutine that owns the registrations and the drain
	// state.
	messages     chan message
	done         chan struct{}
	segmentBytes *prometheus.CounterVec
	operations   *prometheus.CounterVec
	// Limits the rate at which segments are fetched from other depots and
	// answers are sent to them when copies are replaced.
	copyRate *rate.Limiter
	// Number of lost or restarted depots for which the check of second copies
	// has not finished.
	pending prometheus.Gauge
	// Segments and answers whose second copy was checked, by kind and result.
	checked *prometheus.CounterVec
}

// New opens the data folder of a member. The depot's goroutines end with ctx.
func New(ctx context.Context, id, folder string, mesh *mesh.Mesh, views trail.Views, logger log.Interface, registerer prometheus.Registerer) (*Depot, error) {
	s, e := seglog.New(filepath.Join(folder, segmentFolder), logger)
	if e != nil {
		return nil, e
	}
	a, e := answer.New(ctx, filepath.Join(folder, answerFolder), logger)
	if e != nil {
		return nil, e
	}
	f := promauto.With(registerer)
	d := &Depot{
		id: id, mesh: mesh, views: views, logger: logger, segments: s, answers: a,
		messages: make(chan message),
		done:     make(chan struct{}),
		segmentBytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_depot_bytes_total",
			Help: "Bytes of segments by direction.",
		}, []string{"direction"}),
		operations: f.NewCounterVec(prometheus.CounterOpts{
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
	go d.run(ctx)
	go d.watchLosses(ctx)
	return d, nil
}

// Drain rejects new segments, answers and registrations, and returns when the
// writes in progress have ended or ctx ends. Reads are served until the process
// ends.
func (d *Depot) Drain(ctx context.Context) error {
	w := make(chan struct{})
	e := d.sendMessage(ctx, message{drained: w})
	if e != nil {
		return e
	}
	select {
	case <-w:
		d.logger.Info("depot: drained")
		return nil
	case <-d.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}
