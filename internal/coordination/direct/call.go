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
	s           *Server
	c           context.Context
	u           *wire.RouteRule
	r           *trail.Request
	w           http.ResponseWriter
	service     string
	fingerprint uint64
	began       time.Time

	// Ids of backend servers that are not tried again.
	tried []string
	// Attempts that may have run.
	runs int
	// Attempts that did not.
	refusals int
	// All attempts.
	tries  int
	server *wire.BackendServer
	// Why the last backend server was chosen.
	reason string
	result result
	// Status of the answer, 0 before its head is written.
	status int
	// Time to the first byte, 0 before it.
	first time.Duration
	// Id of the last event that was passed on.
	lastEvent string
}

// result is how an attempt ended.
type result struct {
	// The caller has the whole answer.
	done bool
	// Why it is not done.
	cause error
	// Whether the request may have run, over all attempts.
	verdict trail.Verdict
	// The backend server was not reached at all.
	unreachable bool
	// The backend server answered with a failure of its own, or with more bytes
	// than an answer has.
	failed bool
	// The connection was lost after the request had been sent.
	lost bool
	// The caller has gone.
	gone bool
}

func (x *call) run() error {
	if x.s.p.IsRejected(x.fingerprint) {
		return trail.NewError("request-poisoned", trail.NotRun, "request has crashed several backend servers").RetryAfter(time.Second)
	}
	x.s.firstAttempt(x.service)
	for {
		t := time.Duration(x.u.GetTargetMs()) * time.Millisecond
		b, n, w := x.s.f.Take(time.Now(), x.service, t, time.Until(x.r.Deadline()), x.tried, rand.Float64())
		x.reason = n
		if b == nil {
			return x.refuse(n, w)
		}
		x.server = b
		x.tries++
		x.s.changed()
		if n == fleet.ReasonYield {
			x.s.crowded(b.GetId())
		}
		r := x.attempt(b)
		x.account(b, r)
		if r.done {
			return nil
		}
		if !x.again(r) {
			return x.fail(r)
		}
	}
}

// refuse ends a call for which there is no backend server. A call that may have
// run before is not refused but has failed.
func (x *call) refuse(reason string, wait time.Duration) error {
	if x.runs > 0 {
		return x.fail(x.result)
	}
	c := "overloaded"
	if reason == fleet.ReasonNone {
		c = "no-backend-server"
	}
	return trail.NewError(c, trail.NotRun, "no backend server of service %s can take the request: %s", x.service, reason).RetryAfter(wait)
}

// account tells the fleet how an attempt has ended.
func (x *call) account(b *wire.BackendServer, r result) {
	x.s.changed()
	x.tried = append(x.tried, b.GetId())
	if r.failed {
		x.s.failedAnswer(b)
		return
	}
	if r.done || r.gone {
		return
	}
	x.s.failed(b, r)
	if r.lost && x.s.p.AddCrash(time.Now(), x.fingerprint, b.GetId()) {
		x.s.l.WithField("request-id", x.r.ID()).Warn("direct: request is rejected from now on, it has crashed several backend servers")
	}
}

// again says whether another attempt is allowed and worth it.
func (x *call) again(r result) bool {
	x.result = r
	if x.c.Err() != nil || r.gone {
		return false
	}
	if r.verdict == trail.NotRun {
		x.refusals++
		return x.refusals <= maxRefusals
	}
	x.runs++
	if x.status != 0 && !x.u.GetResumable() {
		return false
	}
	return x.u.GetRepeat() == wire.Repeat_REPEAT_SAFE && x.runs < int(x.u.GetAttempts()) && x.s.retry(x.service)
}

// fail returns the error of a call that has ended without a whole answer.
func (x *call) fail(r result) error {
	v := trail.MayHaveRun
	if x.runs == 0 && r.verdict == trail.NotRun {
		v = trail.NotRun
	}
	if x.status != 0 {
		return trail.WrapError(errors.Mark(r.cause, errCut), "answer-cut", v, "answer broke off after event %q", x.lastEvent)
	}
	if errors.Is(x.c.Err(), context.DeadlineExceeded) {
		return trail.WrapError(r.cause, "deadline-exceeded", v, "time of the request has passed")
	}
	if r.gone {
		return trail.WrapError(r.cause, "cancelled", v, "caller has gone")
	}
	e := trail.WrapError(r.cause, trail.CodeOf(r.cause), v, "no backend server answered")
	if v == trail.NotRun {
		return e.RetryAfter(notReadyWait)
	}
	return e
}

var errCut = errors.New("answer was cut")

// Cut says whether a part of the answer has been written, so that the caller's
// connection must be cut.
func Cut(e error) bool { return errors.Is(e, errCut) }
