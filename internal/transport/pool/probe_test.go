package pool_test

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/pool"
)

// Guards against a probe whose response never ends: it is given up within its time,
// its connection is closed, and no request is written to it.
func TestProbeWithoutEnd(t *testing.T) {
	for m, k := range map[string]struct {
		head, repeat string
		interval     time.Duration
	}{
		"head":              {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", 0},
		"slow head":         {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", 10 * time.Millisecond},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000), 0},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0},
		"slow body":         {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x", 10 * time.Millisecond},
	} {
		t.Run(m, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				x := n.Listen(address)
				var o atomic.Bool
				go func() {
					c, e := x.Accept()
					if e != nil {
						return
					}
					_, e = c.Read(make([]byte, 4096))
					if e == nil {
						_, e = io.WriteString(c, k.head)
					}
					for e == nil {
						time.Sleep(k.interval)
						_, e = io.WriteString(c, k.repeat)
					}
					o.Store(true)
				}()
				p := pool.New(n, prometheus.NewRegistry())
				b := time.Now()
				g := sendTo(t, p, trail.NewDestination(address, probe{}).WithBorn(7), "1")
				w := time.Since(b)
				time.Sleep(time.Second)
				_ = x.Close()
				if d := cmp.Diff([]any{"backend-unidentified not-run", true}, []any{g, o.Load()}); d != "" {
					t.Error(d)
				}
				if w > time.Second {
					t.Error("request has waited for", w)
				}
			})
		})
	}
}
