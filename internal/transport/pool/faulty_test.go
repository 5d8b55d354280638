package pool_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/transport/pool"
)

// endless accepts connections on loopback and writes first, and then repeat
// without end, until the peer closes the connection. It returns its address and
// the number of bytes that it has written.
func endless(t *testing.T, first, repeat string) (string, *atomic.Int64) {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	n := &atomic.Int64{}
	go func() {
		for {
			x, e := l.Accept()
			if e != nil {
				return
			}
			go writeEndlessly(x, first, repeat, n)
		}
	}()
	return l.Addr().String(), n
}

func writeEndlessly(conn net.Conn, first, repeat string, written *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	r := strings.Repeat(repeat, 1+4096/len(repeat))
	for b := first; ; b = r {
		w, e := io.WriteString(conn, b)
		written.Add(int64(w))
		if e != nil {
			return
		}
	}
}

// Guards against a server that exhausts the memory of its clients by a response
// head without end, in any part of the head.
func TestEndlessHeadIsRead(t *testing.T) {
	// Upper bound for the response limit and the socket buffers together.
	const x = 16 << 20
	l := []struct{ name, first, repeat string }{
		{"status line", "HTTP/1.1 200 ", "a"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		{"no status line", "", "a"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"switched protocols", "", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			a, n := endless(t, k.first, k.repeat)
			c, f := context.WithTimeout(t.Context(), 20*time.Second)
			defer f()
			p := pool.New(&net.Dialer{}, prometheus.NewRegistry())
			q := trail.NewRequest("1", http.MethodPost, "/", "h", nil, nil)
			_, e := p.Do(c, trail.NewDestination(a, nil), q, http.Header{"Id": {"1"}}, func(*http.Response, bool) bool { return true })
			if d := cmp.Diff("answer-unbounded may-have-run", trail.CodeOf(e)+" "+trail.VerdictOf(e).String()); d != "" {
				t.Error(d)
			}
			if c.Err() != nil {
				t.Error("response was read until the request's deadline")
			}
			if n.Load() > x {
				t.Error("server could send", n.Load(), "bytes")
			}
		})
	}
}

// Guards against a body without end that is read until the request's deadline.
func TestEndlessBodyIsRead(t *testing.T) {
	a, _ := endless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "a")
	c, f := context.WithTimeout(t.Context(), 60*time.Second)
	defer f()
	p := pool.New(&net.Dialer{}, prometheus.NewRegistry())
	q := trail.NewRequest("1", http.MethodPost, "/", "h", nil, nil)
	r, e := p.Do(c, trail.NewDestination(a, nil), q, http.Header{"Id": {"1"}}, func(*http.Response, bool) bool { return true })
	if e != nil {
		t.Fatal(e)
	}
	_, e = io.Copy(io.Discard, r.Body)
	if d := cmp.Diff("answer-unbounded may-have-run", trail.CodeOf(e)+" "+trail.VerdictOf(e).String()); d != "" {
		t.Error(d)
	}
	if c.Err() != nil {
		t.Error("response was read until the request's deadline")
	}
}

// responseWithoutID is a response that does not identify its request, as a
// failing server may send it.
const responseWithoutID = "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n"

// Guards against a late duplicate of a response that is taken for the response to
// the next request on the connection, at whatever point of that request it
// arrives, and against the reuse of a connection after unexpected bytes.
func TestDuplicateResponseIsTakenForNext(t *testing.T) {
	l := []struct {
		name    string
		replies []string
		want    []string
		// Connections opened.
		connections int
	}{
		{"with the id of its request", []string{reply("1", "a"), reply("1", "a") + reply("2", "b"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"without an id", []string{reply("1", "a"), responseWithoutID + reply("2", "b"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"without an id, before the next request", []string{reply("1", "a") + responseWithoutID, reply("2", "b"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"after the next response", []string{reply("1", "a"), reply("2", "b") + reply("1", "a"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"with the id of the next request, after its response", []string{reply("1", "a"), reply("2", "b") + reply("2", "x"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"only response, without an id", []string{responseWithoutID, reply("2", "b")}, []string{"", "b"}, 1},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			s := &server{replies: k.replies}
			g := sendAll(t, s, []string{"1", "2", "3"}[:len(k.want)]...)
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(k.connections, len(s.requests)); d != "" {
				t.Error("connections:", d)
			}
		})
	}
}
