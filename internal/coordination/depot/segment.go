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
	// A transfer is aborted when the peer makes no progress for this long.
	progressTimeout = 10 * time.Second
)

// Codes of a PutReply.
const (
	codeDraining       = "draining"
	codeDigestMismatch = "digest-mismatch"
	codeStreamBroken   = "stream-broken"
	codeDiskFailed     = "disk-failed"
	codeCopyFailed     = "copy-failed"
	codeSegmentMissing = "segment-missing"
)

// ServePut stores a segment here and then at the depot that the request names.
// The segment in the reply lists the copies that are on disk, even if the code
// reports that another copy failed.
func (d *Depot) ServePut(ctx context.Context, stream *frame.Stream, request *wire.Put) {
	r := d.receiveSegment(ctx, stream, request)
	d.recordPut("put", r)
	_ = stream.SetDeadline(time.Now().Add(progressTimeout))
	e := stream.Send(r)
	if e == nil && r.GetCode() != "" && r.GetCode() != codeCopyFailed {
		discardChunks(stream)
	}
}

// discardChunks reads and drops the chunks of a rejected segment. Otherwise the
// sender would block on the stream's flow-control window and not read the
// reply.
func discardChunks(stream *frame.Stream) {
	for {
		k := &wire.Chunk{}
		e := stream.Recv(k)
		if e != nil || k.GetLast() {
			return
		}
	}
}

// ServeCopy fetches a segment from another depot, stores it here and replies
// with a PutReply.
func (d *Depot) ServeCopy(ctx context.Context, stream *frame.Stream, request *wire.Copy) {
	r := d.fetchCopy(ctx, request)
	d.recordPut("copy", r)
	_ = stream.SetDeadline(time.Now().Add(progressTimeout))
	_ = stream.Send(r)
}

// ServeGet sends the data of a segment, or reports that it is missing. If a
// checksum does not match during the transfer, the stream ends without a last
// chunk.
func (d *Depot) ServeGet(ctx context.Context, stream *frame.Stream, request *wire.Get) {
	n, e := d.sendSegment(ctx, stream, request)
	d.segmentBytes.WithLabelValues("out").Add(float64(n))
	f := log.Fields{"segment": request.GetSegmentId(), "offset": request.GetOffset(), "bytes": n}
	switch {
	case e == nil:
		d.operations.WithLabelValues("get", "sent").Inc()
		d.logger.WithFields(f).Debug("depot: segment sent")
	case errors.Is(e, seglog.ErrMissing):
		d.operations.WithLabelValues("get", "missing").Inc()
		d.logger.WithFields(f).Info("depot: segment is missing")
	default:
		d.operations.WithLabelValues("get", "failed").Inc()
		d.logger.WithFields(f).WithError(e).Warn("depot: sending the segment failed")
	}
}

func (d *Depot) sendSegment(_ context.Context, stream *frame.Stream, request *wire.Get) (int64, error) {
	b, e := d.segments.Open(request.GetSegmentId(), request.GetOffset(), request.GetLength())
	if e != nil {
		r := &wire.GetReply{}
		r.SetMissing(true)
		return 0, errors.Join(e, stream.Send(r))
	}
	defer b.Close()
	w := &chunkWriter{send: func(k *wire.Chunk) error {
		r := &wire.GetReply{}
		r.SetChunk(k)
		return stream.Send(r)
	}, stream: stream}
	n, e := io.CopyBuffer(struct{ io.Writer }{w}, b, make([]byte, chunkBytes))
	if e != nil {
		return n, e
	}
	return n, w.finish()
}

// receiveSegment stores a received segment and sends a copy to the second
// depot, if the request names one.
func (d *Depot) receiveSegment(ctx context.Context, stream *frame.Stream, request *wire.Put) *wire.PutReply {
	if !d.beginWrite(ctx) {
		return putRefusal(request.GetSegment(), codeDraining, "the depot is shutting down")
	}
	defer d.endWrite()
	g := request.GetSegment()
	w, e := d.storeSegment(g, &chunkReader{stream: stream, recv: func(k *wire.Chunk) error { return stream.Recv(k) }})
	if e != nil {
		return putRefusal(g, putCode(e), e.Error())
	}
	if request.GetCopyTo() == "" {
		return putReply(w)
	}
	l, e := d.sendCopy(ctx, request.GetCopyTo(), w)
	if e != nil {
		r := putRefusal(w, codeCopyFailed, e.Error())
		r.GetSegment().SetDepots(w.GetDepots())
		return r
	}
	w.SetDepots(append(w.GetDepots(), l...))
	return putReply(w)
}

// storeSegment writes a segment to disk and returns it with this depot as its
// only copy.
func (d *Depot) storeSegment(segment *wire.Segment, src io.Reader) (*wire.Segment, error) {
	h, n, e := d.segments.Put(segment.GetId(), segment.GetDigest(), src)
	if e != nil {
		return nil, e
	}
	d.segmentBytes.WithLabelValues("in").Add(float64(n))
	w := &wire.Segment{}
	w.SetId(segment.GetId())
	w.SetDigest(h)
	w.SetSizeBytes(n)
	w.SetDepots([]string{d.id})
	return w, nil
}

// putCode returns the reply code for a failed write.
func putCode(err error) string {
	switch {
	case errors.Is(err, seglog.ErrDigest):
		return codeDigestMismatch
	case errors.Is(err, errStreamBroken):
		return codeStreamBroken
	case errors.Is(err, errNoCopy):
		return codeSegmentMissing
	}
	return codeDiskFailed
}

func putReply(segment *wire.Segment) *wire.PutReply {
	r := &wire.PutReply{}
	r.SetSegment(segment)
	return r
}

// putRefusal returns a reply with an error code that lists no copies.
func putRefusal(segment *wire.Segment, code, text string) *wire.PutReply {
	w := &wire.Segment{}
	w.SetId(segment.GetId())
	w.SetDigest(segment.GetDigest())
	r := putReply(w)
	r.SetCode(code)
	r.SetMessage(text)
	return r
}

func (d *Depot) recordPut(operation string, reply *wire.PutReply) {
	f := log.Fields{
		"operation": operation, "segment": reply.GetSegment().GetId(),
		"bytes": reply.GetSegment().GetSizeBytes(), "depots": reply.GetSegment().GetDepots(),
	}
	if reply.GetCode() == "" {
		d.operations.WithLabelValues(operation, "stored").Inc()
		d.logger.WithFields(f).Info("depot: segment stored")
		return
	}
	d.operations.WithLabelValues(operation, reply.GetCode()).Inc()
	f["code"], f["message"] = reply.GetCode(), reply.GetMessage()
	d.logger.WithFields(f).Warn("depot: storing the segment or its copy failed")
}
