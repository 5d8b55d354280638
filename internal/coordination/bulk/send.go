package bulk

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// Time after which a depot that accepts or sends no bytes counts as failed.
	progressTimeout = 10 * time.Second
	// Allows for a disk sync at each of two depots and the copy between them.
	storeTimeout = 60 * time.Second
	retryAfter   = 2 * time.Second
	// Code of a depot that has stored its own copy, but could not store the second
	// one at the other depot.
	codeCopyFailed = "copy-failed"
)

// storeAt stores a segment at a pair of depots, or at a single one. On failure it
// returns the id of the depot that caused it.
func (k *Client) storeAt(ctx context.Context, pair []*wire.Member, segment *wire.Segment, input io.Reader) (*wire.Segment, string, error) {
	p := &wire.Put{}
	p.SetSegment(segment)
	if len(pair) > 1 {
		p.SetCopyTo(pair[1].GetPeerAddress())
	}
	o := &wire.Open{}
	o.SetPut(p)
	// The depot that caused the failure, by default the first one.
	f := pair[0].GetId()
	s, e := k.mesh.Open(ctx, pair[0].GetPeerAddress(), o)
	if e != nil {
		return nil, f, e
	}
	defer s.Close()
	w := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer w()
	e = sendChunks(ctx, s, input)
	// A depot that refuses the segment replies before it has received all bytes,
	// so that the reply is received even after a failure to send.
	a := &wire.PutReply{}
	_ = s.SetReadDeadline(time.Now().Add(storeTimeout))
	if e != nil {
		_ = s.SetReadDeadline(time.Now().Add(time.Second))
	}
	d := s.Recv(a)
	if d != nil {
		return nil, f, errors.Join(e, d)
	}
	if a.GetCode() == codeCopyFailed && len(pair) > 1 {
		f = pair[1].GetId()
	}
	if a.GetCode() != "" {
		return nil, f, trail.NewError(a.GetCode(), trail.NotRun, "depot %s: %s", pair[0].GetId(), a.GetMessage())
	}
	if a.GetSegment().GetDigest() != segment.GetDigest() || len(a.GetSegment().GetDepots()) < len(pair) {
		return nil, f, trail.NewError("bad-reply", trail.NotRun, "depot %s stored digest %s in %d copies",
			f, a.GetSegment().GetDigest(), len(a.GetSegment().GetDepots()))
	}
	return a.GetSegment(), "", nil
}

// sendChunks sends the input in chunks, the last of which is marked as such.
func sendChunks(ctx context.Context, stream *frame.Stream, input io.Reader) error {
	b := make([]byte, chunkBytes)
	for {
		n, e := input.Read(b)
		if e != nil && e != io.EOF {
			return e
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		k := &wire.Chunk{}
		k.SetBytes(b[:n])
		k.SetLast(e == io.EOF)
		_ = stream.SetDeadline(time.Now().Add(progressTimeout))
		w := stream.Send(k)
		if w != nil || e == io.EOF {
			return w
		}
	}
}
