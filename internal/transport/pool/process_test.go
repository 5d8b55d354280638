package pool_test

import (
	"errors"
	"net/http"
	"strconv"
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

// probe is a trail.ProcessProbe whose response is the start of the process.
type probe struct{}

func (probe) Request() (string, *http.Request) {
	return "/who", &http.Request{Method: http.MethodGet, Host: "h", Header: http.Header{}}
}

func (probe) Born(status int, body []byte) (int64, error) {
	if status == http.StatusNotFound {
		return 0, nil
	}
	n, e := strconv.ParseInt(string(body), 10, 64)
	if status != http.StatusOK {
		e = errors.New("no answer")
	}
	return n, e
}

// who returns the response to a probe by the process that was started at born.
func who(born string) string {
	return "HTTP/1.1 200 OK\nContent-Length: " + strconv.Itoa(len(born)) + "\n\n" + born
}

// Guards against a request for one process that reaches another one which has started
// at its address since, on a new connection or on a kept one, and against probes of
// connections whose process is known.
func TestRequestReachesAnotherProcess(t *testing.T) {
	c := "HTTP/1.1 200 OK\nConnection: close\nContent-Length: 1\n\n7"
	f := "HTTP/1.1 500 Failed\nContent-Length: 0\n\n"
	l := []struct {
		name    string
		replies []string
		// For each request the start of the process that it is for, 0 for any.
		born []int64
		// Result and the start of the process that has answered.
		want        []string
		connections int
		probes      int
	}{
		{"process", []string{who("7"), reply("1", "a"), reply("2", "b")}, []int64{7, 7}, []string{"a 7", "b 7"}, 1, 1},
		{"another process", []string{who("8")}, []int64{7}, []string{"backend-restarted not-run"}, 1, 1},
		{"another process is asked by a later request", []string{who("8"), reply("2", "b")}, []int64{7, 8}, []string{"backend-restarted not-run", "b 8"}, 1, 1},
		{"any process", []string{who("8"), reply("1", "a")}, []int64{0}, []string{"a 8"}, 1, 1},
		{"kept connection to another process", []string{who("8"), reply("1", "a"), who("8"), reply("3", "c")}, []int64{0, 7, 8}, []string{"a 8", "backend-restarted not-run", "c 8"}, 2, 2},
		{"process started in between", []string{who("7"), reply("1", "a"), who("8"), reply("2", "b")}, []int64{7, 8}, []string{"a 7", "b 8"}, 2, 2},
		{"process does not tell", []string{"HTTP/1.1 404 Not Found\nContent-Length: 0\n\n", reply("1", "a")}, []int64{0}, []string{"a -1"}, 1, 1},
		{"process does not tell, one is needed", []string{"HTTP/1.1 404 Not Found\nContent-Length: 0\n\n"}, []int64{7}, []string{"backend-unidentified not-run"}, 1, 1},
		{"first connection ends with the probe", []string{c, who("7"), reply("1", "a")}, []int64{7}, []string{"a 7"}, 2, 2},
		{"each connection ends with the probe", []string{c, c, reply("1", "a")}, []int64{0}, []string{"a -1"}, 3, 2},
		{"each connection ends with the probe, one is needed", []string{c, c}, []int64{7}, []string{"backend-unidentified not-run"}, 2, 2},
		{"probe fails", []string{f, reply("1", "a")}, []int64{0}, []string{"a -1"}, 1, 1},
		{"probe fails, a process is needed", []string{f}, []int64{7}, []string{"backend-unidentified not-run"}, 1, 1},
		{"probe is garbled", []string{who("x"), reply("1", "a")}, []int64{0}, []string{"a -1"}, 1, 1},
		{"more than the response", []string{who("7") + "x", reply("1", "a")}, []int64{0}, []string{"a -1"}, 2, 1},
		{"connection is lost", []string{"(cut)", reply("1", "a")}, []int64{0}, []string{"a -1"}, 2, 1},
		{"server is silent to the probe", []string{"", reply("1", "a")}, []int64{0}, []string{"a -1"}, 2, 1},
		{"server is silent, a process is needed", []string{""}, []int64{7}, []string{"backend-unidentified not-run"}, 1, 1},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				s := &server{replies: k.replies}
				x := n.Listen(address)
				go s.serve(x)
				p := pool.New(n, prometheus.NewRegistry())
				b := time.Now()
				var g []string
				for i, v := range k.born {
					g = append(g, sendTo(t, p, trail.NewDestination(address, probe{}).WithBorn(v), strconv.Itoa(i+1)))
					synctest.Wait()
				}
				p.CloseIdle(address)
				_ = x.Close()
				if d := cmp.Diff(k.want, g); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff([]int{k.connections, k.probes}, []int{len(s.requests), countProbes(s.requests)}); d != "" {
					t.Error(d, s.requests)
				}
				if w := time.Since(b); w > 300*time.Millisecond {
					t.Error("requests have waited for", w)
				}
			})
		})
	}
}

func countProbes(requests [][]string) int {
	n := 0
	for _, l := range requests {
		for _, r := range l {
			if strings.HasPrefix(r, "GET /who") {
				n++
			}
		}
	}
	return n
}

// sendTo sends a request to a destination, and returns the body of the response and the start
// of the process, or the error's code and verdict.
func sendTo(t *testing.T, conns *pool.Pool, destination trail.Destination, id string) string {
	q := trail.NewRequest(id, http.MethodPost, "/p", "h", nil, nil)
	a, e := conns.Do(t.Context(), destination, q, http.Header{"Id": {id}}, func(a *http.Response, _ bool) bool { return a.Header.Get("Id") == id })
	if e != nil {
		return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
	}
	defer func() { _ = a.Body.Close() }()
	b := make([]byte, 1)
	_, _ = a.Body.Read(b)
	_, _ = a.Body.Read(make([]byte, 1))
	return string(b) + " " + strconv.FormatInt(a.Born(), 10)
}
