package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/event"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// An answer up to this size is read whole before its head is passed on, so
// that another attempt can take its place.
const maxWhole = 1 << 20

// Code of the error of a server that sends bytes without end.
const codeUnbounded = "answer-unbounded"

var (
	errSilent   = errors.New("backend server is silent")
	errSequence = errors.New("stream lacks an event or repeats one")
)

// attempt sends the request to one backend server and passes the answer on.
func (x *call) attempt(b *wire.BackendServer) result {
	c, f := context.WithCancelCause(x.c)
	defer f(nil)
	t := x.patience(f)
	defer t.Stop()
	n := time.Now()
	a, e := x.s.up.Send(c, b, x.r, x.lastEvent)
	if e != nil {
		x.s.f.Done(b.GetId(), 0)
		return x.unanswered(c, e)
	}
	defer func() { _ = a.Body.Close() }()
	var r result
	if x.u.GetStream() && a.StatusCode == http.StatusOK {
		r = x.stream(c, a, t)
	} else {
		r = x.whole(c, a, t)
	}
	h := time.Since(n)
	if !r.done || r.failed {
		h = 0
	}
	x.s.f.Done(b.GetId(), h)
	return r
}

// patience ends an attempt that may be repeated elsewhere when it stays
// without an answer for too long. Attempts that must not be repeated have all
// the time of the request.
func (x *call) patience(end context.CancelCauseFunc) *time.Timer {
	if x.u.GetRepeat() != wire.Repeat_REPEAT_SAFE || x.runs+1 >= int(x.u.GetAttempts()) {
		return time.NewTimer(time.Hour)
	}
	d := max(attemptTargets*time.Duration(x.u.GetTargetMs())*time.Millisecond, minAttempt)
	return time.AfterFunc(d, func() { end(errSilent) })
}

// unanswered is an attempt whose answer did not begin.
func (x *call) unanswered(c context.Context, e error) result {
	r := result{cause: e, verdict: trail.VerdictOf(e)}
	switch {
	case x.gone():
		r.gone = true
	case errors.Is(context.Cause(c), errSilent):
		r.cause = trail.WrapError(errSilent, "backend-silent", r.verdict, "no answer in time")
		r.unreachable = true
	default:
		r.unreachable = trail.CodeOf(e) == "backend-unreachable"
		r.failed = trail.CodeOf(e) == codeUnbounded
		r.lost = trail.CodeOf(e) == "backend-lost" && r.verdict != trail.NotRun && x.c.Err() == nil
	}
	return r
}

// gone says whether the caller has left before the deadline.
func (x *call) gone() bool { return errors.Is(x.c.Err(), context.Canceled) }

// broken is an attempt whose answer ended early.
func (x *call) broken(c context.Context, e error) result {
	n := "backend-lost"
	if trail.CodeOf(e) == codeUnbounded || errors.Is(e, event.ErrTooLong) {
		n = codeUnbounded
	}
	return x.unanswered(c, trail.WrapError(e, n, trail.MayHaveRun, "answer broke off"))
}

// whole passes on an answer that is not a stream of events.
func (x *call) whole(c context.Context, a *http.Response, t *time.Timer) result {
	b, e := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	if e != nil {
		return x.broken(c, e)
	}
	t.Stop()
	f := ownFailure(a)
	if f && x.retriable() || x.status != 0 {
		// Another attempt may do better, and a stream that was to be resumed
		// has no use for another status.
		return result{verdict: trail.MayHaveRun, failed: f, cause: trail.NewError("backend-failed", trail.MayHaveRun, "backend server answered with status %d", a.StatusCode)}
	}
	if len(b) <= maxWhole {
		a.Header.Set("Content-Length", strconv.Itoa(len(b)))
	}
	x.head(a)
	_, e = x.w.Write(b)
	if e == nil && len(b) > maxWhole {
		_, e = io.Copy(x.w, a.Body)
	}
	if e != nil {
		return x.relayFailed(c, e)
	}
	return result{done: true, failed: f, verdict: trail.Ran}
}

// ownFailure says whether an answer is a failure of the backend server itself.
func ownFailure(a *http.Response) bool {
	return a.StatusCode >= http.StatusInternalServerError && a.StatusCode != http.StatusGatewayTimeout
}

// relayFailed is an answer that broke off while it was passed on.
func (x *call) relayFailed(c context.Context, e error) result {
	if x.c.Err() != nil {
		return result{cause: trail.WrapError(e, "cancelled", trail.MayHaveRun, "caller has gone"), verdict: trail.MayHaveRun, gone: true}
	}
	return x.broken(c, e)
}

// retriable says whether a failure that the backend server has answered is
// tried again elsewhere.
func (x *call) retriable() bool {
	return x.u.GetRepeat() == wire.Repeat_REPEAT_SAFE && x.runs+1 < int(x.u.GetAttempts())
}

// head writes the head of the answer once.
func (x *call) head(a *http.Response) {
	if x.status != 0 {
		return
	}
	h := x.w.Header()
	for k, v := range a.Header {
		if !perConnection(k) {
			h[k] = v
		}
	}
	x.status = a.StatusCode
	x.first = time.Since(x.began)
	x.w.WriteHeader(a.StatusCode)
}

// perConnection says whether a header concerns one connection only.
func perConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection":
		return true
	}
	return false
}

// stream passes events on as they arrive.
func (x *call) stream(c context.Context, a *http.Response, t *time.Timer) result {
	r := event.New(a.Body)
	a.Header.Del("Content-Length")
	for {
		e := r.Next()
		if errors.Is(e, io.EOF) {
			x.head(a)
			return result{done: true, verdict: trail.Ran}
		}
		if e != nil {
			return x.broken(c, e)
		}
		if !r.Empty() {
			t.Stop()
		}
		if !event.Follows(x.lastEvent, r.ID()) {
			return x.broken(c, errSequence)
		}
		x.head(a)
		_, e = x.w.Write(r.Raw())
		if e != nil {
			return result{cause: errors.Wrap(e, "write to caller"), verdict: trail.MayHaveRun, gone: true}
		}
		if r.ID() != "" {
			x.lastEvent = strings.Clone(r.ID())
		}
	}
}
