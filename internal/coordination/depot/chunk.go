package depot

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

var (
	// errStreamBroken means that a stream ended before the last chunk.
	errStreamBroken = errors.New("stream ended before the last chunk")
	// errNoCopy means that the other depot has no intact copy of the segment.
	errNoCopy = errors.New("the other depot has no copy")
)

// chunkReader reads the data of the chunks of a stream. It returns io.EOF only
// after the last chunk, so that a broken stream is not mistaken for the end of
// the segment.
type chunkReader struct {
	stream *frame.Stream
	recv   func(*wire.Chunk) error
	unread []byte
	ended  bool
}

func (r *chunkReader) Read(buf []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		k := &wire.Chunk{}
		_ = r.stream.SetReadDeadline(time.Now().Add(progressTimeout))
		e := r.recv(k)
		if errors.Is(e, errNoCopy) {
			return 0, e
		}
		if e != nil {
			return 0, errors.Join(errStreamBroken, e)
		}
		r.unread, r.ended = k.GetBytes(), k.GetLast()
	}
	n := copy(buf, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// chunkWriter sends each write as a chunk.
type chunkWriter struct {
	stream *frame.Stream
	send   func(*wire.Chunk) error
}

func (w *chunkWriter) Write(data []byte) (int, error) {
	k := &wire.Chunk{}
	k.SetBytes(data)
	_ = w.stream.SetDeadline(time.Now().Add(progressTimeout))
	e := w.send(k)
	if e != nil {
		return 0, e
	}
	return len(data), nil
}

// finish sends the last chunk, which marks the end of the segment.
func (w *chunkWriter) finish() error {
	k := &wire.Chunk{}
	k.SetLast(true)
	_ = w.stream.SetDeadline(time.Now().Add(progressTimeout))
	return w.send(k)
}
