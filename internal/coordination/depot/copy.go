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

// diskTimeout bounds the wait for another depot's reply after all data has been
// sent. A sync can take seconds when the write cache is full.
const diskTimeout = 30 * time.Second

// sendCopy sends a segment of this depot to another one and returns the ids of
// the depots that report a copy.
func (d *Depot) sendCopy(ctx context.Context, address string, segment *wire.Segment) ([]string, error) {
	b, e := d.segments.Open(segment.GetId(), 0, 0)
	if e != nil {
		return nil, e
	}
	defer b.Close()
	o := &wire.Open{}
	p := &wire.Put{}
	p.SetSegment(segment)
	o.SetPut(p)
	s, e := d.mesh.Open(ctx, address, o)
	if e != nil {
		return nil, e
	}
	defer s.Close()
	f := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer f()
	w := &chunkWriter{stream: s, send: func(k *wire.Chunk) error { return s.Send(k) }}
	_, e = io.CopyBuffer(struct{ io.Writer }{w}, b, make([]byte, chunkBytes))
	if e == nil {
		e = w.finish()
	}
	if e != nil {
		return nil, errors.Wrapf(e, "copy to %s", address)
	}
	return recvPutReply(s, segment)
}

// recvPutReply receives the reply to a Put and checks that it reports the
// digest of the sent segment.
func recvPutReply(stream *frame.Stream, segment *wire.Segment) ([]string, error) {
	_ = stream.SetDeadline(time.Now().Add(diskTimeout))
	r := &wire.PutReply{}
	e := stream.Recv(r)
	if e != nil {
		return nil, errors.Wrap(e, "no reply of the other depot")
	}
	if r.GetCode() != "" {
		return nil, errors.Newf("the other depot refuses with %s: %s", r.GetCode(), r.GetMessage())
	}
	if r.GetSegment().GetDigest() != segment.GetDigest() {
		return nil, errors.Newf("the other depot stored digest %s", r.GetSegment().GetDigest())
	}
	return r.GetSegment().GetDepots(), nil
}

// fetchCopy fetches a segment from another depot at the limited copy rate and
// stores it. It returns at once if this depot has the segment.
func (d *Depot) fetchCopy(ctx context.Context, request *wire.Copy) *wire.PutReply {
	h, n, e := d.segments.Stat(request.GetSegment().GetId())
	if e == nil && h == request.GetSegment().GetDigest() {
		w := proto.CloneOf(request.GetSegment())
		w.SetSizeBytes(n)
		w.SetDepots([]string{d.id})
		return putReply(w)
	}
	if !d.beginWrite(ctx) {
		return putRefusal(request.GetSegment(), codeDraining, "the depot is shutting down")
	}
	defer d.endWrite()
	g := &wire.Get{}
	g.SetSegmentId(request.GetSegment().GetId())
	p := &wire.Open{}
	p.SetGet(g)
	s, e := d.mesh.Open(ctx, request.GetFrom(), p)
	if e != nil {
		return putRefusal(request.GetSegment(), codeCopyFailed, e.Error())
	}
	defer s.Close()
	f := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer f()
	r := &chunkReader{stream: s, recv: func(k *wire.Chunk) error { return recvGetChunk(s, k) }}
	w, e := d.storeSegment(request.GetSegment(), &pacedReader{ctx: ctx, src: r, limiter: d.copyRate})
	if e != nil {
		return putRefusal(request.GetSegment(), putCode(e), e.Error())
	}
	return putReply(w)
}

// pacedReader limits the rate at which src is read.
type pacedReader struct {
	ctx     context.Context
	src     io.Reader
	limiter *rate.Limiter
}

func (p *pacedReader) Read(buf []byte) (int, error) {
	n, e := p.src.Read(buf[:min(len(buf), copyBurst)])
	if e != nil {
		return n, e
	}
	return n, p.limiter.WaitN(p.ctx, n)
}

// recvGetChunk receives one chunk of the reply to a Get.
func recvGetChunk(stream *frame.Stream, chunk *wire.Chunk) error {
	r := &wire.GetReply{}
	e := stream.Recv(r)
	if e != nil {
		return e
	}
	if r.GetMissing() {
		return errNoCopy
	}
	chunk.SetBytes(r.GetChunk().GetBytes())
	chunk.SetLast(r.GetChunk().GetLast())
	return nil
}
