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
	s *Sched
	r *wire.Call
	// Set by the task before accepted is closed.
	key      uint64
	accepted chan struct{}
	// Holds the task's latest order. An order that was not taken yet is
	// replaced: its attempt has been cancelled.
	orders chan order
	// What the requester has of the answer.
	a *answer
}

// order tells an exchange to run an attempt, or to end the call.
type order struct {
	// Ends when the task cancels the attempt.
	c       context.Context
	attempt string
	address string
	// Set to end the call.
	end *wire.End
}

// order gives the exchange its next order. Only the task calls it.
func (x *exchange) order(o order) {
	select {
	case <-x.orders:
	default:
	}
	x.orders <- o
}

// serve runs a call and passes its answer on by emit.
func (s *Sched) serve(c context.Context, r *wire.Call, emit func(*wire.Reply) error) {
	x := &exchange{
		s:        s,
		r:        r,
		accepted: make(chan struct{}),
		orders:   make(chan order, 1),
		a:        newAnswer(r, emit),
	}
	if !s.send(c, arrival{x}) {
		x.a.end(stopped(wire.Verdict_VERDICT_NOT_RUN))
		return
	}
	<-x.accepted
	// The task must learn of the end also when c has ended.
	defer s.send(s.c, departure{x.key})
	for {
		select {
		case <-c.Done():
			return
		case <-s.done:
			x.a.end(stopped(wire.Verdict_VERDICT_MAY_HAVE_RUN))
			return
		case o := <-x.orders:
			if o.end != nil {
				x.a.end(o.end)
				return
			}
			if x.attempt(c, o) {
				return
			}
		}
	}
}

// received is a reply of an attempt, or the error in its place.
type received struct {
	m *wire.Reply
	e error
	// Whether the attempt failed before it had replies.
	unanswered bool
}

// stopped is the end of a call whose scheduler has stopped.
func stopped(v wire.Verdict) *wire.End {
	return wire.End_builder{
		Verdict: &v,
		Code:    proto.String("scheduler-stopped"),
		Message: proto.String("the scheduler has stopped"),
	}.Build()
}

// attempt runs one attempt and returns whether the call has ended with it.
func (x *exchange) attempt(c context.Context, o order) bool {
	l := make(chan received)
	q := proto.CloneOf(x.r)
	q.SetAttemptId(o.attempt)
	if n := x.a.tokens; n > 0 {
		q.SetResumeOffset(x.r.GetResumeOffset() + n)
	}
	// The requester's end also ends the attempt, before the task cancels it.
	d, f := context.WithCancel(o.c)
	defer f()
	defer context.AfterFunc(c, f)()
	go x.read(d, o, q, l)
	w := x.a.resume()
	for {
		select {
		case <-d.Done():
			return c.Err() != nil
		case m := <-l:
			p := x.take(d, o, w, m)
			if p != going {
				return p == ended
			}
		}
	}
}

// read passes the replies of one attempt to the exchange. After the attempt
// was cancelled it counts what still arrives.
func (x *exchange) read(c context.Context, o order, q *wire.Call, l chan<- received) {
	if c.Err() != nil {
		return
	}
	p, e := x.s.backends.Call(c, o.address, q)
	if e != nil {
		pass(c, l, received{e: e, unanswered: true})
		return
	}
	for {
		m, e := p.Recv()
		if e == nil && pass(c, l, received{m: m}) {
			continue
		}
		_ = p.Close()
		if e != nil {
			pass(c, l, received{e: e})
			return
		}
		break
	}
	for n := 1; ; n++ {
		x.s.n.dropped.WithLabelValues(dropLate).Inc()
		_, e = p.Recv()
		if e != nil || n >= maxLateReplies {
			return
		}
	}
}

// maxLateReplies bounds the replies that are read after a cancellation, in
// case that a backend server ignores it.
const maxLateReplies = 1000

func pass(c context.Context, l chan<- received, m received) bool {
	if c.Err() != nil {
		return false
	}
	select {
	case l <- m:
		return true
	case <-c.Done():
		return false
	}
}

// progress says what follows a reply.
type progress int

const (
	// The attempt goes on.
	going progress = iota
	// The attempt has ended, and the call waits for an order.
	waiting
	// The call has ended.
	ended
)

// take handles one reply of the attempt o, which is w at the requester.
func (x *exchange) take(c context.Context, o order, w *part, m received) progress {
	if m.e != nil {
		return x.lost(c, o, m)
	}
	if i := m.m.GetAttemptId(); i != o.attempt {
		x.s.n.dropped.WithLabelValues(dropCrossed).Inc()
		return going
	}
	switch m.m.WhichPart() {
	case wire.Reply_Head_case:
		return x.head(c, o, w, m.m.GetHead())
	case wire.Reply_Data_case:
		return x.data(c, o, w, m.m.GetData())
	case wire.Reply_End_case:
		return x.end(c, o, w, m.m.GetEnd())
	}
	return going
}

// lost reports an attempt whose connection failed.
func (x *exchange) lost(c context.Context, o order, m received) progress {
	f := failure{attempt: o.attempt, o: failed, verdict: trail.VerdictOf(m.e), code: trail.CodeOf(m.e)}
	switch {
	case m.unanswered && f.verdict == trail.NotRun && unconnected(f.code):
		f.o = refused
	case m.unanswered && f.verdict == trail.NotRun && f.code == codeLeaving:
		f.o = draining
	case f.code == codeLost:
		f.o = crashed
	}
	if m.e == io.EOF {
		// The replies ended without an End.
		f.verdict = trail.MayHaveRun
		f.code = codeIncomplete
	}
	x.s.send(c, f)
	return waiting
}
