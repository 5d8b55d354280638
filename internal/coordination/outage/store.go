package outage

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/time/rate"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Failed calls in a row, without an answer in between, with which an outage begins.
	// Fewer occur when the platform loses single answers.
	failuresInOutage = 4
	// Interval between calls in an outage. It bounds how much later its end is noticed.
	probeInterval = 300 * time.Millisecond
)

// Store is a trail.StaleStore that makes few calls during an outage of the platform. It
// is safe for concurrent use.
type Store struct {
	next   trail.StaleStore
	logger log.Interface
	// Calls that were not made.
	suspendedTotal prometheus.Counter

	mu sync.Mutex
	// Failed calls since the last answer.
	failures int
	probes   *rate.Limiter
	// Calls of the current outage that were not made.
	suspended int
	since     time.Time
}

var _ trail.StaleStore = (*Store)(nil)

// New returns a store that makes its calls to next.
func New(next trail.StaleStore, logger log.Interface, registry prometheus.Registerer) *Store {
	return &Store{
		next: next, logger: logger, probes: rate.NewLimiter(rate.Every(probeInterval), 1),
		suspendedTotal: promauto.With(registry).NewCounter(prometheus.CounterOpts{
			Name: "bulrushtrail_platform_suspended_calls_total",
			Help: "Calls to the platform that were not made because it had not answered the last ones.",
		}),
	}
}

// begin returns an error if a call must not be made.
func (s *Store) begin(place string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures < failuresInOutage || s.probes.AllowN(time.Now(), 1) {
		return nil
	}
	s.suspended++
	s.suspendedTotal.Inc()
	e := errors.Mark(errors.New("the last calls were not answered"), trail.ErrUnavailable)
	return trail.WrapError(e, "platform-suspended", trail.NotRun, "call to the platform was not made").WithPlace(place)
}

// end records the outcome of a call that was made. A call that its caller has given up
// says nothing.
func (s *Store) end(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && errors.Is(err, trail.ErrUnavailable) {
		s.failures++
		if s.failures == failuresInOutage {
			s.since = time.Now()
			s.logger.WithError(err).Warn("outage: platform does not answer, few calls are made")
		}
		return
	}
	if s.failures >= failuresInOutage {
		s.logger.WithFields(log.Fields{"suspended": s.suspended, "ms": time.Since(s.since).Milliseconds()}).Info("outage: platform answers again")
	}
	s.failures, s.suspended = 0, 0
}

// Get implements trail.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (object.Object, error) {
	return s.one(ctx, name, func() (object.Object, error) { return s.next.Get(ctx, kind, name) })
}

// GetStale implements trail.StaleStore.
func (s *Store) GetStale(ctx context.Context, kind, name string) (object.Object, error) {
	return s.one(ctx, name, func() (object.Object, error) { return s.next.GetStale(ctx, kind, name) })
}

// Create implements trail.Store.
func (s *Store) Create(ctx context.Context, obj object.Object) (object.Object, error) {
	return s.one(ctx, obj.Name(), func() (object.Object, error) { return s.next.Create(ctx, obj) })
}

// Update implements trail.Store.
func (s *Store) Update(ctx context.Context, obj object.Object) (object.Object, error) {
	return s.one(ctx, obj.Name(), func() (object.Object, error) { return s.next.Update(ctx, obj) })
}

// Delete implements trail.Store.
func (s *Store) Delete(ctx context.Context, obj object.Object) error {
	_, e := s.one(ctx, obj.Name(), func() (object.Object, error) { return object.Object{}, s.next.Delete(ctx, obj) })
	return e
}

func (s *Store) one(ctx context.Context, place string, call func() (object.Object, error)) (object.Object, error) {
	e := s.begin(place)
	if e != nil {
		return object.Object{}, e
	}
	o, e := call()
	s.end(ctx, e)
	return o, e
}

// List implements trail.Store.
func (s *Store) List(ctx context.Context, kind string) ([]object.Object, int64, error) {
	return s.list(ctx, kind, s.next.List)
}

// ListStale implements trail.StaleStore.
func (s *Store) ListStale(ctx context.Context, kind string) ([]object.Object, int64, error) {
	return s.list(ctx, kind, s.next.ListStale)
}

func (s *Store) list(ctx context.Context, kind string, call func(ctx context.Context, kind string) ([]object.Object, int64, error)) ([]object.Object, int64, error) {
	e := s.begin(kind)
	if e != nil {
		return nil, 0, e
	}
	l, v, e := call(ctx, kind)
	s.end(ctx, e)
	return l, v, e
}

// Watch implements trail.Store. A watch follows a list, which shows whether the platform
// answers.
func (s *Store) Watch(ctx context.Context, kind string, after int64) (<-chan trail.Change, error) {
	return s.next.Watch(ctx, kind, after)
}
