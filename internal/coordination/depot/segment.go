package depot

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/seglog"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	chunkBytes = 64 << 10
	// A peer that moves no byte of a segment for so long is given up.
	progressTimeout = 10 * time.Second
)

// Codes of a PutReply.
const (
	codeDraining = "draining"
	codeDigest   = "digest-mismatch"
	codeBroken   = "stream-broken"
	codeDisk     = "disk-failed"
	codeCopy     = "copy-failed"
	codeMissing  = "segment-missing"
)

// ServePut stores a segment here and then at the depot that the request names.
// The reply's segment lists the copies that are on disk, also when its code
// says that one failed.
func (d *Depot) ServePut(c context.Context, s *frame.Stream, o *wire.Put) {
	r := d.put(c, s, o)
	d.report("put", r)
	_ = s.SetDeadline(time.Now().Add(progressTimeout))
	e := s.Send(r)
	if e == nil && r.GetCode() != "" && r.GetCode() != codeCopy {
		discard(s)
	}
}

// discard reads the chunks of a segment that was refused. The sender would
// otherwise wait for the window of the stream before it reads the reply.
func discard(s *frame.Stream) {
	for {
		k := &wire.Chunk{}
		e := s.Recv(k)
		if e != nil || k.GetLast() {
			return
		}
	}
}

// ServeCopy fetches a segment from another depot and stores it here. It replies
// with a PutReply.
func (d *Depot) ServeCopy(c context.Context, s *frame.Stream, o *wire.Copy) {
	r := d.fetch(c, o)
	d.report("copy", r)
	_ = s.SetDeadline(time.Now().Add(progressTimeout))
	_ = s.Send(r)
}

// ServeGet sends the bytes of a segment, or says that it is missing. A check
// that fails on the way ends the stream without a last chunk.
func (d *Depot) ServeGet(c context.Context, s *frame.Stream, o *wire.Get) {
	n, e := d.get(c, s, o)
	d.bytes.WithLabelValues("out").Add(float64(n))
	f := log.Fields{"segment": o.GetSegmentId(), "offset": o.GetOffset(), "bytes": n}
	switch {
	case e == nil:
		d.served.WithLabelValues("get", "sent").Inc()
		d.l.WithFields(f).Debug("depot: segment sent")
	case errors.Is(e, seglog.ErrMissing):
		d.served.WithLabelValues("get", "missing").Inc()
		d.l.WithFields(f).Info("depot: segment is missing")
	default:
		d.served.WithLabelValues("get", "failed").Inc()
		d.l.WithFields(f).WithError(e).Warn("depot: segment was not sent in full")
	}
}

func (d *Depot) get(_ context.Context, s *frame.Stream, o *wire.Get) (int64, error) {
	b, e := d.segments.Open(o.GetSegmentId(), o.GetOffset(), o.GetLength())
	if e != nil {
		r := &wire.GetReply{}
		r.SetMissing(true)
		return 0, errors.Join(e, s.Send(r))
	}
	defer b.Close()
	w := &chunkWriter{send: func(k *wire.Chunk) error {
		r := &wire.GetReply{}
		r.SetChunk(k)
		return s.Send(r)
	}, s: s}
	n, e := io.CopyBuffer(struct{ io.Writer }{w}, b, make([]byte, chunkBytes))
	if e != nil {
		return n, e
	}
	return n, w.last()
}

// put receives a segment and has it copied.
func (d *Depot) put(c context.Context, s *frame.Stream, o *wire.Put) *wire.PutReply {
	if !d.enter(c) {
		return refusal(o.GetSegment(), codeDraining, "the depot is shutting down")
	}
	defer d.leave()
	g := o.GetSegment()
	w, e := d.store(g, &chunkReader{s: s, recv: func(k *wire.Chunk) error { return s.Recv(k) }})
	if e != nil {
		return refusal(g, codeOf(e), e.Error())
	}
	if o.GetCopyTo() == "" {
		return stored(w)
	}
	l, e := d.sendCopy(c, o.GetCopyTo(), w)
	if e != nil {
		r := refusal(w, codeCopy, e.Error())
		r.GetSegment().SetDepots(w.GetDepots())
		return r
	}
	w.SetDepots(append(w.GetDepots(), l...))
	return stored(w)
}

// store writes a segment and returns it with this depot as its only copy.
func (d *Depot) store(g *wire.Segment, r io.Reader) (*wire.Segment, error) {
	h, n, e := d.segments.Put(g.GetId(), g.GetDigest(), r)
	if e != nil {
		return nil, e
	}
	d.bytes.WithLabelValues("in").Add(float64(n))
	w := &wire.Segment{}
	w.SetId(g.GetId())
	w.SetDigest(h)
	w.SetSizeBytes(n)
	w.SetDepots([]string{d.id})
	return w, nil
}

// codeOf maps an error of a write to the code of its reply.
func codeOf(e error) string {
	switch {
	case errors.Is(e, seglog.ErrDigest):
		return codeDigest
	case errors.Is(e, errBroken):
		return codeBroken
	case errors.Is(e, errAbsent):
		return codeMissing
	}
	return codeDisk
}

func stored(g *wire.Segment) *wire.PutReply {
	r := &wire.PutReply{}
	r.SetSegment(g)
	return r
}

// refusal returns a reply that lists no copies.
func refusal(g *wire.Segment, code, text string) *wire.PutReply {
	w := &wire.Segment{}
	w.SetId(g.GetId())
	w.SetDigest(g.GetDigest())
	r := stored(w)
	r.SetCode(code)
	r.SetMessage(text)
	return r
}

func (d *Depot) report(operation string, r *wire.PutReply) {
	f := log.Fields{
		"operation": operation, "segment": r.GetSegment().GetId(),
		"bytes": r.GetSegment().GetSizeBytes(), "depots": r.GetSegment().GetDepots(),
	}
	if r.GetCode() == "" {
		d.served.WithLabelValues(operation, "stored").Inc()
		d.l.WithFields(f).Info("depot: segment stored")
		return
	}
	d.served.WithLabelValues(operation, r.GetCode()).Inc()
	f["code"], f["message"] = r.GetCode(), r.GetMessage()
	d.l.WithFields(f).Warn("depot: segment not stored in full")
}
