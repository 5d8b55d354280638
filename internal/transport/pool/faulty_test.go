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

// endless accepts connections on loopback and writes begin, and then again and
// again repeat, until the other side closes. It returns its address and the
// number of bytes that it has written.
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

// Guards against a server whose bytes have no end and that takes the memory of
// each process that asks it, in every part of an answer's head.
func TestEndlessHeadIsRead(t *testing.T) {
	// What the buffers of the sockets hold, and the limit itself.
	const x = 16 << 20
	l := []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", "a"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		{"no line at all", "", "a"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"switched protocols", "", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			a, n := endless(t, k.begin, k.repeat)
			c, f := context.WithTimeout(t.Context(), 20*time.Second)
			defer f()
			p := pool.New(&net.Dialer{}, prometheus.NewRegistry())
			q := &http.Request{Method: http.MethodPost, Host: "h", Header: http.Header{"Id": {"1"}}}
			_, e := p.Do(c, a, "/", q, nil, func(*http.Response, bool) bool { return true })
			if d := cmp.Diff("answer-unbounded may-have-run", trail.CodeOf(e)+" "+trail.VerdictOf(e).String()); d != "" {
				t.Error(d)
			}
			if c.Err() != nil {
				t.Error("answer was read until the end of the request's time")
			}
			if n.Load() > x {
				t.Error("server could send", n.Load(), "bytes")
			}
		})
	}
}

// Guards against a body without end that is read to the end of the request's
// time.
func TestEndlessBodyIsRead(t *testing.T) {
	a, _ := endless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "a")
	c, f := context.WithTimeout(t.Context(), 60*time.Second)
	defer f()
	p := pool.New(&net.Dialer{}, prometheus.NewRegistry())
	q := &http.Request{Method: http.MethodPost, Host: "h", Header: http.Header{"Id": {"1"}}}
	r, e := p.Do(c, a, "/", q, nil, func(*http.Response, bool) bool { return true })
	if e != nil {
		t.Fatal(e)
	}
	_, e = io.Copy(io.Discard, r.Body)
	if d := cmp.Diff("answer-unbounded may-have-run", trail.CodeOf(e)+" "+trail.VerdictOf(e).String()); d != "" {
		t.Error(d)
	}
	if c.Err() != nil {
		t.Error("answer was read until the end of the request's time")
	}
}

// responseWithoutID is an answer without an id, as a failing server may send it.
const responseWithoutID = "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n"

// Guards against a second copy of an answer that comes late and is taken for the
// answer to the next request on the connection, wherever in that request it
// comes, and against a connection that is used again after a byte that nobody
// had asked for.
func TestDuplicateResponseIsTakenForNext(t *testing.T) {
	l := []struct {
		name    string
		replies []string
		want    []string
		// Connections opened.
		connections int
	}{
		{"with its id", []string{reply("1", "a"), reply("1", "a") + reply("2", "b"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"without an id", []string{reply("1", "a"), responseWithoutID + reply("2", "b"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"without an id, before the next request", []string{reply("1", "a") + responseWithoutID, reply("2", "b"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"after the next answer", []string{reply("1", "a"), reply("2", "b") + reply("1", "a"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"with the id of the next request, which was answered before", []string{reply("1", "a"), reply("2", "b") + reply("2", "x"), reply("3", "c")}, []string{"a", "b", "c"}, 2},
		{"its only answer has no id", []string{responseWithoutID, reply("2", "b")}, []string{"", "b"}, 1},
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
