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
	// Left between the end of the running calls and that of the drain.
	drainReserve = 5 * time.Second
	// Calls may run so long when the drain has no deadline.
	defaultDrain = 60 * time.Second
)

// Jobs runs the jobs of one scheduler.
type Jobs struct {
	id     string
	store  trail.Store
	bulk   trail.BulkStore
	caller trail.Caller
	v      trail.Views
	l      log.Interface
	news   chan news
	ends   chan ending
	drains chan time.Time
	// Jobs of the system that have not ended.
	active atomic.Int64
	// Closed when the drain starts, after drainUntil is set.
	draining   chan struct{}
	drainUntil time.Time
	// Closed when the drain has ended.
	drained  chan struct{}
	done     chan struct{}
	attempts prometheus.Counter
	items    *prometheus.CounterVec
	commits  *prometheus.CounterVec
	owned    prometheus.Gauge
}

var kindNames = map[kind]string{
	committed: "committed", changed: "changed", failed: "failed", unknown: "unknown", gone: "gone",
}

// New starts to run the jobs for which member id is preferred. Its tasks end
// with c.
func New(c context.Context, id string, store trail.Store, bulk trail.BulkStore, caller trail.Caller, v trail.Views, l log.Interface, r prometheus.Registerer) *Jobs {
	f := promauto.With(r)
	s := &Jobs{
		id: id, store: store, bulk: bulk, caller: caller, v: v, l: l,
		news: make(chan news), ends: make(chan ending), drains: make(chan time.Time),
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
	go s.run(c)
	go s.follow(c)
	return s
}

// Drain stops dispatch, commits what is finished and leaves the jobs to other
// members. It returns when all jobs are left, or with the error of c.
func (s *Jobs) Drain(c context.Context) error {
	u := time.Now().Add(defaultDrain)
	d, o := c.Deadline()
	if o {
		u = d.Add(-drainReserve)
	}
	select {
	case s.drains <- u:
	case <-s.done:
		return nil
	case <-c.Done():
		return c.Err()
	}
	select {
	case <-s.drained:
		return nil
	case <-s.done:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// preferred says whether this member is to own a job.
func (s *Jobs) preferred(id string) bool {
	return owner.First(s.v.Latest().GetMembers(), "sched", id, "").GetId() == s.id
}

// model returns the model of a service, empty for a plain one, and the version
// of the configuration that says so.
func (s *Jobs) model(service string) (string, int64) {
	g := s.v.Latest().GetConfig()
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

func isNotFound(e error) bool { return errors.Is(e, trail.ErrNotFound) }
