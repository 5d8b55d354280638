package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/pool"
)

const address = "10.0.0.1:80"

// server responds to each request on a connection with the next of the replies.
// It closes the connection when none are left, and after a reply that closes it
// or ends in (cut).
type server struct {
	replies []string
	// The replies are sent as they are, without the mark of a cut.
	raw bool
	// Requests read, by connection.
	requests [][]string
}

func (s *server) serve(listener net.Listener) {
	for k := 0; ; k++ {
		n, e := listener.Accept()
		if e != nil {
			return
		}
		s.requests = append(s.requests, nil)
		go s.serveConn(n, k)
	}
}

func (s *server) serveConn(conn net.Conn, index int) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		q, e := http.ReadRequest(r)
		if e != nil {
			return
		}
		b, _ := io.ReadAll(q.Body)
		s.requests[index] = append(s.requests[index], q.Method+" "+q.RequestURI+" "+q.Header.Get("Id")+" "+string(b))
		if len(s.replies) == 0 {
			return
		}
		a := s.replies[0]
		s.replies = s.replies[1:]
		if s.raw {
			_, _ = io.WriteString(conn, strings.TrimSuffix(a, "(cut)"))
		} else {
			_, _ = io.WriteString(conn, strings.ReplaceAll(a, "\n", "\r\n"))
		}
		if strings.Contains(a, "Connection: close") || strings.HasSuffix(a, "(cut)") {
			return
		}
	}
}

// sendAll sends one request for each id, one after the other, and returns their
// results as send does.
func sendAll(t *testing.T, backend *server, ids ...string) []string {
	var g []string
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l := n.Listen(address)
		go backend.serve(l)
		p := pool.New(n, prometheus.NewRegistry())
		for _, i := range ids {
			g = append(g, send(t.Context(), p, i))
			synctest.Wait()
		}
		p.CloseIdle(address)
		_ = l.Close()
		synctest.Wait()
	})
	return g
}

// send sends a request with an id, and returns the body of the response or the
// error's code and verdict. It takes a response without an id on a fresh
// connection only.
func send(ctx context.Context, conns *pool.Pool, id string) string {
	q := trail.NewRequest(id, http.MethodPost, "/p?q=1", "h", nil, []byte("body"))
	a, e := conns.Do(ctx, trail.NewDestination(address, nil), q, http.Header{"Id": {id}}, func(a *http.Response, fresh bool) bool {
		return a.Header.Get("Id") == id || a.Header.Get("Id") == "" && fresh
	})
	if e != nil {
		return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
	}
	defer func() { _ = a.Body.Close() }()
	b, e := io.ReadAll(a.Body)
	if e != nil {
		return "cut after " + string(b)
	}
	return string(b)
}

// reply returns a response with an id and a body of less than 10 bytes.
func reply(id, body string) string {
	return "HTTP/1.1 200 OK\nId: " + id + "\nContent-Length: " + string(rune('0'+len(body))) + "\n\n" + body
}

// Guards against responses that reach another request when bytes arrive at an
// unexpected place on a persistent connection.
func TestResponseReachesAnotherRequest(t *testing.T) {
	l := []struct {
		name    string
		replies []string
		want    []string
		// Connections opened.
		connections int
	}{
		{"reused connection", []string{reply("1", "a"), reply("2", "b")}, []string{"a", "b"}, 1},
		{"late response before the right one", []string{reply("1", "a"), reply("0", "x") + reply("2", "b")}, []string{"a", "b"}, 1},
		{"second response to the same request", []string{reply("1", "a") + reply("1", "a"), reply("2", "b")}, []string{"a", "b"}, 2},
		{"bytes that are not HTTP", []string{"hello\n\n"}, []string{"backend-lost may-have-run"}, 1},
		{"interrupted body", []string{"HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\n\n(cut)"}, []string{"cut after (cut)"}, 1},
		{"no response", nil, []string{"backend-lost may-have-run"}, 1},
		{"Connection: close", []string{"HTTP/1.1 200 OK\nId: 1\nConnection: close\nContent-Length: 1\n\na", reply("2", "b")}, []string{"a", "b"}, 2},
		{"interim response", []string{"HTTP/1.1 100 Continue\n\n" + reply("1", "a")}, []string{"a"}, 1},
		{"only responses to other requests", []string{reply("7", "x") + reply("8", "x") + reply("9", "x")}, []string{"backend-lost may-have-run"}, 1},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			s := &server{replies: k.replies}
			g := sendAll(t, s, []string{"1", "2"}[:len(k.want)]...)
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(k.connections, len(s.requests)); d != "" {
				t.Error("connections:", d)
			}
		})
	}
}

// Guards against a request line, header or body that is changed on the way.
func TestRequestIsChanged(t *testing.T) {
	s := &server{replies: []string{reply("1", "a")}}
	sendAll(t, s, "1")
	if d := cmp.Diff([][]string{{"POST /p?q=1 1 body"}}, s.requests); d != "" {
		t.Error(d)
	}
}

// Guards against the verdict may-have-run for a request whose connection failed,
// because it could not be retried elsewhere then.
func TestUnreachableServerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool.New(memnet.New(), prometheus.NewRegistry())
		if d := cmp.Diff("backend-unreachable not-run", send(t.Context(), p, "1")); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a connection that is used after its keep-alive time, when the
// backend server may close it while the request is in transit.
func TestConnectionIsReusedAfterKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l := n.Listen(address)
		s := &server{replies: []string{
			"HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=3\nContent-Length: 1\n\na",
			"HTTP/1.1 200 OK\nId: 2\nKeep-Alive: timeout=3\nContent-Length: 1\n\nb",
			reply("3", "c"),
		}}
		go s.serve(l)
		p := pool.New(n, prometheus.NewRegistry())
		send(t.Context(), p, "1")
		time.Sleep(2 * time.Second)
		send(t.Context(), p, "2")
		time.Sleep(2500 * time.Millisecond)
		send(t.Context(), p, "3")
		p.CloseIdle(address)
		_ = l.Close()
		synctest.Wait()
		if d := cmp.Diff([][]string{{"POST /p?q=1 1 body", "POST /p?q=1 2 body"}, {"POST /p?q=1 3 body"}}, s.requests); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a connection that stays open after the request's context has
// ended, so that the backend server works on for a caller that has disconnected.
func TestRequestOutlivesItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l := n.Listen(address)
		o := make(chan time.Duration, 1)
		b := time.Now()
		go func() {
			x, e := l.Accept()
			if e != nil {
				return
			}
			_, _ = io.Copy(io.Discard, x)
			o <- time.Since(b)
		}()
		c, f := context.WithTimeout(t.Context(), time.Second)
		defer f()
		p := pool.New(n, prometheus.NewRegistry())
		g := send(c, p, "1")
		if d := cmp.Diff("backend-lost may-have-run", g); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(time.Second, <-o); d != "" {
			t.Error(d)
		}
		_ = l.Close()
	})
}
