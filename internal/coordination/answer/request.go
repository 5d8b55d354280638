package answer

import (
	"context"
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// askTimeout bounds one exchange with a depot, which syncs its disk and copies
// to another depot before it replies to a store.
const askTimeout = 5 * time.Second

// ranked returns the depots for a request: the first in rendezvous order, the
// next one in another data centre, and then the rest.
func (k *Client) ranked(r *wire.Answer) []*wire.Member {
	l := owner.Rank(k.v.Latest().GetMembers(), "depot", r.GetCaller()+"\x00"+r.GetRequestId(), "")
	for i := 1; i < len(l); i++ {
		if l[i].GetDataCentre() != l[0].GetDataCentre() {
			m := l[i]
			return slices.Insert(slices.Delete(l, i, i+1), 1, m)
		}
	}
	return l
}

// ask has one exchange with a depot and leaves the stream open.
func (k *Client) ask(c context.Context, m *wire.Member, r *wire.Answer) (*wire.AnswerReply, *frame.Stream, error) {
	if k.suspected(m.GetPeerAddress()) {
		return nil, nil, trail.NewError("peer-unreachable", trail.NotRun, "depot %s did not answer a moment ago", m.GetId())
	}
	o := &wire.Open{}
	o.SetAnswer(r)
	a, s, e := k.exchange(c, m.GetPeerAddress(), o)
	if e != nil && c.Err() == nil {
		k.suspect(m.GetPeerAddress())
	}
	if e != nil {
		return nil, nil, e
	}
	if a.GetResult() == wire.AnswerReply_RESULT_FAILED {
		_ = s.Close()
		return nil, nil, trail.NewError("depot-refuses", trail.NotRun, "depot %s: %s", m.GetId(), a.GetMessage())
	}
	return a, s, nil
}

func (k *Client) exchange(c context.Context, address string, o *wire.Open) (*wire.AnswerReply, *frame.Stream, error) {
	c, f := context.WithTimeout(c, askTimeout)
	defer f()
	s, e := k.m.Open(c, address, o)
	if e != nil {
		return nil, nil, e
	}
	w := context.AfterFunc(c, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	a := &wire.AnswerReply{}
	e = s.Recv(a)
	if e == nil && !w() {
		e = c.Err()
	}
	if e != nil {
		w()
		_ = s.Close()
		return nil, nil, trail.WrapError(e, "peer-lost", trail.MayHaveRun, "depot at %s did not answer", address)
	}
	return a, s, nil
}

// readFrom asks depots at the same time. An answer of an earlier one is
// preferred, then a registration. The error is that of a depot that could not
// be asked, when none has the answer.
func (k *Client) readFrom(c context.Context, l []*wire.Member, r *wire.Answer) (*wire.AnswerReply, error) {
	type result struct {
		a *wire.AnswerReply
		e error
	}
	q := make([]chan result, len(l))
	for i, m := range l {
		q[i] = make(chan result, 1)
		go func() {
			a, s, e := k.ask(c, m, r)
			if e == nil {
				_ = s.Close()
			}
			q[i] <- result{a, e}
		}()
	}
	b := &wire.AnswerReply{}
	b.SetResult(wire.AnswerReply_RESULT_MISSING)
	var f error
	for _, w := range q {
		x := <-w
		switch x.a.GetResult() {
		case wire.AnswerReply_RESULT_STORED, wire.AnswerReply_RESULT_MISMATCH:
			return x.a, nil
		case wire.AnswerReply_RESULT_RUNNING:
			b = x.a
		default:
			if x.e != nil {
				f = x.e
			}
		}
	}
	return b, f
}
