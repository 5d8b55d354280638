package httpd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/transport/httpd"
)

// timeUntilClosed returns the time until the server closes the connection.
func timeUntilClosed(conn net.Conn) time.Duration {
	b := time.Now()
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(b)
}

// Guards against timeouts that do not follow a configuration change, and
// against connections that are closed before their timeout has passed.
func TestTimeoutsFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h, i time.Duration
		x := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }, prometheus.NewRegistry(),
			httpd.WithTimeouts(func() (time.Duration, time.Duration) { return h, i }))
		var g []time.Duration
		for _, k := range []struct{ header, idle time.Duration }{{0, 0}, {2 * time.Second, 90 * time.Second}} {
			h, i = k.header, k.idle
			n, e := x.network.DialContext(t.Context(), "tcp", "server:80")
			if e != nil {
				t.Fatal(e)
			}
			_, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHo")
			g = append(g, timeUntilClosed(n))
			n, e = x.network.DialContext(t.Context(), "tcp", "server:80")
			if e != nil {
				t.Fatal(e)
			}
			_, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHost: server\r\n\r\n")
			r, e := http.ReadResponse(bufio.NewReader(n), nil)
			if e != nil {
				t.Fatal(e)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			g = append(g, timeUntilClosed(n))
		}
		w := []time.Duration{5 * time.Second, time.Minute, 2 * time.Second, 90 * time.Second}
		if d := cmp.Diff(w, g); d != "" {
			t.Error(d)
		}
		x.finish(t)
	})
}
