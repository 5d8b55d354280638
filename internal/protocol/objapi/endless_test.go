package objapi_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/protocol/objapi"
)

// Guards against a platform, or what answers at its address, that exhausts the memory
// of a process by an event of a watch without end.
func TestEndlessWatchLineIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := context.WithCancel(t.Context())
		// Bytes of the longest response.
		var x atomic.Int64
		l := &log.Logger{Handler: discard.New()}
		n := &network{accept: make(chan net.Conn), closed: make(chan struct{})}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			m := 0
			for e := error(nil); e == nil; time.Sleep(time.Millisecond) {
				var k int
				k, e = w.Write(bytes.Repeat([]byte("a"), 64<<10))
				m += k
			}
			x.Store(max(x.Load(), int64(m)))
		})}
		go func() { _ = s.Serve(n) }()
		w, e := objapi.New("http://platform", n, l, prometheus.NewRegistry()).Watch(c, "jobs", 0)
		if e != nil {
			t.Fatal(e)
		}
		time.Sleep(10 * time.Second)
		if m := x.Load(); m == 0 || m > 16<<20 {
			t.Error("bytes of an event that were read:", m)
		}
		f()
		for range w {
			t.Error("an event without end was taken for one")
		}
		_ = s.Close()
		time.Sleep(time.Minute)
	})
}
