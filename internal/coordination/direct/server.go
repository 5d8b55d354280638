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
	maxNotRunRetries = 4
	// Wait of callers while the front is not ready.
	notRunRetryAfter = 500 * time.Millisecond
	// An attempt that may be repeated is given up when it has no answer after
	// this multiple of the route's target, and at least minAttempt.
	attemptTimeoutTargets = 3
	minAttemptTimeout     = 250 * time.Millisecond
)

// Server serves online requests.
type Server struct {
	fleet    *fleet.Fleet
	crashes  *poison.Tracker
	upstream trail.Upstream
	logger   log.Interface
	// Called when the loads of this front have changed.
	onLoadChange func()
	// Called when a backend server has more requests than slots.
	onOversubscribed func(server string)
	table            atomic.Pointer[rules.Table]

	mu sync.Mutex
	// By service.
	retryBudgets map[string]*retry.Budget

	requestsTotal    *prometheus.CounterVec
	firstByteSeconds *prometheus.HistogramVec
	requestSeconds   *prometheus.HistogramVec
}

// New returns a server without a configuration.
func New(fleet *fleet.Fleet, crashes *poison.Tracker, upstream trail.Upstream, logger log.Interface, registry prometheus.Registerer, onLoadChange func(), onOversubscribed func(server string)) *Server {
	b := prometheus.ExponentialBuckets(0.005, 2, 12)
	return &Server{
		fleet: fleet, crashes: crashes, upstream: upstream, logger: logger, onLoadChange: onLoadChange, onOversubscribed: onOversubscribed, retryBudgets: map[string]*retry.Budget{},
		requestsTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_requests_total",
			Help: "Online requests by route kind and outcome (ok or error code).",
		}, []string{"service", "outcome"}),
		firstByteSeconds: promauto.With(registry).NewHistogramVec(prometheus.HistogramOpts{
			Name: "bulrushtrail_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: b,
		}, []string{"service"}),
		requestSeconds: promauto.With(registry).NewHistogramVec(prometheus.HistogramOpts{
			Name: "bulrushtrail_request_seconds", Help: "Time to the end of an answer.", Buckets: b,
		}, []string{"service"}),
	}
}

// SetTable puts a configuration in force. An older version than the present
// one is ignored.
func (s *Server) SetTable(table *rules.Table) {
	o := s.table.Load()
	if o == nil || table.Version() >= o.Version() {
		s.table.Store(table)
	}
}

// Table returns the configuration in force, nil before the first.
func (s *Server) Table() *rules.Table { return s.table.Load() }

// Serve answers a request on w. Path is the path of the request's target. The
// route must not be one of batch jobs. When nothing has been written, the
// error tells what to answer; its verdict is true for all attempts, and it has
// a wait where the caller may come back. When a part of the answer has been
// written, the error is one that Cut recognises, and the connection must be cut.
func (s *Server) Serve(ctx context.Context, route *wire.RouteRule, version int64, request *trail.Request, w http.ResponseWriter) error {
	b := time.Now()
	d := b.Add(time.Duration(route.GetTimeoutMs()) * time.Millisecond)
	if request.Deadline().IsZero() || d.Before(request.Deadline()) {
		request = request.WithDeadline(d)
	}
	c, f := context.WithDeadline(ctx, request.Deadline())
	defer f()
	x := &call{
		server: s, ctx: c, route: route, request: request, writer: w, startTime: b,
		service:     rules.PickService(route, rand.Float64()),
		fingerprint: fingerprint(request),
		lastResult:  result{verdict: trail.NotRun},
	}
	e := x.run()
	x.reportOutcome(version, e)
	return e
}

// fingerprint identifies a request that comes again under another id.
func fingerprint(request *trail.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(request.Method())
	_, _ = h.WriteString(request.Target())
	_, _ = h.Write(request.Body())
	return h.Sum64()
}

// recordFailure tells the fleet of an attempt without an answer.
func (s *Server) recordFailure(backendServer *wire.BackendServer, outcome result) {
	s.logAvoided(backendServer, s.fleet.RecordFailure(time.Now(), backendServer.GetId(), outcome.unreachable), outcome.cause.Error())
}

// recordServerFailure tells it of an answer that is a failure.
func (s *Server) recordServerFailure(backendServer *wire.BackendServer) {
	s.logAvoided(backendServer, s.fleet.RecordFailedAnswer(time.Now(), backendServer.GetId()), "backend server answers with failures")
}

func (s *Server) logAvoided(backendServer *wire.BackendServer, duration time.Duration, cause string) {
	if duration == 0 {
		return
	}
	s.onLoadChange()
	s.logger.WithFields(log.Fields{
		"server": backendServer.GetId(), "address": backendServer.GetAddress(), "ms": duration.Milliseconds(), "cause": cause,
	}).Warn("direct: backend server left alone for a while")
}

// takeRetry takes a retry from the budget of a service.
func (s *Server) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Take()
}

func (s *Server) recordFirstAttempt(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).First()
}

func (s *Server) retryBudget(service string) *retry.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = retry.New()
		s.retryBudgets[service] = b
	}
	return b
}

// reportOutcome logs the outcome and counts it.
func (x *call) reportOutcome(version int64, err error) {
	n := "ok"
	l := x.server.logger.WithFields(log.Fields{
		"request-id": x.request.ID(), "route": x.route.GetName(), "service": x.service, "config-version": version,
		"server": x.backendServer.GetId(), "reason": x.selectionReason, "tries": x.attempts, "status": x.status,
		"ms": time.Since(x.startTime).Milliseconds(), "first-ms": x.timeToFirstByte.Milliseconds(),
		"left-ms": time.Until(x.request.Deadline()).Milliseconds(),
	})
	if err != nil {
		n = trail.CodeOf(err)
		l.WithFields(log.Fields{"code": n, "verdict": trail.VerdictOf(err).String(), "cause": err.Error()}).Warn("direct: request failed")
	} else {
		l.Info("direct: request answered")
		x.server.requestSeconds.WithLabelValues(x.service).Observe(time.Since(x.startTime).Seconds())
	}
	if x.timeToFirstByte > 0 {
		x.server.firstByteSeconds.WithLabelValues(x.service).Observe(x.timeToFirstByte.Seconds())
	}
	x.server.requestsTotal.WithLabelValues(x.service, n).Inc()
}
