package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/httpd"
)

// fixture is a running server with a client.
type fixture struct {
	server  *httpd.Server
	network *memnet.Network
	client  *http.Client
	stop    context.CancelFunc
	served  chan error
}

func start(t *testing.T, handler http.HandlerFunc, registry prometheus.Registerer, options ...func(*httpd.Server)) *fixture {
	l := &log.Logger{Handler: discard.New()}
	c, f := context.WithCancel(t.Context())
	n := memnet.New()
	x := &fixture{
		server:  httpd.New(handler, l, registry, options...),
		network: n,
		client:  &http.Client{Transport: &http.Transport{DialContext: n.DialContext}},
		stop:    f,
		served:  make(chan error, 1),
	}
	go func() { x.served <- x.server.Serve(c, n.Listen("server:80")) }()
	synctest.Wait()
	return x
}

func (x *fixture) finish(t *testing.T) {
	t.Helper()
	x.client.CloseIdleConnections()
	x.stop()
	e := <-x.served
	if e != nil {
		t.Fatal(e)
	}
}

func (x *fixture) get(t *testing.T) *http.Response {
	t.Helper()
	r, e := x.client.Get("http://server/")
	if e != nil {
		t.Fatal(e)
	}
	return r
}

// status returns the response status at path, and whether the body contains the
// gauge of requests in flight.
func (x *fixture) status(t *testing.T, path string) string {
	t.Helper()
	r, e := x.client.Get("http://server" + path)
	if e != nil {
		t.Fatal(e)
	}
	b, _ := io.ReadAll(r.Body)
	if strings.Contains(string(b), `bulrushtrail_http_requests_in_flight{server="api"} 0`) {
		return r.Status + " with gauge"
	}
	return r.Status
}

// Guards against streamed responses that are delayed in a buffer. The handler
// uses io.Copy as the generated encoder does, and the second token is produced
// only after the client has received the first one.
func TestWritesAreFlushedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		x := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.Copy(w, r) }, prometheus.NewRegistry())
		go func() { _, _ = io.WriteString(w, "first\n") }()
		a := x.get(t)
		b := bufio.NewReader(a.Body)
		l, e := b.ReadString('\n')
		if d := cmp.Diff("first\n", l); e != nil || d != "" {
			t.Fatal(e, d)
		}
		go func() {
			_, _ = io.WriteString(w, "second\n")
			_ = w.Close()
		}()
		m, e := io.ReadAll(b)
		if d := cmp.Diff("second\n", string(m)); e != nil || d != "" {
			t.Fatal(e, d)
		}
		x.finish(t)
	})
}

// Guards against clients that occupy a connection without making progress: they
// send no header, an incomplete header or body, or do not read the response.
func TestStalledClientsAreDisconnected(t *testing.T) {
	m := map[string]string{
		"no header":   "",
		"half header": "GET / HTTP/1.1\r\nHost",
		"half body":   "POST / HTTP/1.1\r\nHost: server\r\nContent-Length: 10\r\n\r\nhalf",
		"takes none":  "GET /large HTTP/1.1\r\nHost: server\r\n\r\n",
	}
	for n, q := range m {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := make(chan error, 1)
				x := start(t, func(w http.ResponseWriter, r *http.Request) {
					_, e := io.ReadAll(r.Body)
					if r.URL.Path == "/large" {
						_, e = io.WriteString(w, strings.Repeat("x", 1<<20))
					}
					f <- e
				}, prometheus.NewRegistry())
				k, e := x.network.DialContext(t.Context(), "tcp", "server:80")
				if e != nil {
					t.Fatal(e)
				}
				go func() { _, _ = io.WriteString(k, q) }()
				// Twice the longest timeout that applies, the progress timeout.
				time.Sleep(time.Minute)
				synctest.Wait()
				if q != "" && !strings.HasSuffix(n, "header") {
					if e := <-f; e == nil {
						t.Error("the handler's read or write returned no error")
					}
				}
				_, _ = io.Copy(io.Discard, k)
				x.finish(t)
			})
		})
	}
}

// Guards against request bodies that exhaust the memory.
func TestOversizedBodyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t, func(w http.ResponseWriter, r *http.Request) {
			_, e := io.ReadAll(r.Body)
			if e != nil {
				http.Error(w, e.Error(), http.StatusRequestEntityTooLarge)
			}
		}, prometheus.NewRegistry(), httpd.WithMaxBodyBytes(4))
		for b, n := range map[string]int{"four": http.StatusOK, "fives": http.StatusRequestEntityTooLarge} {
			r, e := x.client.Post("http://server/", "text/plain", strings.NewReader(b))
			if e != nil {
				t.Fatal(e)
			}
			if d := cmp.Diff(n, r.StatusCode); d != "" {
				t.Error(b, d)
			}
			_ = r.Body.Close()
		}
		x.finish(t)
	})
}

// Guards against clients that open an unlimited number of connections, and
// against connections that are not released when they time out.
func TestExcessConnectionsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t, func(http.ResponseWriter, *http.Request) {}, prometheus.NewRegistry(), httpd.WithMaxConnections(1))
		var l []bool
		for range 2 {
			c, f := context.WithTimeout(t.Context(), time.Second)
			k, e := x.network.DialContext(c, "tcp", "server:80")
			l = append(l, e == nil)
			f()
			if e == nil {
				defer k.Close()
			}
		}
		if d := cmp.Diff([]bool{true, false}, l); d != "" {
			t.Error(d)
		}
		// The header timeout closes the first connection.
		time.Sleep(10 * time.Second)
		r := x.get(t)
		_ = r.Body.Close()
		x.finish(t)
	})
}

// Guards against the write deadline of one response that is still set, and has
// expired, when the next response is sent on the same connection.
func TestExpiredWriteDeadlineIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, prometheus.NewRegistry())
		for range 3 {
			r := x.get(t)
			_ = r.Body.Close()
			time.Sleep(50 * time.Second)
		}
		x.finish(t)
	})
}

// Guards against a readiness probe that succeeds, and thus attracts requests
// from the load balancer, while the server cannot serve them.
func TestReadinessFollowsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := false
		g := prometheus.NewRegistry()
		x := start(t, func(http.ResponseWriter, *http.Request) {}, g, httpd.WithReadinessCheck(func() bool { return b }))
		a := start(t, x.server.Admin(g).ServeHTTP, g, httpd.WithName("admin"))
		m := map[string]string{"before": a.status(t, "/readyz")}
		b = true
		m["ready"] = a.status(t, "/readyz")
		m["metrics"] = a.status(t, "/metrics")
		x.finish(t)
		m["stopped"] = a.status(t, "/readyz")
		m["live"] = a.status(t, "/livez")
		w := map[string]string{
			"before":  "503 Service Unavailable",
			"ready":   "200 OK",
			"metrics": "200 OK with gauge",
			"stopped": "503 Service Unavailable",
			"live":    "200 OK",
		}
		if d := cmp.Diff(w, m); d != "" {
			t.Error(d)
		}
		a.finish(t)
	})
}
