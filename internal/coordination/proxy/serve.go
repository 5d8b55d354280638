package proxy

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// Bytes of a body that are passed on at a time.
const chunkBytes = 16 << 10

// Active returns the number of attempts of other fronts in progress.
func (s *Upstream) Active() int64 { return s.active.Load() }

// Serve sends one attempt for another front and passes the response on. The
// attempt ends when the other front closes the stream.
func (s *Upstream) Serve(ctx context.Context, stream *frame.Stream, request *wire.ProxyRequest) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c, f := context.WithCancel(ctx)
	defer f()
	go func() {
		// The other front sends nothing more.
		_ = stream.Recv(&wire.ProxyRequest{})
		f()
		// A write waits for room in the window of the stream, also after the other
		// side has closed it, and keeps the connection to the server open.
		_ = stream.SetDeadline(time.Unix(1, 0))
	}()
	b := time.Now()
	e := s.send(c, stream, request)
	l := s.logger.WithFields(log.Fields{"request-id": request.GetId(), "server": request.GetServer(), "ms": time.Since(b).Milliseconds()})
	if e != nil {
		l = l.WithField("cause", e.Error())
	}
	l.Info("proxy: request sent for another front")
}

// send sends the attempt, and the replies to the other front. It returns the error
// of the attempt.
func (s *Upstream) send(ctx context.Context, stream *frame.Stream, request *wire.ProxyRequest) error {
	var n *wire.ServerNotice
	u := s.connect(func(server *wire.BackendServer, notice trail.ServerNotice) {
		s.onNotice(server, notice)
		n = wire.ServerNotice_builder{Born: proto.Int64(notice.Born()), Leaving: proto.Bool(notice.Leaving()), RequestsPerSecond: proto.Float64(notice.RequestsPerSecond())}.Build()
	})
	m, e := s.takeRoom(len(request.GetBody()))
	if e != nil {
		return errors.CombineErrors(e, stream.Send(s.encodeEnd(ctx, e, nil)))
	}
	defer m()
	b, q := decodeRequest(request)
	r, e := u.Send(ctx, b, q, request.GetLastEventId())
	if e != nil {
		return errors.CombineErrors(e, stream.Send(s.encodeEnd(ctx, e, n)))
	}
	defer func() { _ = r.Body.Close() }()
	e = stream.Send(encodeHead(r, n))
	if e != nil {
		return errors.Wrap(e, "send head to other front")
	}
	e = copyBody(stream, r.Body)
	return errors.CombineErrors(e, stream.Send(s.encodeEnd(ctx, e, nil)))
}

// copyBody passes a body on. It returns the error of the body, if it has one before
// its end.
func copyBody(stream *frame.Stream, body io.Reader) error {
	b := make([]byte, chunkBytes)
	for {
		n, e := body.Read(b)
		if n > 0 {
			f := stream.Send(wire.ProxyReply_builder{Data: b[:n]}.Build())
			if f != nil {
				return errors.Wrap(f, "send data to other front")
			}
		}
		if errors.Is(e, io.EOF) {
			return nil
		}
		if e != nil {
			return e
		}
	}
}

// encodeEnd returns the end of an attempt with an error, or of a complete one.
func (s *Upstream) encodeEnd(ctx context.Context, err error, notice *wire.ServerNotice) *wire.ProxyReply {
	d := wire.ProxyEnd_builder{Notice: notice}
	if err != nil {
		c := trail.CodeOf(err)
		d.Code, d.Message = &c, proto.String(err.Error())
		d.Verdict = trail.VerdictOf(err).Proto().Enum()
		d.RetryAfterMs = proto.Int64(trail.RetryAfterOf(err).Milliseconds())
		d.CutOff = proto.Bool(c == codeNoRoom || c == codeUnreachable && s.monitor.Settle(ctx) || s.monitor.Lost())
	}
	return wire.ProxyReply_builder{End: d.Build()}.Build()
}

func encodeHead(response *trail.Response, notice *wire.ServerNotice) *wire.ProxyReply {
	return wire.ProxyReply_builder{Head: wire.ProxyHead_builder{
		Status: proto.Int32(int32(response.StatusCode)), Headers: encodeHeader(response.Header), ContentLength: &response.ContentLength,
		Chunked: proto.Bool(len(response.TransferEncoding) > 0), Close: &response.Close, Notice: notice,
		Born: proto.Int64(response.Born()),
	}.Build()}.Build()
}

func decodeRequest(request *wire.ProxyRequest) (*wire.BackendServer, *trail.Request) {
	q := trail.NewRequest(request.GetId(), request.GetMethod(), request.GetTarget(), request.GetHost(), decodeHeader(request.GetHeaders()), request.GetBody())
	if n := request.GetBudgetMs(); n > 0 {
		q = q.WithDeadline(time.Now().Add(time.Duration(n) * time.Millisecond))
	}
	b := wire.BackendServer_builder{Id: proto.String(request.GetServer()), Address: proto.String(request.GetAddress()), Born: proto.Int64(request.GetBorn()), Service: proto.String(request.GetService())}.Build()
	return b, q
}
