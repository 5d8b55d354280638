package depot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// waitCopyRate waits until the rate limit for copies admits the given number of
// bytes.
func (d *Depot) waitCopyRate(ctx context.Context, bytes int) error {
	for ; bytes > 0; bytes -= copyBurst {
		e := d.copyRate.WaitN(ctx, min(bytes, copyBurst))
		if e != nil {
			return e
		}
	}
	return nil
}

// hasSegment reports whether another depot has a segment, by reading its first
// byte.
func (d *Depot) hasSegment(ctx context.Context, address string, segment *wire.Segment) bool {
	q := &wire.Get{}
	q.SetSegmentId(segment.GetId())
	q.SetLength(1)
	o := &wire.Open{}
	o.SetGet(q)
	r := &wire.GetReply{}
	return d.exchange(ctx, address, o, r, progressTimeout) == nil && !r.GetMissing()
}

// readAnswerFrom reads the answer that another depot has stored for the same
// request.
func (d *Depot) readAnswerFrom(ctx context.Context, address string, answer *wire.Answer) (*wire.AnswerReply, error) {
	q := &wire.Answer{}
	q.SetAction(wire.Answer_ACTION_READ)
	q.SetCaller(answer.GetCaller())
	q.SetRequestId(answer.GetRequestId())
	q.SetDigest(answer.GetDigest())
	o := &wire.Open{}
	o.SetAnswer(q)
	r := &wire.AnswerReply{}
	return r, d.exchange(ctx, address, o, r, progressTimeout)
}

// requestCopy asks another depot to fetch a segment from this depot.
func (d *Depot) requestCopy(ctx context.Context, from, address string, segment *wire.Segment) error {
	q := &wire.Copy{}
	q.SetSegment(segment)
	q.SetFrom(from)
	o := &wire.Open{}
	o.SetCopy(q)
	r := &wire.PutReply{}
	e := d.exchange(ctx, address, o, r, copyTimeout)
	if e != nil {
		return e
	}
	if r.GetCode() != "" {
		return errors.Newf("copy rejected by the other depot with %s: %s", r.GetCode(), r.GetMessage())
	}
	return nil
}

// exchange sends a request to another depot and receives its first reply.
func (d *Depot) exchange(ctx context.Context, address string, request *wire.Open, reply proto.Message, timeout time.Duration) error {
	s, e := d.mesh.Open(ctx, address, request)
	if e != nil {
		return e
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(timeout))
	f := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer f()
	return s.Recv(reply)
}
