package mesh_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// pipeNetwork is an in-memory network with a single listener.
type pipeNetwork struct {
	accept chan net.Conn
	// Client sides of all connections dialled so far.
	dialled []*silentConn
}

// silentConn is a connection that, once mute is closed, discards all writes
// without reporting an error.
type silentConn struct {
	net.Conn
	mute chan struct{}
}

func (s *silentConn) Write(b []byte) (int, error) {
	select {
	case <-s.mute:
		return len(b), nil
	default:
		return s.Conn.Write(b)
	}
}

func (p *pipeNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	s := &silentConn{a, make(chan struct{})}
	p.dialled = append(p.dialled, s)
	select {
	case p.accept <- b:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	n := <-p.accept
	if n == nil {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (p *pipeNetwork) Close() error { close(p.accept); return nil }

func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a peer that stays unreachable after its connection has stopped
// passing bytes without being closed: keepalives must close the session, and
// the next request must run on a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		l := &log.Logger{Handler: discard.New()}
		p := &pipeNetwork{accept: make(chan net.Conn)}
		s := mesh.New(c, wire.Hello_builder{MemberId: stringPtr("sched-1")}.Build(), p, l)
		go func() {
			_ = s.Serve(c, p, func(_ context.Context, s *frame.Stream, o *wire.Open, from *wire.Hello) {
				_ = s.Send(wire.Report_builder{MemberId: stringPtr(from.GetMemberId())}.Build())
			})
		}()
		m := mesh.New(c, wire.Hello_builder{MemberId: stringPtr("entry-1")}.Build(), p, l)
		exchange(t, c, m)
		close(p.dialled[0].mute)
		// The session is closed after at most 10 s: one keepalive interval and
		// the write timeout.
		time.Sleep(20 * time.Second)
		exchange(t, c, m)
		if d := cmp.Diff(2, len(p.dialled)); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against a call that waits longer than its context allows, until the keepalive
// ends the session, because the peer stands still and the first message is larger than
// the window of a stream; and against an error that says that the peer can't have it.
func TestOpenOutlastsItsContext(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		l := &log.Logger{Handler: discard.New()}
		p := &pipeNetwork{accept: make(chan net.Conn)}
		s := mesh.New(c, wire.Hello_builder{MemberId: stringPtr("front-1")}.Build(), p, l)
		go func() {
			_ = s.Serve(c, p, func(_ context.Context, s *frame.Stream, _ *wire.Open, from *wire.Hello) {
				_ = s.Send(wire.Report_builder{MemberId: stringPtr(from.GetMemberId())}.Build())
			})
		}()
		m := mesh.New(c, wire.Hello_builder{MemberId: stringPtr("entry-1")}.Build(), p, l)
		exchange(t, c, m)
		close(p.dialled[0].mute)
		d, f := context.WithTimeout(c, time.Second)
		defer f()
		b := time.Now()
		_, e := m.Open(d, "10.0.0.1:1", wire.Open_builder{Proxy: wire.ProxyRequest_builder{Body: make([]byte, 1<<20)}.Build()}.Build())
		if d := cmp.Diff([]any{time.Second, trail.MayHaveRun}, []any{time.Since(b), trail.VerdictOf(e)}); d != "" {
			t.Error(d)
		}
	})
}

// exchange opens a stream and checks that the peer received the member ID of
// the caller's Hello and closed the stream after its response.
func exchange(t *testing.T, ctx context.Context, client *mesh.Mesh) {
	t.Helper()
	s, e := client.Open(ctx, "10.0.0.1:1", wire.Open_builder{Report: &wire.ReportRequest{}}.Build())
	if e != nil {
		t.Fatal(e)
	}
	r := &wire.Report{}
	e = s.Recv(r)
	if e != nil {
		t.Fatal(e)
	}
	if d := cmp.Diff("entry-1", r.GetMemberId()); d != "" {
		t.Fatal(d)
	}
	e = s.Recv(r)
	if d := cmp.Diff(io.EOF, e, cmpopts.EquateErrors()); d != "" {
		t.Fatal(d)
	}
}

func stringPtr(text string) *string { return &text }
