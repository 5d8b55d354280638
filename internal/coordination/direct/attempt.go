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
	"bulrushtrail.example/trail/internal/protocol/valid"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// A response body up to this size is buffered completely before its header is
// relayed, if the bodies of all responses leave room for it.
const maxBufferedBody = 1 << 20

const (
	// Error code for a backend server whose response exceeds a size limit.
	codeUnbounded = "answer-unbounded"
	// Error code for a backend server whose response has a status that HTTP does not know.
	codeInvalidAnswer = "answer-invalid"
	// Error code for a backend server whose limit allows no request yet.
	codeLimited = "backend-limited"
	// Error codes of a stream that can't go on at a server: another process has its
	// address, or it does not tell which one it is.
	codeRestarted    = "backend-restarted"
	codeUnidentified = "backend-unidentified"
	// Error code for a backend server that rejected the request as if it were full.
	codeBusy = "backend-busy"
	// Error code for a backend server that does not run such a request.
	codeDeclined = "backend-declined"
	// Error code of an attempt that failed because this front has no path to the
	// backend servers.
	codePathLost = "path-lost"
)

var (
	errAttemptTimeout = errors.New("backend server is silent")
	errEventSequence  = errors.New("event ids of the stream are not consecutive")
)

// attempt sends the request to one backend server and relays its response.
func (x *call) attempt(backendServer *wire.BackendServer) result {
	c, f := context.WithCancelCause(x.ctx)
	defer f(nil)
	t := x.startAttemptTimer(f)
	defer t.Stop()
	x.sentAt, x.born, x.exchange, x.hasEvent = time.Now(), 0, trail.Exchange{}, false
	x.timing = x.startTiming(backendServer)
	a, e := x.server.upstream.Send(c, backendServer, x.request, x.lastEventID)
	if e != nil {
		x.release(backendServer, 0)
		return x.failureResult(c, e)
	}
	defer func() { _ = a.Body.Close() }()
	x.born, x.exchange = a.Born(), a.Exchange()
	var r result
	if x.route.GetStream() && a.StatusCode == http.StatusOK {
		r = x.relayStream(c, a.Response, t)
	} else {
		r = x.relayBody(c, a.Response, t)
	}
	h := time.Since(x.sentAt)
	if !r.complete || r.serverFailed {
		h = 0
	}
	x.release(backendServer, h)
	return r
}

// startAttemptTimer cancels an attempt that has no response within the attempt
// timeout, if the request may be repeated elsewhere. An attempt that cannot be
// repeated may use all the time until the request's deadline: its timer does
// nothing when it expires.
func (x *call) startAttemptTimer(cancel context.CancelCauseFunc) *time.Timer {
	if x.route.GetRepeat() != wire.Repeat_REPEAT_SAFE || x.possibleRuns+1 >= int(x.route.GetAttempts()) {
		return time.NewTimer(time.Hour)
	}
	d := max(attemptTimeoutTargets*time.Duration(x.route.GetTargetMs())*time.Millisecond, minAttemptTimeout)
	return time.AfterFunc(d, func() { cancel(errAttemptTimeout) })
}

// failureResult returns the result of an attempt that ended with an error.
func (x *call) failureResult(ctx context.Context, err error) result {
	r := result{cause: err, verdict: trail.VerdictOf(err)}
	switch {
	case x.callerGone():
		r.callerGone = true
	case errors.Is(context.Cause(ctx), errAttemptTimeout):
		r.cause = trail.WrapError(errAttemptTimeout, "backend-silent", r.verdict, "no response within the attempt timeout")
		r.unreachable = true
	default:
		r.unreachable = trail.CodeOf(err) == "backend-unreachable"
		r.serverFailed = trail.CodeOf(err) == codeUnbounded || trail.CodeOf(err) == codeInvalidAnswer
		r.declined = trail.CodeOf(err) == codeDeclined
		r.rejected = trail.CodeOf(err) == codeBusy
		r.limited = trail.CodeOf(err) == codeLimited
		r.pathLost = trail.CodeOf(err) == codePathLost
		r.invalid = trail.CodeOf(err) == valid.CodeInvalid
		r.otherProcess = trail.CodeOf(err) == codeRestarted || trail.CodeOf(err) == codeUnidentified
		r.connectionLost = trail.CodeOf(err) == "backend-lost" && r.verdict != trail.NotRun && x.ctx.Err() == nil
	}
	return r
}

// callerGone returns whether the caller disconnected before the deadline.
func (x *call) callerGone() bool { return errors.Is(x.ctx.Err(), context.Canceled) }

// brokenResult returns the result of an attempt whose response was interrupted
// or not well formed.
func (x *call) brokenResult(ctx context.Context, err error) result {
	n := "backend-lost"
	switch {
	case trail.CodeOf(err) == codeUnbounded || errors.Is(err, event.ErrTooLong):
		n = codeUnbounded
	case trail.CodeOf(err) == codePathLost:
		n = codePathLost
	}
	return x.failureResult(ctx, trail.WrapError(err, n, trail.MayHaveRun, "answer broke off"))
}

// relayBody relays a response that is not an event stream. It buffers the body first,
// so that another attempt can replace a body that breaks off; a body for which there is
// no room is relayed as it comes.
func (x *call) relayBody(ctx context.Context, response *http.Response, timer *time.Timer) result {
	b, d, e := x.server.buffers.Fill(response.Body, maxBufferedBody)
	defer func() { x.server.buffers.Release(b) }()
	if e != nil {
		return x.brokenResult(ctx, e)
	}
	timer.Stop()
	f := isServerFailure(response)
	if f && x.canRetryServerFailure() || x.status != 0 || x.route.GetRepeat() != wire.Repeat_REPEAT_SAFE && promisesNotRun(response) {
		// Another attempt may succeed. A stream of which a part has been relayed
		// cannot continue with a response of another kind. The backend server has
		// not said that the request did not run, so the caller must not be told.
		return result{verdict: trail.MayHaveRun, serverFailed: f, cause: trail.NewError("backend-failed", trail.MayHaveRun, "backend server answered with status %d", response.StatusCode)}
	}
	x.recordBegun(response.StatusCode)
	if d {
		x.timing.addBody(time.Now(), totalBytes(b))
		response.Header.Set("Content-Length", strconv.Itoa(totalBytes(b)))
	}
	x.writeHead(response)
	for len(b) > 0 && e == nil {
		_, e = x.writer.Write(b[0])
		x.server.buffers.Release(b[:1])
		// The callers of large bodies may read slowly.
		b[0] = nil
		b = b[1:]
	}
	if e == nil && !d {
		_, e = io.Copy(x.writer, response.Body)
	}
	if e != nil {
		return x.relayFailureResult(ctx, e)
	}
	return result{complete: true, serverFailed: f, verdict: trail.Ran}
}

func totalBytes(blocks [][]byte) int {
	n := 0
	for _, b := range blocks {
		n += len(b)
	}
	return n
}

// isServerFailure returns whether the status shows a fault of the backend server
// itself: any 5xx but 504.
func isServerFailure(response *http.Response) bool {
	return response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
}

// promisesNotRun returns whether a caller takes the status for the promise that the
// request has not run and never will.
func promisesNotRun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayFailureResult returns the result of a response that was interrupted after
// its header had been relayed.
func (x *call) relayFailureResult(ctx context.Context, err error) result {
	if x.ctx.Err() != nil {
		return result{cause: trail.WrapError(err, "cancelled", trail.MayHaveRun, "caller disconnected or the deadline passed"), verdict: trail.MayHaveRun, callerGone: true}
	}
	return x.brokenResult(ctx, err)
}

// canRetryServerFailure returns whether a request that the backend server
// answered with a failure may be repeated elsewhere.
func (x *call) canRetryServerFailure() bool {
	return x.route.GetRepeat() == wire.Repeat_REPEAT_SAFE && x.possibleRuns+1 < int(x.route.GetAttempts())
}

// writeHead relays the status and header of a response, once for all attempts.
func (x *call) writeHead(response *http.Response) {
	if x.status != 0 {
		return
	}
	h := x.writer.Header()
	for k, v := range response.Header {
		if !isHopByHop(k) {
			h[k] = v
		}
	}
	x.status = response.StatusCode
	x.timeToFirstByte = time.Since(x.startTime)
	x.writer.WriteHeader(response.StatusCode)
}

// isHopByHop returns whether a header applies to a single connection and must
// not be relayed.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection":
		return true
	}
	return false
}

// relayStream relays events as they arrive. Comments that only keep the
// connection open don't stop the attempt timer.
func (x *call) relayStream(ctx context.Context, response *http.Response, timer *time.Timer) result {
	r := event.FromResponse(response)
	r.ShareRoom(x.server.buffers)
	defer r.Release()
	response.Header.Del("Content-Length")
	for {
		e := r.Next()
		if errors.Is(e, io.EOF) {
			x.writeHead(response)
			return result{complete: true, verdict: trail.Ran}
		}
		if e != nil {
			return x.brokenResult(ctx, e)
		}
		if !r.Empty() {
			timer.Stop()
			x.recordBegun(response.StatusCode)
		}
		if !event.Follows(x.lastEventID, r.ID()) {
			return x.brokenResult(ctx, errEventSequence)
		}
		if !r.Empty() {
			x.hasEvent = true
			x.recordEvent()
			x.recordStream()
		}
		x.writeHead(response)
		_, e = x.writer.Write(r.Raw())
		if e != nil {
			return result{cause: errors.Wrap(e, "write to caller"), verdict: trail.MayHaveRun, callerGone: true}
		}
		x.timing.checkWrite(time.Now())
		if r.ID() != "" {
			x.lastEventID = strings.Clone(r.ID())
		}
	}
}
