package depot

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// diskTimeout bounds the wait for another depot's reply after it has all
// bytes: a sync of a full write cache can take seconds.
const diskTimeout = 30 * time.Second

// sendCopy stores a segment of this depot at another one and returns the ids
// of the depots that now have it there.
func (d *Depot) sendCopy(c context.Context, address string, g *wire.Segment) ([]string, error) {
	b, e := d.segments.Open(g.GetId(), 0, 0)
	if e != nil {
		return nil, e
	}
	defer b.Close()
	o := &wire.Open{}
	p := &wire.Put{}
	p.SetSegment(g)
	o.SetPut(p)
	s, e := d.m.Open(c, address, o)
	if e != nil {
		return nil, e
	}
	defer s.Close()
	f := context.AfterFunc(c, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer f()
	w := &chunkWriter{s: s, send: func(k *wire.Chunk) error { return s.Send(k) }}
	_, e = io.CopyBuffer(struct{ io.Writer }{w}, b, make([]byte, chunkBytes))
	if e == nil {
		e = w.last()
	}
	if e != nil {
		return nil, errors.Wrapf(e, "copy to %s", address)
	}
	return putReply(s, g)
}

// putReply receives the reply to a Put that sent g.
func putReply(s *frame.Stream, g *wire.Segment) ([]string, error) {
	_ = s.SetDeadline(time.Now().Add(diskTimeout))
	r := &wire.PutReply{}
	e := s.Recv(r)
	if e != nil {
		return nil, errors.Wrap(e, "no reply of the other depot")
	}
	if r.GetCode() != "" {
		return nil, errors.Newf("the other depot refuses with %s: %s", r.GetCode(), r.GetMessage())
	}
	if r.GetSegment().GetDigest() != g.GetDigest() {
		return nil, errors.Newf("the other depot stored digest %s", r.GetSegment().GetDigest())
	}
	return r.GetSegment().GetDepots(), nil
}

// fetch stores a segment that another depot has, at the bounded rate. It
// returns at once when the segment is here.
func (d *Depot) fetch(c context.Context, o *wire.Copy) *wire.PutReply {
	h, n, e := d.segments.Stat(o.GetSegment().GetId())
	if e == nil && h == o.GetSegment().GetDigest() {
		w := proto.CloneOf(o.GetSegment())
		w.SetSizeBytes(n)
		w.SetDepots([]string{d.id})
		return stored(w)
	}
	if !d.enter(c) {
		return refusal(o.GetSegment(), codeDraining, "the depot is shutting down")
	}
	defer d.leave()
	g := &wire.Get{}
	g.SetSegmentId(o.GetSegment().GetId())
	p := &wire.Open{}
	p.SetGet(g)
	s, e := d.m.Open(c, o.GetFrom(), p)
	if e != nil {
		return refusal(o.GetSegment(), codeCopy, e.Error())
	}
	defer s.Close()
	f := context.AfterFunc(c, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer f()
	r := &chunkReader{s: s, recv: func(k *wire.Chunk) error { return recvGet(s, k) }}
	w, e := d.store(o.GetSegment(), &pacedReader{c: c, r: r, l: d.copyRate})
	if e != nil {
		return refusal(o.GetSegment(), codeOf(e), e.Error())
	}
	return stored(w)
}

// pacedReader bounds the rate at which r is read.
type pacedReader struct {
	c context.Context
	r io.Reader
	l *rate.Limiter
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, e := p.r.Read(b[:min(len(b), copyBurst)])
	if e != nil {
		return n, e
	}
	return n, p.l.WaitN(p.c, n)
}

// recvGet receives one chunk of the reply to a Get.
func recvGet(s *frame.Stream, k *wire.Chunk) error {
	r := &wire.GetReply{}
	e := s.Recv(r)
	if e != nil {
		return e
	}
	if r.GetMissing() {
		return errAbsent
	}
	k.SetBytes(r.GetChunk().GetBytes())
	k.SetLast(r.GetChunk().GetLast())
	return nil
}
