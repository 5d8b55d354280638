package paths_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"bulrushtrail.example/trail/internal/coordination/paths"
)

// Option of IPPROTO_TCP, which package syscall does not name.
const userTimeout = 18

// Guards against a user timeout that a connection gets from a library: it would
// end connections whose peer is silent for that long, whatever the keep-alive
// probes say.
func TestConnectionHasUserTimeout(t *testing.T) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = l.Close() }()
	d := &net.Dialer{Timeout: time.Second, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}}
	m := paths.New(t.Context(), d, func(int) []string { return nil }, func(bool) {}, &log.Logger{Handler: discard.New()})
	n, e := m.DialContext(t.Context(), "tcp", l.Addr().String())
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = n.Close() }()
	// The pool looks for unread bytes on an idle connection through this.
	s, o := n.(syscall.Conn)
	if !o {
		t.Fatal("the socket is hidden")
	}
	r, e := s.SyscallConn()
	if e != nil {
		t.Fatal(e)
	}
	e = r.Control(func(f uintptr) {
		v, g := syscall.GetsockoptInt(int(f), syscall.IPPROTO_TCP, userTimeout)
		if g != nil || v != 0 {
			t.Error("user timeout in ms:", v, g)
		}
	})
	if e != nil {
		t.Error(e)
	}
}
