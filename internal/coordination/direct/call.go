package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
)

// call is the state of one request over all its attempts.
type call struct {
	server  *Server
	ctx     context.Context
	route   *wire.RouteRule
	request *trail.Request
	writer  http.ResponseWriter
	service string
	// Hash of the request, by which equal ones are recognised.
	fingerprint uint64
	startTime   time.Time
	// When the last attempt was sent.
	sentAt time.Time

	// How the request competes with others while servers are full.
	demand demand
	// Ids of backend servers that were tried; none is tried twice.
	triedServers []string
	// Number of failed attempts that may have run.
	possibleRuns int
	// Number of attempts that certainly did not run.
	notRunAttempts int
	// Number of attempts that a backend server's limit did not allow.
	deniedAttempts int
	// The request was granted by the rate limit of its team, or has none.
	counted bool
	// Number of all attempts.
	attempts int
	// Backend server of the last attempt.
	backendServer *wire.BackendServer
	// Start of its process as the response of the last attempt tells it.
	born int64
	// Where the response of the last attempt stands on its connection.
	exchange trail.Exchange
	// Of the last attempt.
	timing timing
	// The last attempt has brought an event.
	hasEvent bool
	// Why the fleet chose the last backend server, or none.
	selectionReason string
	lastResult      result
	// Status sent to the caller, 0 before the header is written.
	status int
	// 0 before the header is written.
	timeToFirstByte time.Duration
	// A backend server has begun to answer: with an event, or a whole body.
	begun bool
	// Id of the last event that the caller has, from this call or, if it takes up a
	// stream, from an earlier one.
	lastEventID string
	// Build at which the stream goes on, zero before its first event.
	build build.Build
	// How the build of a stream that the call takes up is known, empty for other
	// calls.
	streamSource string
	// When the stream was last recorded.
	recordedAt time.Time
}

// result is the result of one attempt.
type result struct {
	// The whole response was relayed to the caller.
	complete bool
	// Why the response is not complete.
	cause error
	// Whether the request may have run in this attempt.
	verdict trail.Verdict
	// No connection to the backend server was made, or the attempt timed out.
	unreachable bool
	// The backend server responded with a failure of its own, with more bytes than
	// the size limit, or with a status that HTTP does not know.
	serverFailed bool
	// The connection was lost while the request may have been running, and not
	// because of the deadline or the caller's disconnection.
	connectionLost bool
	// The backend server does not run such a request, which is no failure of it.
	declined bool
	// The backend server rejected the request as if it were full.
	rejected bool
	// The backend server's limit allowed no request yet. That is no failure.
	limited bool
	// This front has no path to the backend servers, which says nothing about the
	// one of this attempt.
	pathLost bool
	// The stream can't go on at the process that has the server's address, which is
	// no failure of it.
	otherProcess bool
	// The request can't be written as it is, to no server.
	invalid bool
	// The caller disconnected, or the deadline passed while the response was
	// relayed.
	callerGone bool
}

// run makes attempts until one is complete or no further one is allowed.
func (x *call) run() error {
	e := x.takeUp()
	if e != nil {
		return e
	}
	x.server.recordFirstAttempt(x.service)
	for {
		if e := x.stopError(); e != nil {
			return e
		}
		if e := x.deniedError(); e != nil {
			return e
		}
		b, n, w := x.acquire()
		x.selectionReason = n
		if b == nil {
			return x.refusalError(n, w)
		}
		if e := x.countAgainstLimit(b); e != nil {
			return e
		}
		if x.backendServer != nil && x.status != 0 {
			x.logGoesOn(x.backendServer, b)
		}
		x.backendServer = b
		x.attempts++
		x.server.onLoadChange()
		if n == fleet.ReasonPreempt || n == fleet.ReasonLimited {
			x.server.onOversubscribed(b.GetId())
		}
		r := x.attempt(b)
		x.recordAttempt(b, r)
		if r.complete {
			return nil
		}
		x.logFailedAttempt(r)
		if !x.shouldRetry(r) {
			return x.finalError(r)
		}
	}
}

// acquire chooses the backend server of the next attempt, as fleet.AcquireOnline
// does. A stream goes on at servers of the build that began it. One that may be
// resumed begins at a server of a recorded build whose process the registry names, if
// one can take it.
func (x *call) acquire() (*wire.BackendServer, string, time.Duration) {
	switch {
	case !x.build.IsZero():
		return x.acquireFrom(func(b *wire.BackendServer, listed bool) bool { return listed && x.untried(b) && x.build.RunsOn(b) })
	case x.resumable():
		k := x.server.builds.Recorded(x.service)
		b, n, w := x.acquireFrom(func(b *wire.BackendServer, listed bool) bool {
			return listed && x.untried(b) && (b.GetVersion() == "" || k[b.GetVersion()])
		})
		if b != nil {
			return b, n, w
		}
	}
	return x.acquireFrom(func(b *wire.BackendServer, _ bool) bool { return x.untried(b) })
}

func (x *call) acquireFrom(accepts func(entry *wire.BackendServer, listed bool) bool) (*wire.BackendServer, string, time.Duration) {
	t := time.Duration(x.route.GetTargetMs()) * time.Millisecond
	m := x.server.fleet.TooSmall(x.service, x.request.Tokens())
	return x.server.fleet.AcquireOnline(time.Now(), x.service, t, time.Until(x.request.Deadline()), func(b *wire.BackendServer, listed bool) bool {
		return !m[b.GetId()] && accepts(b, listed)
	}, rand.Float64(), fleet.WithTokens(x.request.Tokens()), fleet.WithDemand(x.demand.service, x.request.Team(), x.demand.priority, x.demand.returning))
}

func (x *call) untried(entry *wire.BackendServer) bool {
	return !slices.Contains(x.triedServers, entry.GetId())
}

// refusalError returns the error of a call for which the fleet has no backend
// server. If an earlier attempt may have run, it is the error of the last
// attempt, because a rejection would promise that the request has not run.
func (x *call) refusalError(reason string, retryAfter time.Duration) error {
	if x.possibleRuns > 0 {
		return x.finalError(x.lastResult)
	}
	if x.server.fleet.NoneHolds(x.service, x.request.Tokens()) {
		// To repeat it is of no use.
		return trail.NewError("request-too-large", trail.NotRun, "no backend server of service %s has memory for the request of %d tokens", x.service, x.request.Tokens())
	}
	c := "overloaded"
	if reason == fleet.ReasonNoServer {
		c = "no-backend-server"
	}
	return trail.NewError(c, trail.NotRun, "no backend server of service %s is available for the request: %s", x.service, reason).WithRetryAfter(retryAfter)
}

// recordAttempt reports the result of an attempt to the fleet, and the loss of
// the backend server to the crash record.
func (x *call) recordAttempt(backendServer *wire.BackendServer, outcome result) {
	x.server.onLoadChange()
	if !outcome.pathLost || outcome.verdict != trail.NotRun {
		x.triedServers = append(x.triedServers, backendServer.GetId())
	}
	if outcome.serverFailed {
		x.server.recordServerFailure(backendServer)
		return
	}
	if outcome.complete && x.status == http.StatusOK {
		x.server.fleet.RecordAnswer(backendServer, x.request.Tokens())
	}
	if outcome.complete || outcome.callerGone || outcome.limited || outcome.pathLost || outcome.invalid || outcome.otherProcess || outcome.declined {
		return
	}
	if outcome.rejected {
		x.server.recordRejection(backendServer, x.request.Tokens(), outcome)
		return
	}
	x.server.recordFailure(backendServer, outcome)
	if outcome.connectionLost {
		x.recordLoss(backendServer)
	}
}

// shouldRetry returns whether another attempt is allowed. It records the result
// of the last one, and takes a retry from the service's budget if the request
// may have run.
func (x *call) shouldRetry(outcome result) bool {
	x.lastResult = outcome
	if x.ctx.Err() != nil || outcome.callerGone || outcome.invalid {
		return false
	}
	if outcome.limited {
		// Nothing was sent, and the fleet leaves the server alone for a while.
		x.deniedAttempts++
		return x.deniedAttempts <= maxDeniedRetries
	}
	if outcome.verdict == trail.NotRun {
		x.notRunAttempts++
		return x.notRunAttempts <= maxNotRunRetries
	}
	x.possibleRuns++
	if x.status != 0 && !x.mayGoOn() {
		return false
	}
	return x.route.GetRepeat() == wire.Repeat_REPEAT_SAFE && x.possibleRuns < int(x.route.GetAttempts()) && x.server.takeRetry(x.service)
}

// finalError returns the error of a call that ended without a complete response.
func (x *call) finalError(outcome result) error {
	v := trail.MayHaveRun
	if x.possibleRuns == 0 && outcome.verdict == trail.NotRun {
		v = trail.NotRun
	}
	if x.status != 0 {
		return trail.WrapError(errors.Mark(outcome.cause, errTruncated), "answer-cut", v, "answer broke off after event %q", x.lastEventID)
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return trail.WrapError(outcome.cause, "deadline-exceeded", v, "request deadline exceeded")
	}
	if outcome.callerGone {
		return trail.WrapError(outcome.cause, "cancelled", v, "caller disconnected")
	}
	e := trail.WrapError(outcome.cause, trail.CodeOf(outcome.cause), v, "no attempt got a complete response")
	if v == trail.NotRun {
		return e.WithRetryAfter(max(notRunRetryAfter, trail.RetryAfterOf(outcome.cause)))
	}
	return e
}

var errTruncated = errors.New("response was truncated")

// IsTruncated returns whether the call failed after a part of the response was
// sent, so that the caller's connection must be aborted.
func IsTruncated(err error) bool { return errors.Is(err, errTruncated) }
