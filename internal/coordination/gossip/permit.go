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

var _ trail.PermitAsker = (*Task)(nil)

// permitReplies holds the requests for permits that wait for a reply.
type permitReplies struct {
	mu sync.Mutex
	// Id of the last request.
	last uint64
	// By request id. Each channel has room for the reply.
	waiting map[uint64]chan *wire.PermitReply
}

// open returns the id of a new request, and the channel that gets its reply.
func (p *permitReplies) open() (uint64, <-chan *wire.PermitReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan *wire.PermitReply{}
	}
	p.last++
	r := make(chan *wire.PermitReply, 1)
	p.waiting[p.last] = r
	return p.last, r
}

// close ends the wait for a reply, which is dropped if it still comes.
func (p *permitReplies) close(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *permitReplies) deliver(reply *wire.PermitReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.waiting[reply.GetId()]
	if r != nil {
		r <- reply
		delete(p.waiting, reply.GetId())
	}
}

// AskPermit implements trail.PermitAsker with one datagram each way. A lost one
// is not repeated: the request may have been counted.
func (t *Task) AskPermit(ctx context.Context, front string, request *wire.PermitRequest) (*wire.PermitReply, error) {
	a, e := net.ResolveUDPAddr("udp", t.fronts.Address(front))
	if e != nil {
		return nil, errors.Wrapf(e, "peer address of front %s", front)
	}
	i, r := t.permits.open()
	defer t.permits.close(i)
	request.SetId(i)
	e = t.sendPermit(wire.Load_builder{PermitRequest: request}, a)
	if e != nil {
		return nil, e
	}
	select {
	case y := <-r:
		return y, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "no reply from front %s", front)
	}
}

func (t *Task) sendPermit(datagram wire.Load_builder, to net.Addr) error {
	datagram.Name = proto.String(t.self.GetName())
	b, e := proto.Marshal(datagram.Build())
	if e != nil {
		return errors.Wrap(e, "encode permit datagram")
	}
	_, e = t.conn.WriteTo(b, to)
	return errors.Wrap(e, "send permit datagram")
}

// handlePermit handles a datagram about a permit. It returns false if the
// datagram is none.
func (t *Task) handlePermit(datagram *wire.Load, from net.Addr) bool {
	switch {
	case datagram.HasPermitRequest():
		e := t.sendPermit(wire.Load_builder{PermitReply: t.granter.Grant(datagram.GetPermitRequest())}, from)
		if e != nil {
			t.logger.WithError(e).WithField("front", datagram.GetName()).Debug("gossip: permit not sent")
		}
	case datagram.HasPermitReply():
		t.permits.deliver(datagram.GetPermitReply())
	default:
		return false
	}
	return true
}
