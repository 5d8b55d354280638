package invoke_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// answerWithMetrics serves a connection as an engine does: metrics to a request for
// them, an answer to each call.
func answerWithMetrics(metrics string) serverScript {
	return func(n net.Conn, r *bufio.Reader) {
		for {
			q, e := http.ReadRequest(r)
			if e != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			a := strings.Replace(streamHead, "\r\n", "\r\nX-Request-Id: "+q.Header.Get("X-Request-Id")+"\r\n", 1) + chunked(tokenEvent, doneEvent) + lastChunk
			if q.URL.Path == "/metrics" {
				a = metrics
			}
			if a == "" {
				continue
			}
			_, _ = io.WriteString(n, a)
		}
	}
}

// metricsAnswer returns a response with metrics.
func metricsAnswer(headers, metrics string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(metrics), metrics)
}

// identity is what the heads of two calls in a row tell of the process.
type identity struct {
	Starts  []int64
	Unknown []bool
	Dials   int
}

// Guards against a preempted stream that goes on at another process than the scheduler
// believes: an answer must tell which process is at the other end of its connection, or
// that this could not be asked, and the question must not fail the call or delay others.
func TestAnswerIsTakenForThatOfAnotherProcess(t *testing.T) {
	s := "process_start_time_seconds 1700000000.25\n"
	h := func(r *wire.Call) {
		r.SetClass(wire.Class_CLASS_BATCH)
		r.SetStream(true)
	}
	for n, k := range map[string]struct {
		metrics string
		modify  func(*wire.Call)
		want    identity
	}{
		"start is published":          {metricsAnswer("", s), h, identity{[]int64{1700000000250, 1700000000250}, []bool{false, false}, 1}},
		"start is not published":      {metricsAnswer("", "engine_slots 4\n"), h, identity{[]int64{0, 0}, []bool{false, false}, 1}},
		"starts of several processes": {metricsAnswer("", "process_start_time_seconds{pid=\"1\"} 1\nprocess_start_time_seconds{pid=\"2\"} 2\n"), h, identity{[]int64{0, 0}, []bool{false, false}, 1}},
		"no metrics":                  {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", h, identity{[]int64{0, 0}, []bool{false, false}, 1}},
		"no response":                 {"", h, identity{[]int64{0, 0}, []bool{true, true}, 2}},
		"connection ends with it":     {metricsAnswer("Connection: close\r\n", s), h, identity{[]int64{0, 0}, []bool{true, true}, 2}},
		"online call":                 {metricsAnswer("", s), func(r *wire.Call) { r.SetStream(true) }, identity{[]int64{0, 0}, []bool{false, false}, 1}},
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pipeDialer{scripts: []serverScript{answerWithMetrics(k.metrics)}}
				c := newClient(p)
				var g identity
				for range 2 {
					a, e := c.Call(t.Context(), "10.0.0.1:80", newCall(k.modify))
					if e != nil {
						t.Fatal(e)
					}
					for m, e := a.Recv(); e != io.EOF; m, e = a.Recv() {
						if e != nil || m.GetEnd().GetCode() != "" {
							t.Fatal(m, e)
						}
						if m.HasHead() {
							g.Starts = append(g.Starts, m.GetHead().GetProcessStartUnixMs())
							g.Unknown = append(g.Unknown, m.GetHead().GetProcessUnknown())
						}
					}
					synctest.Wait()
				}
				// Lets the idle connections expire.
				time.Sleep(time.Minute)
				g.Dials = p.dials
				if d := cmp.Diff(k.want, g); d != "" {
					t.Error(d)
				}
			})
		})
	}
}
