package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/owner"
)

const (
	// Time between the cancellation of the remaining calls and the deadline of
	// the drain, in which finished results are committed.
	commitReserve = 5 * time.Second
	// How long calls may still run when the drain has no deadline.
	defaultDrainTimeout = 60 * time.Second
)

// Jobs runs the jobs that one scheduler owns.
type Jobs struct {
	memberID      string
	store         trail.Store
	bulk          trail.BulkStore
	caller        trail.Caller
	views         trail.Views
	logger        log.Interface
	watchEvents   chan watchEvent
	taskEnds      chan taskEnd
	drainRequests chan time.Time
	// Number of jobs in the whole system that have not ended.
	unfinished atomic.Int64
	// Closed when the drain starts, after drainDeadline is set.
	draining      chan struct{}
	drainDeadline time.Time
	// Closed when a drain was started and no task runs any longer.
	drained  chan struct{}
	done     chan struct{}
	attempts prometheus.Counter
	items    *prometheus.CounterVec
	commits  *prometheus.CounterVec
	owned    prometheus.Gauge
}

var tryLabels = map[tryStatus]string{
	tryCommitted: "committed", tryReadBack: "changed", tryFailed: "failed", tryUnknown: "unknown", tryJobMissing: "gone",
}

// New starts to run the jobs for which member id is the preferred owner. The
// tasks end with ctx.
func New(ctx context.Context, id string, store trail.Store, bulk trail.BulkStore, caller trail.Caller, views trail.Views, logger log.Interface, registry prometheus.Registerer) *Jobs {
	f := promauto.With(registry)
	s := &Jobs{
		memberID: id, store: store, bulk: bulk, caller: caller, views: views, logger: logger,
		watchEvents: make(chan watchEvent), taskEnds: make(chan taskEnd), drainRequests: make(chan time.Time),
		draining: make(chan struct{}), drained: make(chan struct{}), done: make(chan struct{}),
		attempts: f.NewCounter(prometheus.CounterOpts{
			Name: "bulrushtrail_jobs_attempts_total",
			Help: "Batch calls started.",
		}),
		items: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_jobs_items_total",
			Help: "Ends of batch calls by what was decided for the item.",
		}, []string{"decision"}),
		commits: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_jobs_commits_total",
			Help: "Tries to commit results by result.",
		}, []string{"result"}),
		owned: f.NewGauge(prometheus.GaugeOpts{
			Name: "bulrushtrail_jobs_owned",
			Help: "Jobs that this member runs.",
		}),
	}
	go s.run(ctx)
	go s.watchJobs(ctx)
	return s
}

// Drain stops dispatch, commits finished results and leaves the jobs to other
// members. It returns nil once no task runs any longer or the context of New has
// ended, and the error of ctx if that ends first.
func (s *Jobs) Drain(ctx context.Context) error {
	u := time.Now().Add(defaultDrainTimeout)
	d, o := ctx.Deadline()
	if o {
		u = d.Add(-commitReserve)
	}
	select {
	case s.drainRequests <- u:
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-s.drained:
		return nil
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isPreferred reports whether this member is the preferred owner of a job.
func (s *Jobs) isPreferred(id string) bool {
	return owner.First(s.views.Latest().GetMembers(), "sched", id, "").GetId() == s.memberID
}

// serviceModel returns the model of a service, empty when the service is not of
// kind model, and the version of the configuration in which it was looked up.
func (s *Jobs) serviceModel(service string) (string, int64) {
	g := s.views.Latest().GetConfig()
	for _, x := range g.GetText().GetServices() {
		if x.GetName() != service || x.GetKind() != "model" {
			continue
		}
		if x.GetModel() != "" {
			return x.GetModel(), g.GetVersion()
		}
		return service, g.GetVersion()
	}
	return "", g.GetVersion()
}

func isNotFound(err error) bool { return errors.Is(err, trail.ErrNotFound) }
