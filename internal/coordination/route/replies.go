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

// Call runs r at a scheduler that has backend servers of the service named by
// target. A failure before the first data may be passed on to another
// scheduler, so the head is returned together with the first data or the end.
func (s *Router) Call(c context.Context, target string, r *wire.Call) (trail.Replies, error) {
	q := proto.CloneOf(r)
	q.SetService(target)
	s.do(func(o *state) { o.budget(target).First() })
	d, f := bounded(c, q)
	p := &replies{s: s, c: d, cancel: f, call: q, first: q.GetAttemptId(), tried: map[string]bool{}}
	e := p.dispatch(nil)
	if e != nil {
		_ = p.Close()
		return nil, e
	}
	return p, nil
}

// bounded ends at the deadline of the call, if it has one.
func bounded(c context.Context, r *wire.Call) (context.Context, context.CancelFunc) {
	if r.GetDeadlineUnixMs() == 0 {
		return context.WithCancel(c)
	}
	return context.WithDeadline(c, time.UnixMilli(r.GetDeadlineUnixMs()))
}

// replies relays the answer of one call from the scheduler that runs it.
type replies struct {
	s      *Router
	c      context.Context
	cancel context.CancelFunc
	// Its attempt id is that of the current attempt.
	call *wire.Call
	// Attempt id that the caller gave; later ones are derived from it.
	first string
	tried map[string]bool
	// The current attempt's scheduler and stream; nil between attempts.
	member *wire.Member
	// Reports of the scheduler when the attempt began.
	reports int
	n       *frame.Stream
	stop    func() bool
	// Head that waits for the first data or the end.
	head *wire.Reply
	// Reply that follows a head that was just returned.
	next *wire.Reply
	// Whether a reply was returned, after which nothing is passed on.
	begun bool
	// Whether an attempt that was passed on may have run. No later failure
	// has the verdict NotRun then.
	mayHaveRun bool
	// Bytes of the body received in the current attempt.
	offset int64
	ended  bool
}

// dispatch sends the call to the next scheduler that takes it. The failure of
// the attempt before is nil for the first one.
func (p *replies) dispatch(last error) error {
	for {
		e := p.c.Err()
		if e != nil {
			return p.honest(expired(e))
		}
		k := p.s.choose(p.call, p.tried)
		if k == nil {
			return p.honest(p.nowhere(last))
		}
		p.member = k.member
		p.reports = k.reports
		p.tried[k.member.GetId()] = true
		n, e := p.s.m.Open(p.c, k.member.GetPeerAddress(), wire.Open_builder{Call: p.call}.Build())
		if e == nil {
			p.n = n
			p.stop = context.AfterFunc(p.c, func() { abort(n) })
			return nil
		}
		if p.c.Err() == nil {
			p.s.failed(k.member.GetId())
		}
		p.release()
		if !p.passes(e) {
			return p.honest(e)
		}
		last = e
	}
}

// expired is the failure of a call whose context ended before it was sent.
func expired(e error) error {
	s := "cancelled"
	if errors.Is(e, context.DeadlineExceeded) {
		s = "deadline-exceeded"
	}
	return trail.WrapError(e, s, trail.NotRun, "request ended before a scheduler took it")
}

// honest returns e with the verdict MayHaveRun if an earlier attempt may have
// run.
func (p *replies) honest(e error) error {
	if !p.mayHaveRun || trail.VerdictOf(e) != trail.NotRun {
		return e
	}
	return trail.WrapError(e, trail.CodeOf(e), trail.MayHaveRun, "an earlier attempt may have run")
}

// nowhere is the failure of a call that no scheduler takes. The failure of the
// last one tells more, if there was one.
func (p *replies) nowhere(last error) error {
	if last != nil {
		return last
	}
	return trail.NewError("no-scheduler", trail.NotRun, "no scheduler has backend servers of service %s",
		p.call.GetService()).WithRetryAfter(time.Second)
}

// refusals are the codes by which a scheduler says that another one may be
// able to run the call.
var refusals = map[string]bool{
	"no-backend-server":  true,
	"backend-draining":   true,
	"backend-refused":    true,
	"scheduler-draining": true,
	"scheduler-stopped":  true,
	"leaving":            true,
	"peer-unreachable":   true,
}

// codeRejected says that the request has crashed too many backend servers. It
// must not reach another one, whatever the verdict.
const codeRejected = "request-rejected"

// passes says whether the call goes to another scheduler after the failure e,
// and prepares its next attempt.
func (p *replies) passes(e error) bool {
	if p.begun || p.c.Err() != nil || trail.CodeOf(e) == codeRejected {
		return false
	}
	v := trail.VerdictOf(e)
	switch {
	case v == trail.NotRun && refusals[trail.CodeOf(e)]:
	case v == trail.MayHaveRun && !p.call.GetNonIdempotent():
		var b bool
		p.s.do(func(o *state) {
			// Nothing is spent when there is nowhere to go.
			b = len(o.table.candidates(p.call, p.tried)) > 0 && o.budget(p.call.GetService()).Take()
		})
		if !b {
			return false
		}
	default:
		return false
	}
	p.s.counts.passed.WithLabelValues(v.String()).Inc()
	p.mayHaveRun = p.mayHaveRun || v == trail.MayHaveRun
	p.head = nil
	p.offset = 0
	p.call.SetAttemptId(fmt.Sprintf("%s.%d", p.first, len(p.tried)+1))
	return true
}

// Recv returns the next reply.
func (p *replies) Recv() (*wire.Reply, error) {
	if p.next != nil {
		r := p.next
		p.next = nil
		return r, nil
	}
	if p.ended {
		return nil, io.EOF
	}
	for {
		r, e := p.receive()
		f := e
		if f == nil {
			f = refusal(r)
		}
		switch {
		case f != nil && p.passes(f):
			p.call.SetCrashes(append(p.call.GetCrashes(), r.GetEnd().GetCrashes()...))
			p.release()
			e = p.dispatch(f)
		case e == nil && r.HasHead():
			p.head = r
		case e == nil:
			return p.deliver(r), nil
		}
		if e != nil {
			p.ended = true
			p.release()
			return nil, p.honest(e)
		}
	}
}

// deliver returns the head that waited, if any, and then r.
func (p *replies) deliver(r *wire.Reply) *wire.Reply {
	p.begun = true
	// The caller knows only the attempt that it began.
	r.SetAttemptId(p.first)
	if p.head != nil {
		p.head.SetAttemptId(p.first)
	}
	if r.HasEnd() {
		if p.mayHaveRun && r.GetEnd().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN {
			r.GetEnd().SetVerdict(wire.Verdict_VERDICT_MAY_HAVE_RUN)
		}
		p.ended = true
		p.release()
	}
	if p.head == nil {
		return r
	}
	h := p.head
	p.head = nil
	p.next = r
	return h
}

// receive returns the next reply of the current attempt. Replies of another
// attempt and repeated data are dropped.
func (p *replies) receive() (*wire.Reply, error) {
	for {
		r := &wire.Reply{}
		e := p.n.Recv(r)
		if e != nil {
			return nil, p.lost(e)
		}
		if r.GetAttemptId() != p.call.GetAttemptId() {
			p.s.counts.dropped.WithLabelValues("attempt").Inc()
			continue
		}
		if !r.HasData() {
			return r, nil
		}
		o := r.GetData().GetOffset()
		if o < p.offset {
			p.s.counts.dropped.WithLabelValues("repeated").Inc()
			continue
		}
		if o > p.offset {
			p.s.counts.dropped.WithLabelValues("skipped").Inc()
			return nil, trail.NewError("answer-incomplete", trail.MayHaveRun,
				"answer lacks the bytes from %d to %d", p.offset, o)
		}
		p.offset += int64(len(r.GetData().GetChunk()))
		return r, nil
	}
}

// lost is the failure of an attempt whose stream broke. It does not make the
// scheduler avoided: when the whole session is lost, the subscription to the
// reports is lost too.
func (p *replies) lost(e error) error {
	d := p.c.Err()
	if errors.Is(d, context.DeadlineExceeded) {
		return trail.WrapError(d, "deadline-exceeded", trail.MayHaveRun, "answer was not complete at the deadline")
	}
	if d != nil {
		return trail.WrapError(d, "cancelled", trail.MayHaveRun, "request was cancelled")
	}
	if errors.Is(e, io.EOF) {
		// io.EOF stands for a complete answer and must not be found in the
		// chain of a failure.
		e = io.ErrUnexpectedEOF
	}
	return trail.WrapError(e, "scheduler-lost", trail.MayHaveRun, "connection to scheduler %s was lost", p.member.GetId())
}

// refusal returns the failure that an End reports, nil for other replies.
func refusal(r *wire.Reply) error {
	if !r.HasEnd() || r.GetEnd().GetCode() == "" {
		return nil
	}
	n := r.GetEnd()
	v := trail.VerdictFromProto(n.GetVerdict())
	return trail.NewError(n.GetCode(), v, "%s", n.GetMessage()).WithRetryAfter(time.Duration(n.GetRetryAfterMs()) * time.Millisecond)
}

// release ends the current attempt and its count at the scheduler.
func (p *replies) release() {
	if p.stop != nil {
		p.stop()
		p.stop = nil
	}
	if p.n != nil {
		abort(p.n)
		p.n = nil
	}
	if p.member == nil {
		return
	}
	i, v, n := p.member.GetId(), p.call.GetService(), p.reports
	p.member = nil
	p.s.do(func(o *state) { o.table.ended(i, v, n) })
}

// Close ends the stream, which cancels the call if it runs.
func (p *replies) Close() error {
	p.cancel()
	p.release()
	p.ended = true
	p.next = nil
	return nil
}
