package depot

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

var (
	// errBroken means that a stream ended before the last chunk.
	errBroken = errors.New("stream ended before the last chunk")
	// errAbsent means that the depot that was asked has no intact copy.
	errAbsent = errors.New("the other depot has no copy")
)

// chunkReader reads the bytes of the chunks of a stream. It ends with io.EOF
// after the last chunk only.
type chunkReader struct {
	s     *frame.Stream
	recv  func(*wire.Chunk) error
	bytes []byte
	last  bool
}

func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.bytes) == 0 {
		if r.last {
			return 0, io.EOF
		}
		k := &wire.Chunk{}
		_ = r.s.SetReadDeadline(time.Now().Add(progressTimeout))
		e := r.recv(k)
		if errors.Is(e, errAbsent) {
			return 0, e
		}
		if e != nil {
			return 0, errors.Join(errBroken, e)
		}
		r.bytes, r.last = k.GetBytes(), k.GetLast()
	}
	n := copy(p, r.bytes)
	r.bytes = r.bytes[n:]
	return n, nil
}

// chunkWriter sends what is written to it as chunks.
type chunkWriter struct {
	s    *frame.Stream
	send func(*wire.Chunk) error
}

func (w *chunkWriter) Write(p []byte) (int, error) {
	k := &wire.Chunk{}
	k.SetBytes(p)
	_ = w.s.SetDeadline(time.Now().Add(progressTimeout))
	e := w.send(k)
	if e != nil {
		return 0, e
	}
	return len(p), nil
}

// last ends the segment.
func (w *chunkWriter) last() error {
	k := &wire.Chunk{}
	k.SetLast(true)
	_ = w.s.SetDeadline(time.Now().Add(progressTimeout))
	return w.send(k)
}
