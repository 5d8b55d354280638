package route

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// Call runs the call at a scheduler that has backend servers of the service
// named by target. A call that fails before its first data may be retried at
// another scheduler, so Recv holds the head back until the first data or the
// end arrives.
func (s *Router) Call(ctx context.Context, target string, call *wire.Call) (trail.Replies, error) {
	q := proto.CloneOf(call)
	q.SetService(target)
	s.do(func(o *state) { o.budget(target).RecordFirst() })
	d, f := withDeadline(ctx, q)
	p := &replies{router: s, ctx: d, cancel: f, call: q, callerAttempt: q.GetAttemptId(), tried: map[string]bool{}}
	e := p.dispatch(nil)
	if e != nil {
		_ = p.Close()
		return nil, e
	}
	return p, nil
}

// withDeadline returns a context that ends at the deadline of the call, if it
// has one.
func withDeadline(ctx context.Context, call *wire.Call) (context.Context, context.CancelFunc) {
	if call.GetDeadlineUnixMs() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, time.UnixMilli(call.GetDeadlineUnixMs()))
}

// replies relays the answer of one call from the scheduler that runs it.
type replies struct {
	router *Router
	ctx    context.Context
	cancel context.CancelFunc
	// A copy whose attempt id is that of the current attempt.
	call *wire.Call
	// Attempt id that the caller set. Ids of later attempts are derived from
	// it.
	callerAttempt string
	tried         map[string]bool
	// Scheduler and stream of the current attempt; nil between attempts.
	scheduler *wire.Member
	// Number of reports received from the scheduler when the attempt began.
	reportCount int
	stream      *frame.Stream
	stopAbort   func() bool
	// Head that is held back until the first data or the end.
	pendingHead *wire.Reply
	// Next reply to return, after the head that was held back.
	buffered *wire.Reply
	// Whether a reply was returned. From then on the call is not retried.
	delivered bool
	// Whether an earlier attempt may have run. No later failure then has the
	// verdict NotRun.
	mayHaveRun bool
	// Number of body bytes received in the current attempt.
	offset int64
	ended  bool
}

// dispatch sends the call to the best scheduler that accepts a stream. last is
// the failure of the previous attempt, nil for the first one.
func (p *replies) dispatch(last error) error {
	for {
		e := p.ctx.Err()
		if e != nil {
			return p.withEarlierVerdict(expiredError(e))
		}
		k := p.router.choose(p.call, p.tried)
		if k == nil {
			return p.withEarlierVerdict(p.noSchedulerError(last))
		}
		p.scheduler = k.member
		p.reportCount = k.reportCount
		p.tried[k.member.GetId()] = true
		n, e := p.router.mesh.Open(p.ctx, k.member.GetPeerAddress(), wire.Open_builder{Call: p.call}.Build())
		if e == nil {
			p.stream = n
			p.stopAbort = context.AfterFunc(p.ctx, func() { abort(n) })
			return nil
		}
		if p.ctx.Err() == nil {
			p.router.markFailed(k.member.GetId())
		}
		p.release()
		if !p.prepareRetry(e) {
			return p.withEarlierVerdict(e)
		}
		last = e
	}
}

// expiredError returns the failure of a call whose context ended before it was
// sent.
func expiredError(cause error) error {
	s := "cancelled"
	if errors.Is(cause, context.DeadlineExceeded) {
		s = "deadline-exceeded"
	}
	return trail.WrapError(cause, s, trail.NotRun, "request ended before a scheduler took it")
}

// withEarlierVerdict returns err, with the verdict MayHaveRun in place of NotRun
// if an earlier attempt may have run.
func (p *replies) withEarlierVerdict(err error) error {
	if !p.mayHaveRun || trail.VerdictOf(err) != trail.NotRun {
		return err
	}
	return trail.WrapError(err, trail.CodeOf(err), trail.MayHaveRun, "an earlier attempt may have run")
}

// noSchedulerError returns the failure of a call for which no scheduler is left
// to try. The failure of the last attempt is more specific, if there was one.
func (p *replies) noSchedulerError(last error) error {
	if last != nil {
		return last
	}
	return trail.NewError("no-scheduler", trail.NotRun, "no scheduler has backend servers of service %s",
		p.call.GetService()).WithRetryAfter(time.Second)
}

// retryableCodes are the error codes after which another scheduler may be able
// to run the call, if the attempt did not run.
var retryableCodes = map[string]bool{
	"no-backend-server":  true,
	"backend-draining":   true,
	"backend-refused":    true,
	"scheduler-draining": true,
	"scheduler-stopped":  true,
	"leaving":            true,
	"peer-unreachable":   true,
}

// codeRequestRejected is the error code of a request that has crashed too many
// backend servers. The request must not be retried, whatever the verdict.
const codeRequestRejected = "request-rejected"

// prepareRetry returns whether the call is retried at another scheduler after
// the failure cause. If so, it resets the state for the next attempt.
func (p *replies) prepareRetry(cause error) bool {
	if p.delivered || p.ctx.Err() != nil || trail.CodeOf(cause) == codeRequestRejected {
		return false
	}
	v := trail.VerdictOf(cause)
	switch {
	case v == trail.NotRun && retryableCodes[trail.CodeOf(cause)]:
	case v == trail.MayHaveRun && !p.call.GetNonIdempotent():
		var b bool
		p.router.do(func(o *state) {
			// Take no retry from the budget if there is no other scheduler.
			b = len(o.table.candidates(p.call, p.tried)) > 0 && o.budget(p.call.GetService()).Take()
		})
		if !b {
			return false
		}
	default:
		return false
	}
	p.router.metrics.retried.WithLabelValues(v.String()).Inc()
	p.mayHaveRun = p.mayHaveRun || v == trail.MayHaveRun
	p.pendingHead = nil
	p.offset = 0
	p.call.SetAttemptId(fmt.Sprintf("%s.%d", p.callerAttempt, len(p.tried)+1))
	return true
}

// Recv returns the next reply, or io.EOF after the end.
func (p *replies) Recv() (*wire.Reply, error) {
	if p.buffered != nil {
		r := p.buffered
		p.buffered = nil
		return r, nil
	}
	if p.ended {
		return nil, io.EOF
	}
	for {
		r, e := p.receive()
		f := e
		if f == nil {
			f = endError(r)
		}
		switch {
		case f != nil && p.prepareRetry(f):
			p.call.SetCrashes(append(p.call.GetCrashes(), r.GetEnd().GetCrashes()...))
			p.release()
			e = p.dispatch(f)
		case e == nil && r.HasHead():
			p.pendingHead = r
		case e == nil:
			return p.deliver(r), nil
		}
		if e != nil {
			p.ended = true
			p.release()
			return nil, p.withEarlierVerdict(e)
		}
	}
}

// deliver returns the head that was held back and buffers reply, or returns
// reply if there is no such head.
func (p *replies) deliver(reply *wire.Reply) *wire.Reply {
	p.delivered = true
	// The caller only knows the attempt id that it set.
	reply.SetAttemptId(p.callerAttempt)
	if p.pendingHead != nil {
		p.pendingHead.SetAttemptId(p.callerAttempt)
	}
	if reply.HasEnd() {
		if p.mayHaveRun && reply.GetEnd().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN {
			reply.GetEnd().SetVerdict(wire.Verdict_VERDICT_MAY_HAVE_RUN)
		}
		p.ended = true
		p.release()
	}
	if p.pendingHead == nil {
		return reply
	}
	h := p.pendingHead
	p.pendingHead = nil
	p.buffered = reply
	return h
}

// receive returns the next reply of the current attempt. It drops replies of
// other attempts and repeated data, and fails if data is missing.
func (p *replies) receive() (*wire.Reply, error) {
	for {
		r := &wire.Reply{}
		e := p.stream.Recv(r)
		if e != nil {
			return nil, p.streamError(e)
		}
		if r.GetAttemptId() != p.call.GetAttemptId() {
			p.router.metrics.dropped.WithLabelValues("attempt").Inc()
			continue
		}
		if !r.HasData() {
			return r, nil
		}
		o := r.GetData().GetOffset()
		if o < p.offset {
			p.router.metrics.dropped.WithLabelValues("repeated").Inc()
			continue
		}
		if o > p.offset {
			p.router.metrics.dropped.WithLabelValues("skipped").Inc()
			return nil, trail.NewError("answer-incomplete", trail.MayHaveRun,
				"answer lacks the bytes from %d to %d", p.offset, o)
		}
		p.offset += int64(len(r.GetData().GetChunk()))
		return r, nil
	}
}

// streamError returns the failure of an attempt whose stream failed. It does not
// mark the scheduler as failed: if the whole session is lost, the subscription
// to its load reports ends too and marks it.
func (p *replies) streamError(cause error) error {
	d := p.ctx.Err()
	if errors.Is(d, context.DeadlineExceeded) {
		return trail.WrapError(d, "deadline-exceeded", trail.MayHaveRun, "answer was not complete at the deadline")
	}
	if d != nil {
		return trail.WrapError(d, "cancelled", trail.MayHaveRun, "request was cancelled")
	}
	if errors.Is(cause, io.EOF) {
		// Callers take io.EOF as the end of a complete answer, so it must not
		// be in the error chain of a failure.
		cause = io.ErrUnexpectedEOF
	}
	return trail.WrapError(cause, "scheduler-lost", trail.MayHaveRun, "connection to scheduler %s was lost", p.scheduler.GetId())
}

// endError returns the failure that an End reports, or nil for other replies.
func endError(reply *wire.Reply) error {
	if !reply.HasEnd() || reply.GetEnd().GetCode() == "" {
		return nil
	}
	n := reply.GetEnd()
	v := trail.VerdictFromProto(n.GetVerdict())
	return trail.NewError(n.GetCode(), v, "%s", n.GetMessage()).WithRetryAfter(time.Duration(n.GetRetryAfterMs()) * time.Millisecond)
}

// release aborts the stream of the current attempt and no longer counts the
// call as running at its scheduler.
func (p *replies) release() {
	if p.stopAbort != nil {
		p.stopAbort()
		p.stopAbort = nil
	}
	if p.stream != nil {
		abort(p.stream)
		p.stream = nil
	}
	if p.scheduler == nil {
		return
	}
	i, v, n := p.scheduler.GetId(), p.call.GetService(), p.reportCount
	p.scheduler = nil
	p.router.do(func(o *state) { o.table.callEnded(i, v, n) })
}

// Close aborts the stream, which cancels the call if it is still running.
func (p *replies) Close() error {
	p.cancel()
	p.release()
	p.ended = true
	p.buffered = nil
	return nil
}
