package depot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// pace waits until n more bytes fit the rate.
func (d *Depot) pace(c context.Context, n int) error {
	for ; n > 0; n -= copyBurst {
		e := d.copyRate.WaitN(c, min(n, copyBurst))
		if e != nil {
			return e
		}
	}
	return nil
}

// holds asks another depot for the first byte of a segment.
func (d *Depot) holds(c context.Context, address string, g *wire.Segment) bool {
	q := &wire.Get{}
	q.SetSegmentId(g.GetId())
	q.SetLength(1)
	o := &wire.Open{}
	o.SetGet(q)
	r := &wire.GetReply{}
	return d.ask(c, address, o, r, progressTimeout) == nil && !r.GetMissing()
}

// readFrom reads another depot's answer to the request of a.
func (d *Depot) readFrom(c context.Context, address string, a *wire.Answer) (*wire.AnswerReply, error) {
	q := &wire.Answer{}
	q.SetAction(wire.Answer_ACTION_READ)
	q.SetCaller(a.GetCaller())
	q.SetRequestId(a.GetRequestId())
	q.SetDigest(a.GetDigest())
	o := &wire.Open{}
	o.SetAnswer(q)
	r := &wire.AnswerReply{}
	return r, d.ask(c, address, o, r, progressTimeout)
}

// requestCopy has another depot fetch a segment from here.
func (d *Depot) requestCopy(c context.Context, from, address string, g *wire.Segment) error {
	q := &wire.Copy{}
	q.SetSegment(g)
	q.SetFrom(from)
	o := &wire.Open{}
	o.SetCopy(q)
	r := &wire.PutReply{}
	e := d.ask(c, address, o, r, copyTimeout)
	if e != nil {
		return e
	}
	if r.GetCode() != "" {
		return errors.Newf("the other depot refuses with %s: %s", r.GetCode(), r.GetMessage())
	}
	return nil
}

// ask sends a request to another depot and receives its first reply.
func (d *Depot) ask(c context.Context, address string, o *wire.Open, r proto.Message, timeout time.Duration) error {
	s, e := d.m.Open(c, address, o)
	if e != nil {
		return e
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(timeout))
	f := context.AfterFunc(c, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer f()
	return s.Recv(r)
}
