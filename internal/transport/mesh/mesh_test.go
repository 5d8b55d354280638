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

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// pipeNetwork is a network of in-memory connections with one listener.
type pipeNetwork struct {
	accept chan net.Conn
	// Ends of the connections dialled so far, to cut or silence them.
	dialled []*silentConn
}

// silentConn is a connection that can stop passing bytes without closing.
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

// A session that has gone silent must not make its peer unreachable: the next
// exchange runs on a new connection.
func TestSilentSession(t *testing.T) {
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
		// Two missed keepalives and the write timeout close the session.
		time.Sleep(20 * time.Second)
		exchange(t, c, m)
		if d := cmp.Diff(2, len(p.dialled)); d != "" {
			t.Fatal(d)
		}
	})
}

// exchange opens a stream and checks that the peer knows who asks.
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
