package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/coordination/retry"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

const (
	// Attempts that did not run are repeated up to this number.
	maxRefusals = 4
	// Wait of callers while the front is not ready.
	notReadyWait = 500 * time.Millisecond
	// An attempt that may be repeated is given up when it has no answer after
	// this multiple of the route's target, and at least minAttempt.
	attemptTargets = 3
	minAttempt     = 250 * time.Millisecond
)

// Server serves online requests.
type Server struct {
	f  *fleet.Fleet
	p  *poison.Tracker
	up trail.Upstream
	l  log.Interface
	// Called when the loads of this front have changed.
	changed func()
	// Called when a backend server has more requests than slots.
	crowded func(server string)
	table   atomic.Pointer[rules.Table]

	m sync.Mutex
	// By service.
	budgets map[string]*retry.Budget

	ends  *prometheus.CounterVec
	first *prometheus.HistogramVec
	total *prometheus.HistogramVec
}

// New returns a server without a configuration.
func New(f *fleet.Fleet, p *poison.Tracker, up trail.Upstream, l log.Interface, r prometheus.Registerer, changed func(), crowded func(server string)) *Server {
	b := prometheus.ExponentialBuckets(0.005, 2, 12)
	return &Server{
		f: f, p: p, up: up, l: l, changed: changed, crowded: crowded, budgets: map[string]*retry.Budget{},
		ends: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_requests_total",
			Help: "Online requests by route kind and outcome (ok or error code).",
		}, []string{"service", "outcome"}),
		first: promauto.With(r).NewHistogramVec(prometheus.HistogramOpts{
			Name: "bulrushtrail_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: b,
		}, []string{"service"}),
		total: promauto.With(r).NewHistogramVec(prometheus.HistogramOpts{
			Name: "bulrushtrail_request_seconds", Help: "Time to the end of an answer.", Buckets: b,
		}, []string{"service"}),
	}
}

// SetTable puts a configuration in force. An older version than the present
// one is ignored.
func (s *Server) SetTable(t *rules.Table) {
	o := s.table.Load()
	if o == nil || t.Version() >= o.Version() {
		s.table.Store(t)
	}
}

// Table returns the configuration in force, nil before the first.
func (s *Server) Table() *rules.Table { return s.table.Load() }

// Serve answers a request on w. Path is the path of the request's target. The
// route must not be one of batch jobs. When nothing has been written, the
// error tells what to answer; its verdict is true for all attempts, and it has
// a wait where the caller may come back. When a part of the answer has been
// written, the error is one that Cut recognises, and the connection must be cut.
func (s *Server) Serve(c context.Context, u *wire.RouteRule, version int64, r *trail.Request, w http.ResponseWriter) error {
	b := time.Now()
	d := b.Add(time.Duration(u.GetTimeoutMs()) * time.Millisecond)
	if r.Deadline().IsZero() || d.Before(r.Deadline()) {
		r = r.WithDeadline(d)
	}
	c, f := context.WithDeadline(c, r.Deadline())
	defer f()
	x := &call{
		s: s, c: c, u: u, r: r, w: w, began: b,
		service:     rules.PickService(u, rand.Float64()),
		fingerprint: fingerprint(r),
		result:      result{verdict: trail.NotRun},
	}
	e := x.run()
	x.report(version, e)
	return e
}

// fingerprint identifies a request that comes again under another id.
func fingerprint(r *trail.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method())
	_, _ = h.WriteString(r.Target())
	_, _ = h.Write(r.Body())
	return h.Sum64()
}

// failed tells the fleet of an attempt without an answer.
func (s *Server) failed(b *wire.BackendServer, r result) {
	s.leftAlone(b, s.f.Failed(time.Now(), b.GetId(), r.unreachable), r.cause.Error())
}

// failedAnswer tells it of an answer that is a failure.
func (s *Server) failedAnswer(b *wire.BackendServer) {
	s.leftAlone(b, s.f.FailedAnswer(time.Now(), b.GetId()), "backend server answers with failures")
}

func (s *Server) leftAlone(b *wire.BackendServer, d time.Duration, cause string) {
	if d == 0 {
		return
	}
	s.changed()
	s.l.WithFields(log.Fields{
		"server": b.GetId(), "address": b.GetAddress(), "ms": d.Milliseconds(), "cause": cause,
	}).Warn("direct: backend server left alone for a while")
}

// retry takes a retry from the budget of a service.
func (s *Server) retry(service string) bool {
	s.m.Lock()
	defer s.m.Unlock()
	return s.budget(service).Take()
}

func (s *Server) firstAttempt(service string) {
	s.m.Lock()
	defer s.m.Unlock()
	s.budget(service).First()
}

func (s *Server) budget(service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retry.New()
		s.budgets[service] = b
	}
	return b
}

// report logs the outcome and counts it.
func (x *call) report(version int64, e error) {
	n := "ok"
	l := x.s.l.WithFields(log.Fields{
		"request-id": x.r.ID(), "route": x.u.GetName(), "service": x.service, "config-version": version,
		"server": x.server.GetId(), "reason": x.reason, "tries": x.tries, "status": x.status,
		"ms": time.Since(x.began).Milliseconds(), "first-ms": x.first.Milliseconds(),
		"left-ms": time.Until(x.r.Deadline()).Milliseconds(),
	})
	if e != nil {
		n = trail.CodeOf(e)
		l.WithFields(log.Fields{"code": n, "verdict": trail.VerdictOf(e).String(), "cause": e.Error()}).Warn("direct: request failed")
	} else {
		l.Info("direct: request answered")
		x.s.total.WithLabelValues(x.service).Observe(time.Since(x.began).Seconds())
	}
	if x.first > 0 {
		x.s.first.WithLabelValues(x.service).Observe(x.first.Seconds())
	}
	x.s.ends.WithLabelValues(x.service, n).Inc()
}
