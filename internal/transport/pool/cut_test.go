package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/transport/pool"
)

const (
	// Repetitions of each case, since the kernel reports a reset either to the read or to
	// the write.
	cutRepetitions = 25
	// Larger than the buffers of both sockets together.
	cutLongBody = 16 << 20
	// Body of a response as the client reads it.
	cutPart = "partial"
)

// Heads of responses, and cutPart as a chunk.
const (
	headUnframed = "HTTP/1.1 200 OK\n\n"
	headClosing  = "HTTP/1.1 200 OK\nConnection: close\n\n"
	headLength   = "HTTP/1.1 200 OK\nContent-Length: 7\n\n"
	headChunks   = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
	onePart      = "7\r\npartial\r\n"
	headTooLarge = "HTTP/1.1 413 Content Too Large\n\n"
)

// cutDialer connects over loopback and records how the writes and reads of its
// connections end.
type cutDialer struct {
	net.Dialer
	mu   sync.Mutex
	ends map[string]int
}

func (d *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n, e := d.Dialer.DialContext(ctx, network, address)
	if e != nil {
		return nil, e
	}
	return &cutConn{n.(*net.TCPConn), d}, nil
}

func (d *cutDialer) record(call string, err error) {
	t := "other error"
	switch {
	case err == nil:
		return
	case errors.Is(err, io.EOF):
		t = "end of file"
	case errors.Is(err, syscall.ECONNRESET):
		t = "reset"
	case errors.Is(err, syscall.EPIPE):
		t = "broken pipe"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends[call+" "+t]++
}

type cutConn struct {
	*net.TCPConn
	dialer *cutDialer
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, e := c.TCPConn.Read(p)
	c.dialer.record("read", e)
	return n, e
}

func (c *cutConn) Write(p []byte) (int, error) {
	n, e := c.TCPConn.Write(p)
	c.dialer.record("write", e)
	return n, e
}

// cutServer answers the only request on each connection with head and part, and calls
// end once the client has read them.
type cutServer struct {
	head, part string
	// Bytes of the request that are read before the response, all of it if negative.
	readBytes int64
	end       func(conn *net.TCPConn, received <-chan struct{})
	// The client has read the part, and the end of the response.
	partRead, received chan struct{}
	// The connection is closed.
	closed chan struct{}
	// The client reads the part only after that.
	isSlow bool
}

func (s *cutServer) serve(t *testing.T) string {
	t.Helper()
	l, e := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			n, e := l.AcceptTCP()
			if e != nil {
				return
			}
			s.serveConn(n)
		}
	}()
	return l.Addr().String()
}

func (s *cutServer) serveConn(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		s.closed <- struct{}{}
	}()
	q, e := http.ReadRequest(bufio.NewReaderSize(conn, 64))
	if e != nil {
		return
	}
	n := s.readBytes
	if n < 0 {
		n = q.ContentLength
	}
	_, _ = io.CopyN(io.Discard, q.Body, n)
	_, _ = io.WriteString(conn, strings.ReplaceAll(s.head, "\n", "\r\n")+s.part)
	<-s.partRead
	s.end(conn, s.received)
}

func resetConn(conn *net.TCPConn, _ <-chan struct{}) { _ = conn.SetLinger(0) }

func closeConn(*net.TCPConn, <-chan struct{}) {}

// halfCloseConn ends the response, and reads no more until the client has its result.
func halfCloseConn(conn *net.TCPConn, received <-chan struct{}) {
	_ = conn.CloseWrite()
	<-received
}

// receiveCut sends a request with a body and returns the result of reading the response.
func receiveCut(t *testing.T, conns *pool.Pool, address string, server *cutServer, body []byte) string {
	t.Helper()
	q := trail.NewRequest("1", http.MethodPost, "/", "h", nil, body)
	a, e := conns.Do(t.Context(), trail.NewDestination(address, nil), q, http.Header{}, func(*http.Response, bool) bool { return true })
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = a.Body.Close() }()
	if server.isSlow {
		server.partRead <- struct{}{}
		<-server.closed
	}
	if server.part != "" {
		_, e = io.ReadFull(a.Body, make([]byte, len(cutPart)))
	}
	if !server.isSlow {
		server.partRead <- struct{}{}
	}
	if e != nil {
		server.received <- struct{}{}
		return "cut"
	}
	_, e = io.Copy(io.Discard, a.Body)
	server.received <- struct{}{}
	if e != nil {
		return "cut"
	}
	return "complete"
}

// Guards against a response without a length that is taken for complete although its
// connection was reset, or ended before the whole request had been sent; and against
// complete responses that are taken for cut.
func TestCutResponseIsTakenForComplete(t *testing.T) {
	l := []struct {
		name      string
		head      string
		readBytes int64
		end       func(*net.TCPConn, <-chan struct{})
		body      int
		want      string
		part      string
		isSlow    bool
	}{
		{"long request, reset", headUnframed, 0, resetConn, cutLongBody, "cut", cutPart, false},
		{"long request, closed with unread bytes", headUnframed, 0, closeConn, cutLongBody, "cut", cutPart, false},
		{"long request, part read, closed with unread bytes", headUnframed, 1 << 20, closeConn, cutLongBody, "cut", cutPart, false},
		{"long request, half-closed", headUnframed, 0, halfCloseConn, cutLongBody, "cut", cutPart, false},
		{"long request, connection option close, reset", headClosing, 0, resetConn, cutLongBody, "cut", cutPart, false},
		{"long request, connection option close, half-closed", headClosing, 0, halfCloseConn, cutLongBody, "cut", cutPart, false},
		{"long request, too large, reset", headTooLarge, 0, resetConn, cutLongBody, "cut", cutPart, false},
		{"long request, too large, half-closed", headTooLarge, 0, halfCloseConn, cutLongBody, "complete", cutPart, false},
		{"long request, read whole, reset", headUnframed, -1, resetConn, cutLongBody, "cut", cutPart, false},
		{"long request, read whole, closed", headUnframed, -1, closeConn, cutLongBody, "complete", cutPart, false},
		{"long request, length, reset", headLength, 0, resetConn, cutLongBody, "complete", cutPart, false},
		{"long request, length, closed with unread bytes", headLength, 0, closeConn, cutLongBody, "complete", cutPart, false},
		{"long request, chunks, reset", headChunks, 0, resetConn, cutLongBody, "complete", onePart + "0\r\n\r\n", false},
		{"long request, no last chunk, reset", headChunks, 0, resetConn, cutLongBody, "cut", onePart, false},
		{"long request, reset before the first byte", headUnframed, 0, resetConn, cutLongBody, "cut", "", false},
		{"long request, closed before the first byte", headUnframed, 0, closeConn, cutLongBody, "cut", "", false},
		{"long request, reset before the first byte is read", headUnframed, 0, resetConn, cutLongBody, "cut", cutPart, true},
		{"long request, closed before the first byte is read", headUnframed, 0, closeConn, cutLongBody, "cut", cutPart, true},
		{"long request, read whole, closed before the first byte is read", headUnframed, -1, closeConn, cutLongBody, "complete", cutPart, true},
		{"request of one byte, reset before the first byte is read", headUnframed, -1, resetConn, 1, "cut", cutPart, true},
		{"request within the buffers, reset", headUnframed, 0, resetConn, 64 << 10, "cut", cutPart, false},
		{"request within the buffers, closed with unread bytes", headUnframed, 0, closeConn, 64 << 10, "cut", cutPart, false},
		{"request within the buffers, read whole, closed", headUnframed, -1, closeConn, 64 << 10, "complete", cutPart, false},
		{"request of one byte, reset", headUnframed, -1, resetConn, 1, "cut", cutPart, false},
		{"request of a few bytes, closed with unread bytes", headUnframed, 0, closeConn, 300, "cut", cutPart, false},
		{"request of one byte, closed", headUnframed, -1, closeConn, 1, "complete", cutPart, false},
		{"request of one byte, half-closed", headUnframed, -1, halfCloseConn, 1, "complete", cutPart, false},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			s := &cutServer{head: k.head, part: k.part, isSlow: k.isSlow, readBytes: k.readBytes, end: k.end, partRead: make(chan struct{}), received: make(chan struct{}, cutRepetitions), closed: make(chan struct{}, cutRepetitions)}
			a := s.serve(t)
			d := &cutDialer{ends: map[string]int{}}
			p := pool.New(d, prometheus.NewRegistry())
			b := make([]byte, k.body)
			n := map[string]int{}
			for range cutRepetitions {
				n[receiveCut(t, p, a, s, b)]++
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			m := fmt.Sprintf("responses %v, calls that failed %v", n, d.ends)
			t.Log(m)
			if n[k.want] != cutRepetitions {
				t.Errorf("want %d %s: %s", cutRepetitions, k.want, m)
			}
		})
	}
}
