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
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/crash"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/limit"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/coordination/retry"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
	"bulrushtrail.example/trail/internal/transport/buffer"
)

const (
	// Maximum number of retries after attempts that did not run.
	maxNotRunRetries = 4
	// Maximum number of retries after attempts that were not sent because of a
	// backend server's limit. Each costs other fronts a datagram.
	maxDeniedRetries = 6
	// Retry-After time when no attempt has run.
	notRunRetryAfter = 500 * time.Millisecond
	// An attempt that may be repeated is cancelled if it has no response within
	// this multiple of the route's target latency, but not before
	// minAttemptTimeout: a sound server may be silent for a second.
	attemptTimeoutTargets = 3
	minAttemptTimeout     = 1100 * time.Millisecond
)

// Server serves online requests.
type Server struct {
	fleet    *fleet.Fleet
	crashes  *crash.Record
	streams  *resume.Record
	builds   *builds.Keeper
	upstream trail.Upstream
	logger   log.Interface
	// Called when the requests in flight of this front, or the backend servers
	// that it avoids, have changed.
	onLoadChange func()
	// Called when a backend server has more requests than slots, so that batch
	// items must be preempted.
	onOversubscribed func(server string)
	// Bodies of responses that are not relayed yet.
	buffers *buffer.Limit
	table   atomic.Pointer[rules.Table]
	// Nil if no team has a limit.
	rates *limit.Teams

	mu sync.Mutex
	// By service.
	retryBudgets map[string]*retry.Budget
	// What is stopped, as logged: the shared part or the fingerprint.
	stopped map[string]bool

	requestsTotal    *prometheus.CounterVec
	takeUpsTotal     *prometheus.CounterVec
	lostTotal        *prometheus.CounterVec
	firstByteSeconds *prometheus.HistogramVec
	requestSeconds   *prometheus.HistogramVec
}

// New returns a server without a configuration. It buffers up to bufferBytes of
// responses.
func New(fleet *fleet.Fleet, crashes *crash.Record, streams *resume.Record, builds *builds.Keeper, upstream trail.Upstream, bufferBytes int64, logger log.Interface, registry prometheus.Registerer, onLoadChange func(), onOversubscribed func(server string)) *Server {
	b := prometheus.ExponentialBuckets(0.005, 2, 12)
	return &Server{
		fleet: fleet, crashes: crashes, streams: streams, builds: builds, upstream: upstream, buffers: buffer.New(bufferBytes), logger: logger, onLoadChange: onLoadChange, onOversubscribed: onOversubscribed, retryBudgets: map[string]*retry.Budget{}, stopped: map[string]bool{},
		requestsTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_requests_total",
			Help: "Online requests by route kind and outcome (ok or error code).",
		}, []string{"service", "outcome"}),
		takeUpsTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_take_ups_total",
			Help: "Requests that take up a stream, by how its software version is known and outcome (ok or error code).",
		}, []string{"service", "known_by", "outcome"}),
		lostTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_backend_losses_total",
			Help: "Attempts whose backend server was lost, by whether an answer had begun.",
		}, []string{"service", "begun"}),
		firstByteSeconds: promauto.With(registry).NewHistogramVec(prometheus.HistogramOpts{
			Name: "bulrushtrail_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: b,
		}, []string{"service"}),
		requestSeconds: promauto.With(registry).NewHistogramVec(prometheus.HistogramOpts{
			Name: "bulrushtrail_request_seconds", Help: "Time to the end of an answer.", Buckets: b,
		}, []string{"service"}),
	}
}

// SetTable replaces the configuration in force, unless that one has a higher
// version.
func (s *Server) SetTable(table *rules.Table) {
	o := s.table.Load()
	if o == nil || table.Version() >= o.Version() {
		s.table.Store(table)
	}
}

// Table returns the configuration in force, nil before the first SetTable.
func (s *Server) Table() *rules.Table { return s.table.Load() }

// Serve relays the response to a request to w. The route must not be one for
// batch jobs; version is that of the configuration with the route, for the log.
//
// If nothing was written to w, the error's code and verdict, which covers all
// attempts, determine the response, and its wait, if any, is the Retry-After
// time. If a part of the response was written, IsTruncated recognises the error,
// and the caller's connection must be aborted.
func (s *Server) Serve(ctx context.Context, route *wire.RouteRule, version int64, request *trail.Request, w http.ResponseWriter) error {
	b := time.Now()
	d := b.Add(time.Duration(route.GetTimeoutMs()) * time.Millisecond)
	if request.Deadline().IsZero() || d.Before(request.Deadline()) {
		request = request.WithDeadline(d)
	}
	// The context that ends at the request's deadline.
	c, f := context.WithDeadline(ctx, request.Deadline())
	defer f()
	x := &call{
		server: s, ctx: c, route: route, request: request, writer: w, startTime: b,
		service:     rules.PickService(route, rand.Float64()),
		fingerprint: fingerprint(request),
		lastResult:  result{verdict: trail.NotRun},
	}
	x.demand = s.demandOf(route, x.service, request)
	e := x.run()
	x.reportOutcome(version, e)
	return e
}

// fingerprint returns a hash of method, target and body, by which a repeated
// request is recognised although it has another id.
func fingerprint(request *trail.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(request.Method())
	_, _ = h.WriteString(request.Target())
	_, _ = h.Write(request.Body())
	return h.Sum64()
}

// recordFailure reports an attempt without a complete response to the fleet.
func (s *Server) recordFailure(backendServer *wire.BackendServer, outcome result) {
	s.logAvoided(backendServer, s.fleet.RecordFailure(time.Now(), backendServer, outcome.unreachable), outcome.cause.Error())
}

// recordRejection reports a request that the backend server rejected to the fleet.
func (s *Server) recordRejection(backendServer *wire.BackendServer, tokens int64, outcome result) {
	d, _ := s.fleet.RecordRejection(time.Now(), backendServer, tokens)
	s.logAvoided(backendServer, d, outcome.cause.Error())
}

// recordServerFailure reports a response that shows a fault of the backend
// server itself to the fleet.
func (s *Server) recordServerFailure(backendServer *wire.BackendServer) {
	s.logAvoided(backendServer, s.fleet.RecordFailedAnswer(time.Now(), backendServer), "backend server answers with failures")
}

// logAvoided logs for how long the fleet avoids a backend server after a
// failure, if it does.
func (s *Server) logAvoided(backendServer *wire.BackendServer, duration time.Duration, cause string) {
	if duration == 0 {
		return
	}
	s.onLoadChange()
	s.logger.WithFields(log.Fields{
		"server": backendServer.GetId(), "address": backendServer.GetAddress(), "ms": duration.Milliseconds(), "cause": cause,
	}).Warn("direct: backend server left alone for a while")
}

// takeRetry takes a retry from the budget of a service. It returns false when
// none is left.
func (s *Server) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Take()
}

func (s *Server) recordFirstAttempt(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).RecordFirst()
}

// retryBudget returns the budget of a service; the caller holds the lock.
func (s *Server) retryBudget(service string) *retry.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = retry.New()
		s.retryBudgets[service] = b
	}
	return b
}

// logFailedAttempt logs the last attempt, whose response is not complete.
func (x *call) logFailedAttempt(outcome result) {
	x.server.logger.WithFields(log.Fields{
		"request-id": x.request.ID(), "server": x.backendServer.GetId(), "address": x.backendServer.GetAddress(), "process": x.born, "try": x.attempts,
		"code": trail.CodeOf(outcome.cause), "verdict": outcome.verdict.String(), "cause": outcome.cause.Error(),
		"connection-requests": x.exchange.Requests(), "passed-over": x.exchange.PassedOver(),
		"ms": time.Since(x.sentAt).Milliseconds(),
	}).Info("direct: attempt failed")
}

// reportOutcome logs the outcome of a call and records its metrics.
func (x *call) reportOutcome(version int64, err error) {
	n := "ok"
	l := x.server.logger.WithFields(log.Fields{
		"request-id": x.request.ID(), "route": x.route.GetName(), "service": x.service, "config-version": version,
		"server": x.backendServer.GetId(), "version": x.backendServer.GetVersion(), "born": x.backendServer.GetBorn(), "process": x.born, "reason": x.selectionReason, "priority": x.demand.priority, "returning": x.demand.returning, "tries": x.attempts, "status": x.status,
		"ms": time.Since(x.startTime).Milliseconds(), "first-ms": x.timeToFirstByte.Milliseconds(),
		"left-ms":             time.Until(x.request.Deadline()).Milliseconds(),
		"connection-requests": x.exchange.Requests(), "passed-over": x.exchange.PassedOver(),
	})
	if t := x.request.Team(); t != "" {
		l = l.WithField("team", t)
	}
	if f := x.estimateFields(); f != nil {
		l = l.WithFields(f)
	}
	if i := x.request.LastEventID(); i != "" {
		l = l.WithFields(log.Fields{"resumes": x.request.ResumedAttempt(), "after-event": i, "stream-version": x.build.Version(), "known-by": x.streamSource})
	}
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
	x.reportTakeUp(n)
}
