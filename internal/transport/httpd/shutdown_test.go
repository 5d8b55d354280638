package httpd_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/transport/httpd"
)

// Guards against a graceful shutdown that aborts a request in progress, or
// during which the server reports ready although it accepts no connections.
func TestShutdownFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(chan struct{})
		x := start(t, func(w http.ResponseWriter, _ *http.Request) {
			<-g
			_, _ = io.WriteString(w, "whole")
		}, prometheus.NewRegistry())
		if !x.server.Ready() {
			t.Fatal("server is not ready while serving")
		}
		a := make(chan string)
		go func() {
			r, e := x.client.Get("http://server/")
			if e != nil {
				a <- e.Error()
				return
			}
			b, _ := io.ReadAll(r.Body)
			a <- string(b)
		}()
		synctest.Wait()
		x.stop()
		synctest.Wait()
		if x.server.Ready() {
			t.Error("server is ready after shutdown started")
		}
		_, e := x.network.DialContext(t.Context(), "tcp", "server:80")
		if e == nil {
			t.Error("server accepts connections after shutdown started")
		}
		close(g)
		if d := cmp.Diff("whole", <-a); d != "" {
			t.Error(d)
		}
		x.finish(t)
	})
}

// Guards against requests lost during shutdown because the load balancer, which
// has not yet noticed that the server is not ready, sends them on a connection
// that is being closed or to a listener that is already closed.
func TestDrainDelayServesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 2 * time.Second
		x := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }, prometheus.NewRegistry(), httpd.WithDrainDelay(d))
		_, _ = io.Copy(io.Discard, x.get(t).Body)
		x.stop()
		synctest.Wait()
		if x.server.Ready() {
			t.Error("server is ready after shutdown started")
		}
		// The first request uses the idle connection, the second a new one.
		for range 2 {
			r := x.get(t)
			b, _ := io.ReadAll(r.Body)
			if string(b) != "whole" || !r.Close {
				t.Errorf("response body %q, connection closed after it: %v", b, r.Close)
			}
		}
		time.Sleep(d)
		synctest.Wait()
		_, e := x.client.Get("http://server/")
		if e == nil {
			t.Error("server accepts connections after the drain delay")
		}
		x.finish(t)
	})
}

// Guards against requests that are read and then dropped without a response, on
// connections that were accepted just before the drain delay ends.
func TestRequestAtEndOfDrainDelayIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 2 * time.Second
		x := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }, prometheus.NewRegistry(), httpd.WithDrainDelay(d))
		x.stop()
		time.Sleep(d - time.Millisecond)
		n, e := x.network.DialContext(t.Context(), "tcp", "server:80")
		if e != nil {
			t.Fatal(e)
		}
		_, e = x.network.DialContext(t.Context(), "tcp", "server:80")
		if e != nil {
			t.Fatal(e)
		}
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHost: server\r\n\r\n")
		r, e := http.ReadResponse(bufio.NewReader(n), nil)
		if e != nil {
			t.Fatal(e)
		}
		b, _ := io.ReadAll(r.Body)
		if string(b) != "whole" || !r.Close {
			t.Errorf("response body %q, connection closed after it: %v", b, r.Close)
		}
		// A connection that sends nothing must not hold the shutdown up.
		y := time.Now()
		x.finish(t)
		if w := time.Since(y); w > time.Second {
			t.Error("shutdown took", w)
		}
	})
}

// Guards against a request that is accepted on an idle connection long after the
// drain delay, because another request is still in progress: there may be too
// little time left for it.
func TestIdleConnectionIsServedAfterDrainDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 2 * time.Second
		h := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(10 * time.Second)
			}
			_, _ = io.WriteString(w, "whole")
		}
		x := start(t, h, prometheus.NewRegistry(), httpd.WithDrainDelay(d))
		n, e := x.network.DialContext(t.Context(), "tcp", "server:80")
		if e != nil {
			t.Fatal(e)
		}
		r := bufio.NewReader(n)
		_, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHost: server\r\n\r\n")
		a, e := http.ReadResponse(r, nil)
		if e != nil {
			t.Fatal(e)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		go func() {
			q, e := x.client.Get("http://server/long")
			if e == nil {
				_, _ = io.Copy(io.Discard, q.Body)
			}
		}()
		synctest.Wait()
		x.stop()
		b := time.Now()
		_, e = r.ReadByte()
		if w := time.Since(b); e == nil || w > d+time.Second {
			t.Error("idle connection was closed after", w)
		}
		x.finish(t)
	})
}

// Guards against a shutdown that waits forever for a request that does not end,
// or that aborts it without reporting an error.
func TestShutdownEndsAfterDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const b = 3 * time.Second
		x := start(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, prometheus.NewRegistry(), httpd.WithDrainTimeout(b))
		a := make(chan error)
		go func() {
			_, e := x.client.Get("http://server/")
			a <- e
		}()
		synctest.Wait()
		n := time.Now()
		x.stop()
		if e := <-x.served; e == nil {
			t.Error("Serve aborted a request without returning an error")
		}
		if d := cmp.Diff(b, time.Since(n)); d != "" {
			t.Error(d)
		}
		if e := <-a; e == nil {
			t.Error("the aborted request received a response")
		}
	})
}

// Guards against a request that is cut without an answer at the end of the drain
// timeout.
func TestRequestIsCutWithoutAnswerAtEndOfDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const b, k = 3 * time.Second, 200 * time.Millisecond
		h := func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			w.WriteHeader(http.StatusBadGateway)
		}
		x := start(t, h, prometheus.NewRegistry(), httpd.WithDrainTimeout(b), httpd.WithAnswerReserve(k))
		a := make(chan int)
		go func() {
			r, e := x.client.Get("http://server/")
			if e != nil {
				a <- 0
				return
			}
			a <- r.StatusCode
		}()
		synctest.Wait()
		_, o := x.server.DrainEnd()
		n := time.Now()
		x.stop()
		synctest.Wait()
		d, l := x.server.DrainEnd()
		if d := cmp.Diff([]any{false, true, b - k, http.StatusBadGateway, b - k}, []any{o, l, d.Sub(n), <-a, time.Since(n)}); d != "" {
			t.Error(d)
		}
		x.finish(t)
	})
}
