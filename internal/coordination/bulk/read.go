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

// maxBufferedBytes is the largest segment that is held in memory, when it is read
// as a whole, and verified before its first byte is returned. A larger one is
// verified at its end.
const maxBufferedBytes = 16 << 20

// reader reads a range of a segment. When a copy fails, it continues with the
// next copy at the same offset.
type reader struct {
	client  *Client
	ctx     context.Context
	segment *wire.Segment
	// Depots that have not been tried yet.
	untried []*wire.Member
	// Offset of the next byte to receive, and the offset after the last one. An
	// endOffset of -1 is the end of the segment.
	nextOffset, endOffset int64
	// The stream to a depot, nil between copies.
	stream    *frame.Stream
	stopWatch func() bool
	// Id of the depot that the stream leads to.
	depot        string
	received     []byte
	lastReceived bool
	// Digest of all bytes that were read, nil when only a part of the segment is
	// read or it is buffered.
	digest hash.Hash
}

// openNextCopy opens copies until it has received the first bytes of one.
func (r *reader) openNextCopy() error {
	for len(r.untried) > 0 && r.ctx.Err() == nil {
		m := r.untried[0]
		r.untried = r.untried[1:]
		e := r.openCopy(m)
		if e == nil {
			e = r.receiveChunk()
		}
		if e == nil {
			return nil
		}
		r.skipCopy(e)
	}
	if r.ctx.Err() != nil {
		return trail.WrapError(r.ctx.Err(), "cancelled", trail.NotRun, "reading a segment was cancelled")
	}
	return trail.NewError("segment-unavailable", trail.NotRun, "no depot has an intact copy of segment %s", r.segment.GetId()).
		WithRetryAfter(retryAfter)
}

func (r *reader) openCopy(member *wire.Member) error {
	r.depot = member.GetId()
	q := &wire.Get{}
	q.SetSegmentId(r.segment.GetId())
	q.SetOffset(r.nextOffset)
	if r.endOffset >= 0 {
		q.SetLength(r.endOffset - r.nextOffset)
	}
	o := &wire.Open{}
	o.SetGet(q)
	s, e := r.client.mesh.Open(r.ctx, member.GetPeerAddress(), o)
	if e != nil {
		return e
	}
	r.stream = s
	r.stopWatch = context.AfterFunc(r.ctx, func() { _ = s.SetReadDeadline(time.Unix(1, 0)) })
	return nil
}

func (r *reader) receiveChunk() error {
	a := &wire.GetReply{}
	_ = r.stream.SetReadDeadline(time.Now().Add(progressTimeout))
	e := r.stream.Recv(a)
	if e == io.EOF {
		e = io.ErrUnexpectedEOF
	}
	if e != nil {
		return e
	}
	if a.GetMissing() {
		return trail.NewError("segment-missing", trail.NotRun, "depot %s has no intact copy", r.depot)
	}
	r.received, r.lastReceived = a.GetChunk().GetBytes(), a.GetChunk().GetLast()
	r.nextOffset += int64(len(r.received))
	return nil
}

// skipCopy logs why the current copy failed and closes its stream.
func (r *reader) skipCopy(cause error) {
	r.client.operations.WithLabelValues("get", "skipped").Inc()
	r.client.logger.WithFields(log.Fields{"segment": r.segment.GetId(), "depot": r.depot, "offset": r.nextOffset, "left": len(r.untried)}).
		WithError(cause).Warn("bulk: copy skipped, trying the next one")
	r.closeStream()
}

func (r *reader) closeStream() {
	if r.stream == nil {
		return
	}
	r.stopWatch()
	_ = r.stream.Close()
	r.stream = nil
}

func (r *reader) Read(p []byte) (int, error) {
	for len(r.received) == 0 {
		if r.lastReceived {
			return 0, r.verifyDigest()
		}
		e := r.receiveChunk()
		if e == nil {
			continue
		}
		r.skipCopy(e)
		e = r.openNextCopy()
		if e != nil {
			return 0, e
		}
	}
	n := copy(p, r.received)
	if r.digest != nil {
		r.digest.Write(p[:n])
	}
	r.received = r.received[n:]
	return n, nil
}

// verifyDigest returns io.EOF unless a whole segment was read and its digest does
// not match.
func (r *reader) verifyDigest() error {
	if r.digest == nil || hex.EncodeToString(r.digest.Sum(nil)) == r.segment.GetDigest() {
		return io.EOF
	}
	return trail.NewError("segment-corrupt", trail.NotRun, "depot %s sent segment %s with a wrong digest", r.depot, r.segment.GetId())
}

// Close closes the stream to the depot.
func (r *reader) Close() error {
	r.closeStream()
	return nil
}

// readBuffered reads the whole segment into memory. A copy whose digest does not
// match is skipped.
func (r *reader) readBuffered() (io.ReadCloser, error) {
	defer r.closeStream()
	for {
		e := r.openNextCopy()
		if e != nil {
			return nil, e
		}
		b := bytes.NewBuffer(make([]byte, 0, r.segment.GetSizeBytes()))
		_, e = io.Copy(b, io.LimitReader(r, r.segment.GetSizeBytes()+1))
		if e != nil {
			return nil, e
		}
		h := sha256.Sum256(b.Bytes())
		if hex.EncodeToString(h[:]) == r.segment.GetDigest() {
			return io.NopCloser(b), nil
		}
		r.skipCopy(trail.NewError("segment-corrupt", trail.NotRun, "the copy has a wrong digest"))
		r.nextOffset, r.received, r.lastReceived = 0, nil, false
	}
}
