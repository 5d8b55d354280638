package bulk

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// A whole segment up to this size is held in memory and checked before its
// first byte is returned; a larger one is checked when it ends.
const maxBufferedBytes = 16 << 20

// reader reads a range of a segment and goes on with the next copy where one
// fails.
type reader struct {
	k *Client
	c context.Context
	g *wire.Segment
	// Depots that were not tried yet.
	copies []*wire.Member
	// Offset of the next byte that is received, and behind the last one; an
	// end of -1 is the end of the segment.
	next, end int64
	// nil between copies.
	s    *frame.Stream
	stop func() bool
	// The depot that s leads to.
	depot string
	ready []byte
	last  bool
	// Digest of all bytes so far, nil for a part of a segment.
	hash hash.Hash
}

// connect opens the next copy and receives its first bytes.
func (r *reader) connect() error {
	for len(r.copies) > 0 && r.c.Err() == nil {
		m := r.copies[0]
		r.copies = r.copies[1:]
		e := r.open(m)
		if e == nil {
			e = r.recv()
		}
		if e == nil {
			return nil
		}
		r.skip(e)
	}
	if r.c.Err() != nil {
		return trail.WrapError(r.c.Err(), "cancelled", trail.NotRun, "reading a segment was cancelled")
	}
	return trail.NewError("segment-unavailable", trail.NotRun, "no depot has an intact copy of segment %s", r.g.GetId()).
		WithRetryAfter(retryAfter)
}

func (r *reader) open(m *wire.Member) error {
	r.depot = m.GetId()
	q := &wire.Get{}
	q.SetSegmentId(r.g.GetId())
	q.SetOffset(r.next)
	if r.end >= 0 {
		q.SetLength(r.end - r.next)
	}
	o := &wire.Open{}
	o.SetGet(q)
	s, e := r.k.m.Open(r.c, m.GetPeerAddress(), o)
	if e != nil {
		return e
	}
	r.s = s
	r.stop = context.AfterFunc(r.c, func() { _ = s.SetReadDeadline(time.Unix(1, 0)) })
	return nil
}

// recv receives one chunk.
func (r *reader) recv() error {
	a := &wire.GetReply{}
	_ = r.s.SetReadDeadline(time.Now().Add(progressTimeout))
	e := r.s.Recv(a)
	if e == io.EOF {
		e = io.ErrUnexpectedEOF
	}
	if e != nil {
		return e
	}
	if a.GetMissing() {
		return trail.NewError("segment-missing", trail.NotRun, "depot %s has no intact copy", r.depot)
	}
	r.ready, r.last = a.GetChunk().GetBytes(), a.GetChunk().GetLast()
	r.next += int64(len(r.ready))
	return nil
}

// skip gives up the copy that is being read.
func (r *reader) skip(cause error) {
	r.k.results.WithLabelValues("get", "skipped").Inc()
	r.k.l.WithFields(log.Fields{"segment": r.g.GetId(), "depot": r.depot, "offset": r.next, "left": len(r.copies)}).
		WithError(cause).Warn("bulk: copy skipped, the next one is read")
	r.hangUp()
}

func (r *reader) hangUp() {
	if r.s == nil {
		return
	}
	r.stop()
	_ = r.s.Close()
	r.s = nil
}

func (r *reader) Read(p []byte) (int, error) {
	for len(r.ready) == 0 {
		if r.last {
			return 0, r.finish()
		}
		e := r.recv()
		if e == nil {
			continue
		}
		r.skip(e)
		e = r.connect()
		if e != nil {
			return 0, e
		}
	}
	n := copy(p, r.ready)
	if r.hash != nil {
		r.hash.Write(p[:n])
	}
	r.ready = r.ready[n:]
	return n, nil
}

// finish checks the digest of a whole segment.
func (r *reader) finish() error {
	if r.hash == nil || hex.EncodeToString(r.hash.Sum(nil)) == r.g.GetDigest() {
		return io.EOF
	}
	return trail.NewError("segment-corrupt", trail.NotRun, "depot %s sent segment %s with a wrong digest", r.depot, r.g.GetId())
}

// Close gives up the rest.
func (r *reader) Close() error {
	r.hangUp()
	return nil
}

// buffered reads the whole segment into memory. A copy with a wrong digest is
// skipped.
func (r *reader) buffered() (io.ReadCloser, error) {
	defer r.hangUp()
	for {
		e := r.connect()
		if e != nil {
			return nil, e
		}
		b := bytes.NewBuffer(make([]byte, 0, r.g.GetSizeBytes()))
		_, e = io.Copy(b, io.LimitReader(r, r.g.GetSizeBytes()+1))
		if e != nil {
			return nil, e
		}
		h := sha256.Sum256(b.Bytes())
		if hex.EncodeToString(h[:]) == r.g.GetDigest() {
			return io.NopCloser(b), nil
		}
		r.skip(trail.NewError("segment-corrupt", trail.NotRun, "the copy has a wrong digest"))
		r.next, r.ready, r.last = 0, nil, false
	}
}
