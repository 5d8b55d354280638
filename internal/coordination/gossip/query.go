package gossip

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

var (
	_ trail.PermitAsker = (*Task)(nil)
	_ trail.StreamAsker = (*Task)(nil)
	_ trail.RateAsker   = (*Task)(nil)
)

// reply is a message that answers a question of this front.
type reply interface{ GetId() uint64 }

// replies holds the questions that wait for their replies.
type replies[R reply] struct {
	mu sync.Mutex
	// Id of the last question.
	last uint64
	// By the id of the question. Each channel has room for the reply.
	waiting map[uint64]chan R
}

// open returns the id of a new question, and the channel that gets its reply.
func (p *replies[R]) open() (uint64, <-chan R) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan R{}
	}
	p.last++
	r := make(chan R, 1)
	p.waiting[p.last] = r
	return p.last, r
}

// close ends the wait for a reply, which is dropped if it still comes.
func (p *replies[R]) close(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *replies[R]) deliver(received R) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.waiting[received.GetId()]
	if r != nil {
		r <- received
		delete(p.waiting, received.GetId())
	}
}

// ask sends a question to another front with one datagram, and returns its reply.
// A lost datagram is not repeated: the question may have been counted.
func ask[R reply](ctx context.Context, t *Task, pending *replies[R], front string, question func(id uint64) wire.Load_builder) (R, error) {
	var z R
	a, e := net.ResolveUDPAddr("udp", t.fronts.Address(front))
	if e != nil {
		return z, errors.Wrapf(e, "peer address of front %s", front)
	}
	i, r := pending.open()
	defer pending.close(i)
	e = t.sendMessage(question(i), a)
	if e != nil {
		return z, e
	}
	select {
	case y := <-r:
		return y, nil
	case <-ctx.Done():
		return z, errors.Wrapf(ctx.Err(), "no reply from front %s", front)
	}
}

// AskPermit implements trail.PermitAsker.
func (t *Task) AskPermit(ctx context.Context, front string, request *wire.PermitRequest) (*wire.PermitReply, error) {
	return ask(ctx, t, &t.permits, front, func(id uint64) wire.Load_builder {
		request.SetId(id)
		return wire.Load_builder{PermitRequest: request}
	})
}

// AskRate implements trail.RateAsker.
func (t *Task) AskRate(ctx context.Context, front string, request *wire.RateRequest) (*wire.RateReply, error) {
	return ask(ctx, t, &t.rateReplies, front, func(id uint64) wire.Load_builder {
		request.SetId(id)
		return wire.Load_builder{RateRequest: request}
	})
}

// AskStream implements trail.StreamAsker.
func (t *Task) AskStream(ctx context.Context, front string, query *wire.StreamQuery) (*wire.StreamReply, error) {
	return ask(ctx, t, &t.streamReplies, front, func(id uint64) wire.Load_builder {
		query.SetId(id)
		return wire.Load_builder{StreamQuery: query}
	})
}

// sendMessage sends a datagram that holds a question or a reply.
func (t *Task) sendMessage(datagram wire.Load_builder, to net.Addr) error {
	datagram.Name = proto.String(t.self.GetName())
	b, e := proto.Marshal(datagram.Build())
	if e != nil {
		return errors.Wrap(e, "encode datagram")
	}
	_, e = t.conn.WriteTo(b, to)
	return errors.Wrap(e, "send datagram")
}

// handleMessage handles a datagram with a question or a reply. It returns false if
// the datagram is none.
func (t *Task) handleMessage(datagram *wire.Load, from net.Addr) bool {
	var e error
	switch {
	case datagram.HasPermitRequest():
		e = t.sendMessage(wire.Load_builder{PermitReply: t.granter.Grant(datagram.GetPermitRequest())}, from)
	case datagram.HasPermitReply():
		t.permits.deliver(datagram.GetPermitReply())
	case datagram.HasRateRequest():
		e = t.sendMessage(wire.Load_builder{RateReply: t.rates.Count(datagram.GetRateRequest())}, from)
	case datagram.HasRateReply():
		t.rateReplies.deliver(datagram.GetRateReply())
	case datagram.HasStreamQuery():
		e = t.sendMessage(wire.Load_builder{StreamReply: t.streams.Answer(datagram.GetStreamQuery())}, from)
	case datagram.HasStreamReply():
		t.streamReplies.deliver(datagram.GetStreamReply())
	default:
		return false
	}
	if e != nil {
		t.logger.WithError(e).WithField("front", datagram.GetName()).Debug("gossip: reply not sent")
	}
	return true
}
