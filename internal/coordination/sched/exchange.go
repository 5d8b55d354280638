package sched

import (
	"context"
	"io"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// exchange runs one call from its arrival to the end of its answer.
type exchange struct {
	scheduler *Scheduler
	request   *wire.Call
	// Set by the task before it closes accepted.
	key      uint64
	accepted chan struct{}
	// Holds the latest order of the task. A new order replaces one that was not
	// received yet, because the attempt of the older one has been cancelled.
	orders chan order
	answer *answer
}

// order instructs an exchange to run an attempt or to end the call.
type order struct {
	// Cancelled when the task cancels the attempt.
	ctx       context.Context
	attemptID string
	address   string
	// If not nil, the call ends with this reply.
	end *wire.End
}

// setOrder sets the next order of the exchange. Only the task calls it.
func (x *exchange) setOrder(next order) {
	select {
	case <-x.orders:
	default:
	}
	x.orders <- next
}

// serve runs a call and sends its replies by send.
func (s *Scheduler) serve(ctx context.Context, request *wire.Call, send func(*wire.Reply) error) {
	x := &exchange{
		scheduler: s,
		request:   request,
		accepted:  make(chan struct{}),
		orders:    make(chan order, 1),
		answer:    newAnswer(request, send),
	}
	if !s.sendEvent(ctx, arrival{x}) {
		x.answer.sendEnd(stoppedEnd(wire.Verdict_VERDICT_NOT_RUN))
		return
	}
	<-x.accepted
	// The task must receive this event even if ctx is cancelled.
	defer s.sendEvent(s.ctx, departure{x.key})
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.done:
			x.answer.sendEnd(stoppedEnd(wire.Verdict_VERDICT_MAY_HAVE_RUN))
			return
		case o := <-x.orders:
			if o.end != nil {
				x.answer.sendEnd(o.end)
				return
			}
			if x.runAttempt(ctx, o) {
				return
			}
		}
	}
}

// replyOrError is a reply of an attempt, or the error that ended its replies.
type replyOrError struct {
	reply *wire.Reply
	err   error
	// Whether the attempt failed before its first reply.
	unanswered bool
}

// stoppedEnd returns the last reply to a call whose scheduler has stopped.
func stoppedEnd(verdict wire.Verdict) *wire.End {
	return wire.End_builder{
		Verdict: &verdict,
		Code:    proto.String("scheduler-stopped"),
		Message: proto.String("the scheduler has stopped"),
	}.Build()
}

// runAttempt runs one attempt and returns whether the call has ended with it.
func (x *exchange) runAttempt(ctx context.Context, order order) bool {
	l := make(chan replyOrError)
	q := proto.CloneOf(x.request)
	q.SetAttemptId(order.attemptID)
	if n := x.answer.tokensSent; n > 0 {
		q.SetResumeOffset(x.request.GetResumeOffset() + n)
	}
	// The end of the requester's context also ends the attempt, before the task
	// cancels it.
	d, f := context.WithCancel(order.ctx)
	defer f()
	defer context.AfterFunc(ctx, f)()
	go x.readReplies(d, order, q, l)
	w := x.answer.newOutput()
	for {
		select {
		case <-d.Done():
			return ctx.Err() != nil
		case m := <-l:
			p := x.handleReply(d, order, w, m)
			if p != attemptContinues {
				return p == callEnded
			}
		}
	}
}

// readReplies delivers the replies of one attempt to the exchange. After the
// attempt is cancelled, it counts the replies that still arrive.
func (x *exchange) readReplies(ctx context.Context, order order, request *wire.Call, out chan<- replyOrError) {
	if ctx.Err() != nil {
		return
	}
	p, e := x.scheduler.backends.Call(ctx, order.address, request)
	if e != nil {
		deliver(ctx, out, replyOrError{err: e, unanswered: true})
		return
	}
	for {
		m, e := p.Recv()
		if e == nil && deliver(ctx, out, replyOrError{reply: m}) {
			continue
		}
		_ = p.Close()
		if e != nil {
			deliver(ctx, out, replyOrError{err: e})
			return
		}
		break
	}
	for n := 1; ; n++ {
		x.scheduler.counters.dropped.WithLabelValues(dropLate).Inc()
		_, e = p.Recv()
		if e != nil || n >= maxLateReplies {
			return
		}
	}
}

// maxLateReplies limits the replies read after a cancellation, in case the
// backend server ignores it.
const maxLateReplies = 1000

func deliver(ctx context.Context, out chan<- replyOrError, reply replyOrError) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case out <- reply:
		return true
	case <-ctx.Done():
		return false
	}
}

// progress is the state of a call after a reply.
type progress int

const (
	attemptContinues progress = iota
	// The attempt has ended and the call waits for the next order.
	awaitingOrder
	callEnded
)

// handleReply handles one reply of the attempt of the given order.
func (x *exchange) handleReply(ctx context.Context, order order, output *attemptOutput, received replyOrError) progress {
	if received.err != nil {
		return x.handleError(ctx, order, received)
	}
	if i := received.reply.GetAttemptId(); i != order.attemptID {
		x.scheduler.counters.dropped.WithLabelValues(dropCrossed).Inc()
		return attemptContinues
	}
	switch received.reply.WhichPart() {
	case wire.Reply_Head_case:
		return x.handleHead(ctx, order, output, received.reply.GetHead())
	case wire.Reply_Data_case:
		return x.handleData(ctx, order, output, received.reply.GetData())
	case wire.Reply_End_case:
		return x.handleEnd(ctx, order, output, received.reply.GetEnd())
	}
	return attemptContinues
}

// handleError reports to the task that the replies of an attempt ended with an
// error.
func (x *exchange) handleError(ctx context.Context, order order, received replyOrError) progress {
	f := attemptFailure{attemptID: order.attemptID, outcome: outcomeFailed, verdict: trail.VerdictOf(received.err), code: trail.CodeOf(received.err)}
	switch {
	case received.unanswered && f.verdict == trail.NotRun && isUnconnected(f.code):
		f.outcome = outcomeRefused
	case received.unanswered && f.verdict == trail.NotRun && f.code == codeServerLeaving:
		f.outcome = outcomeDraining
	case f.code == codeLost:
		f.outcome = outcomeCrashed
	}
	if received.err == io.EOF {
		// The replies ended without an End.
		f.verdict = trail.MayHaveRun
		f.code = codeIncomplete
	}
	x.scheduler.sendEvent(ctx, f)
	return awaitingOrder
}
