package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// call is one request on its way through one or more attempts.
type call struct {
	server      *Server
	ctx         context.Context
	route       *wire.RouteRule
	request     *trail.Request
	writer      http.ResponseWriter
	service     string
	fingerprint uint64
	startTime   time.Time

	// Ids of backend servers that are not tried again.
	triedServers []string
	// Attempts that may have run.
	possibleRuns int
	// Attempts that did not.
	notRunAttempts int
	// All attempts.
	attempts      int
	backendServer *wire.BackendServer
	// Why the last backend server was chosen.
	selectionReason string
	lastResult      result
	// Status of the answer, 0 before its head is written.
	status int
	// Time to the first byte, 0 before it.
	timeToFirstByte time.Duration
	// Id of the last event that was passed on.
	lastEventID string
}

// result is how an attempt ended.
type result struct {
	// The caller has the whole answer.
	complete bool
	// Why it is not done.
	cause error
	// Whether the request may have run, over all attempts.
	verdict trail.Verdict
	// The backend server was not reached at all.
	unreachable bool
	// The backend server answered with a failure of its own, or with more bytes
	// than an answer has.
	serverFailed bool
	// The connection was lost after the request had been sent.
	connectionLost bool
	// The caller has gone.
	callerGone bool
}

func (x *call) run() error {
	if x.server.crashes.IsRejected(x.fingerprint) {
		return trail.NewError("request-poisoned", trail.NotRun, "request has crashed several backend servers").RetryAfter(time.Second)
	}
	x.server.recordFirstAttempt(x.service)
	for {
		t := time.Duration(x.route.GetTargetMs()) * time.Millisecond
		b, n, w := x.server.fleet.AcquireOnline(time.Now(), x.service, t, time.Until(x.request.Deadline()), x.triedServers, rand.Float64())
		x.selectionReason = n
		if b == nil {
			return x.refusalError(n, w)
		}
		x.backendServer = b
		x.attempts++
		x.server.onLoadChange()
		if n == fleet.ReasonPreempt {
			x.server.onOversubscribed(b.GetId())
		}
		r := x.attempt(b)
		x.recordAttempt(b, r)
		if r.complete {
			return nil
		}
		if !x.shouldRetry(r) {
			return x.finalError(r)
		}
	}
}

// refusalError ends a call for which there is no backend server. A call that may have
// run before is not refused but has failed.
func (x *call) refusalError(reason string, retryAfter time.Duration) error {
	if x.possibleRuns > 0 {
		return x.finalError(x.lastResult)
	}
	c := "overloaded"
	if reason == fleet.ReasonNoServer {
		c = "no-backend-server"
	}
	return trail.NewError(c, trail.NotRun, "no backend server of service %s can take the request: %s", x.service, reason).RetryAfter(retryAfter)
}

// recordAttempt tells the fleet how an attempt has ended.
func (x *call) recordAttempt(backendServer *wire.BackendServer, outcome result) {
	x.server.onLoadChange()
	x.triedServers = append(x.triedServers, backendServer.GetId())
	if outcome.serverFailed {
		x.server.recordServerFailure(backendServer)
		return
	}
	if outcome.complete || outcome.callerGone {
		return
	}
	x.server.recordFailure(backendServer, outcome)
	if outcome.connectionLost && x.server.crashes.AddCrash(time.Now(), x.fingerprint, backendServer.GetId()) {
		x.server.logger.WithField("request-id", x.request.ID()).Warn("direct: request is rejected from now on, it has crashed several backend servers")
	}
}

// shouldRetry says whether another attempt is allowed and worth it.
func (x *call) shouldRetry(outcome result) bool {
	x.lastResult = outcome
	if x.ctx.Err() != nil || outcome.callerGone {
		return false
	}
	if outcome.verdict == trail.NotRun {
		x.notRunAttempts++
		return x.notRunAttempts <= maxNotRunRetries
	}
	x.possibleRuns++
	if x.status != 0 && !x.route.GetResumable() {
		return false
	}
	return x.route.GetRepeat() == wire.Repeat_REPEAT_SAFE && x.possibleRuns < int(x.route.GetAttempts()) && x.server.takeRetry(x.service)
}

// finalError returns the error of a call that has ended without a whole answer.
func (x *call) finalError(outcome result) error {
	v := trail.MayHaveRun
	if x.possibleRuns == 0 && outcome.verdict == trail.NotRun {
		v = trail.NotRun
	}
	if x.status != 0 {
		return trail.WrapError(errors.Mark(outcome.cause, errTruncated), "answer-cut", v, "answer broke off after event %q", x.lastEventID)
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return trail.WrapError(outcome.cause, "deadline-exceeded", v, "time of the request has passed")
	}
	if outcome.callerGone {
		return trail.WrapError(outcome.cause, "cancelled", v, "caller has gone")
	}
	e := trail.WrapError(outcome.cause, trail.CodeOf(outcome.cause), v, "no backend server answered")
	if v == trail.NotRun {
		return e.RetryAfter(notRunRetryAfter)
	}
	return e
}

var errTruncated = errors.New("answer was cut")

// IsTruncated says whether a part of the answer has been written, so that the caller's
// connection must be cut.
func IsTruncated(err error) bool { return errors.Is(err, errTruncated) }
