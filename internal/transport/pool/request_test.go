package pool_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/transport/pool"
)

// recordingConn records what is written to it, and ends when a request was written.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordingConn) Write(p []byte) (int, error) { return c.written.Write(p) }

func (c *recordingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *recordingConn) Close() error { return nil }

func (c *recordingConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

// readRequests returns how many requests a standard reader finds, and the last one with
// its body.
func readRequests(written []byte) (int, *http.Request, []byte, error) {
	r := bufio.NewReader(bytes.NewReader(written))
	var q *http.Request
	var b []byte
	for n := 0; ; n++ {
		x, e := http.ReadRequest(r)
		if errors.Is(e, io.EOF) {
			return n, q, b, nil
		}
		if e != nil {
			return n, nil, nil, e
		}
		q = x
		b, e = io.ReadAll(q.Body)
		if e != nil {
			return n, nil, nil, e
		}
	}
}

// Guards against request smuggling: whatever a caller supplies, a backend server finds
// exactly the one request that was meant, or nothing is sent and the request has not
// run.
func FuzzWrittenRequestIsOne(f *testing.F) {
	f.Add("POST", "/a/b?q=1", "h.example", "X-Model", "m", []byte("body"))
	f.Add("POST", "/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nPOST /a", "h", "X-Model", "m", []byte("body"))
	f.Add("POST", "/a", "h", "Transfer-Encoding", "chunked", []byte("0\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("POST", "/a", "h", "Content-Length", "0", []byte("POST /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("GET", "/a", "h", "X\r\nY", "1", []byte{})
	f.Add("GET", "/a", "h", "X", "1\nTransfer-Encoding: chunked", []byte{})
	f.Add("GET /b HTTP/1.1\r\nHost: h\r\n\r\nGET", "/a", "h", "X", "1", []byte{})
	f.Add("PUT", "/a", "h\r\nContent-Length: 1", "X", "1", []byte("ab"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		c := &recordingConn{}
		p := pool.New(c, prometheus.NewRegistry())
		h := http.Header{"X-Attempt-Id": {"1"}}
		h[http.CanonicalHeaderKey(name)] = []string{value}
		_, e := p.Do(t.Context(), trail.NewDestination("server", nil), trail.NewRequest("1", method, target, host, nil, body), h, func(*http.Response, bool) bool { return true })
		if trail.VerdictOf(e) == trail.NotRun {
			if c.written.Len() > 0 {
				t.Fatalf("bytes of a request that has not run: %q", c.written.Bytes())
			}
			return
		}
		n, r, b, e := readRequests(c.written.Bytes())
		if e != nil || n != 1 || r.Method != method || r.RequestURI != target || !bytes.Equal(b, body) {
			t.Fatalf("%d requests, %v, in %q", n, e, c.written.Bytes())
		}
	})
}

// shortConn takes a number of bytes, and fails then.
type shortConn struct {
	recordingConn
	room int
}

func (c *shortConn) Write(p []byte) (int, error) {
	n, _ := c.written.Write(p[:min(len(p), c.room)])
	c.room -= n
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

func (c *shortConn) SetDeadline(time.Time) error { return nil }

func (c *shortConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

// Guards against a request that counts as not run although a part of it, which may be
// all that the server reads, was sent, with a body of either way of writing.
func TestPartlyWrittenRequestIsNotRun(t *testing.T) {
	for _, b := range []int{0, 4, 1 << 20} {
		for r, w := range map[int]string{0: "backend-lost not-run", 1: "backend-lost may-have-run", 60: "backend-lost may-have-run"} {
			c := &shortConn{room: r}
			_, e := pool.New(c, prometheus.NewRegistry()).Do(t.Context(), trail.NewDestination("server", nil), trail.NewRequest("1", "POST", "/p", "h", nil, make([]byte, b)), http.Header{}, func(*http.Response, bool) bool { return true })
			if d := cmp.Diff(w, trail.CodeOf(e)+" "+trail.VerdictOf(e).String()); d != "" {
				t.Error("bytes of the body", b, "sent", r, d)
			}
		}
	}
}
