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

// depotTimeout bounds one call to a depot. Before a depot replies to a store, it
// syncs its disk and copies the answer to another depot.
const depotTimeout = 5 * time.Second

// rankedDepots returns the depots in the order of their preference for a
// request: the first one in rendezvous order, the next one of another data
// centre, and then the rest.
func (k *Client) rankedDepots(request *wire.Answer) []*wire.Member {
	l := owner.Rank(k.views.Latest().GetMembers(), "depot", request.GetCaller()+"\x00"+request.GetRequestId(), "")
	for i := 1; i < len(l); i++ {
		if l[i].GetDataCentre() != l[0].GetDataCentre() {
			m := l[i]
			return slices.Insert(slices.Delete(l, i, i+1), 1, m)
		}
	}
	return l
}

// callDepot sends a request to a depot and receives the reply. It leaves the
// stream open. A depot that failed recently is not called.
func (k *Client) callDepot(ctx context.Context, member *wire.Member, request *wire.Answer) (*wire.AnswerReply, *frame.Stream, error) {
	if k.isSuspect(member.GetPeerAddress()) {
		return nil, nil, trail.NewError("peer-unreachable", trail.NotRun, "depot %s not called after a recent failure", member.GetId())
	}
	o := &wire.Open{}
	o.SetAnswer(request)
	a, s, e := k.exchange(ctx, member.GetPeerAddress(), o)
	if e != nil && ctx.Err() == nil {
		k.markSuspect(member.GetPeerAddress())
	}
	if e != nil {
		return nil, nil, e
	}
	if a.GetResult() == wire.AnswerReply_RESULT_FAILED {
		_ = s.Close()
		return nil, nil, trail.NewError("depot-refuses", trail.NotRun, "depot %s: %s", member.GetId(), a.GetMessage())
	}
	return a, s, nil
}

func (k *Client) exchange(ctx context.Context, address string, open *wire.Open) (*wire.AnswerReply, *frame.Stream, error) {
	c, f := context.WithTimeout(ctx, depotTimeout)
	defer f()
	s, e := k.mesh.Open(c, address, open)
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

// readAny queries depots concurrently. It prefers a stored answer, that of the
// first depot in the list, to a registration. When no depot has the answer, the
// error is that of a depot that could not be queried.
func (k *Client) readAny(ctx context.Context, members []*wire.Member, request *wire.Answer) (*wire.AnswerReply, error) {
	type result struct {
		reply *wire.AnswerReply
		err   error
	}
	q := make([]chan result, len(members))
	for i, m := range members {
		q[i] = make(chan result, 1)
		go func() {
			a, s, e := k.callDepot(ctx, m, request)
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
		switch x.reply.GetResult() {
		case wire.AnswerReply_RESULT_STORED, wire.AnswerReply_RESULT_MISMATCH:
			return x.reply, nil
		case wire.AnswerReply_RESULT_RUNNING:
			b = x.reply
		default:
			if x.err != nil {
				f = x.err
			}
		}
	}
	return b, f
}
