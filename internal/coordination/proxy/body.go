package proxy

import (
	"io"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/paths"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// directBody is the body of a response that this front has received itself.
type directBody struct {
	io.ReadCloser
	monitor *paths.Monitor
}

func (b *directBody) Read(p []byte) (int, error) {
	n, e := b.ReadCloser.Read(p)
	if e != nil && !errors.Is(e, io.EOF) && b.monitor.Lost() {
		e = trail.WrapError(e, codePathLost, trail.MayHaveRun, "no path to the backend servers")
	}
	return n, e
}

// replyBody is the body of a response that another front passes on.
type replyBody struct {
	stream *frame.Stream
	// Stops the end of the stream at the end of the request's context.
	detach  func() bool
	address string
	// Data that was received and not read yet.
	data []byte
	// Returned after the data.
	err error
}

func (b *replyBody) Read(p []byte) (int, error) {
	for len(b.data) == 0 && b.err == nil {
		b.receive()
	}
	if len(b.data) == 0 {
		return 0, b.err
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// receive receives the next data, or the end.
func (b *replyBody) receive() {
	y := &wire.ProxyReply{}
	e := b.stream.Recv(y)
	switch {
	case e != nil:
		b.err = brokenError(e, "answer of front %s broke off", b.address)
	case y.HasData():
		b.data = y.GetData()
	case y.GetEnd().GetCode() != "":
		b.err = endError(y.GetEnd(), b.address)
	case y.HasEnd():
		b.err = io.EOF
	}
}

func (b *replyBody) Close() error {
	b.detach()
	closeNow(b.stream)
	return nil
}
