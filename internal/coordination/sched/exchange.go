package sched

import (
	"context"
	"io"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// exchange is one call from its arrival to the end of its answer.
type exchange struct {
	scheduler *Scheduler
	request   *wire.Call
	// Set by the task before accepted is closed.
	key      uint64
	accepted chan struct{}
	// Holds the task's latest order. An order that was not taken yet is
	// replaced: its attempt has been cancelled.
	orders chan order
	// What the requester has of the answer.
	answer *answer
}

// order tells an exchange to run an attempt, or to end the call.
type order struct {
	// Ends when the task cancels the attempt.
	ctx       context.Context
	attemptID string
	address   string
	// Set to end the call.
	end *wire.End
}

// setOrder gives the exchange its next order. Only the task calls it.
func (x *exchange) setOrder(next order) {
	select {
	case <-x.orders:
	default:
	}
	x.orders <- next
}

// serve runs a call and passes its answer on by emit.
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
	// The task must learn of the end also when c has ended.
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

// replyOrError is a reply of an attempt, or the error in its place.
type replyOrError struct {
	reply *wire.Reply
	err   error
	// Whether the attempt failed before it had replies.
	unanswered bool
}

// stoppedEnd is the end of a call whose scheduler has stopped.
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
	// The requester's end also ends the attempt, before the task cancels it.
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

// readReplies passes the replies of one attempt to the exchange. After the attempt
// was cancelled it counts what still arrives.
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

// maxLateReplies bounds the replies that are read after a cancellation, in
// case that a backend server ignores it.
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

// progress says what follows a reply.
type progress int

const (
	// The attempt goes on.
	attemptContinues progress = iota
	// The attempt has ended, and the call waits for an order.
	awaitingOrder
	// The call has ended.
	callEnded
)

// handleReply handles one reply of the attempt o, which is w at the requester.
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

// handleError reports an attempt whose connection failed.
func (x *exchange) handleError(ctx context.Context, order order, received replyOrError) progress {
	f := failure{attemptID: order.attemptID, outcome: outcomeFailed, verdict: trail.VerdictOf(received.err), code: trail.CodeOf(received.err)}
	switch {
	case received.unanswered && f.verdict == trail.NotRun && isUnconnected(f.code):
		f.outcome = outcomeRefused
	case received.unanswered && f.verdict == trail.NotRun && f.code == codeLeaving:
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
