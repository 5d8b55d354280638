package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/pool"
)

// process answers each request with its id, and probes with its start.
type process struct {
	born string
	// Connections end after the answer to a probe.
	closes bool
	asked  []string
}

func (s *process) serve(listener net.Listener) {
	for {
		n, e := listener.Accept()
		if e != nil {
			return
		}
		go s.serveConn(n)
	}
}

func (s *process) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		q, e := http.ReadRequest(r)
		if e != nil {
			return
		}
		s.asked = append(s.asked, q.URL.Path)
		a := reply(q.Header.Get("Id"), "a")
		if q.URL.Path == "/who" {
			a = who(s.born)
			if s.closes {
				a = strings.Replace(a, "\n", "\nConnection: close\n", 1)
			}
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(a, "\n", "\r\n"))
		if q.URL.Path == "/who" && s.closes {
			return
		}
	}
}

// Guards against a request for one process that reaches another one on a kept
// connection which was opened without a probe, as for an attempt of a front of an
// earlier version, and against its answer being attributed by the entry.
func TestKeptConnectionWithoutProbeIsTakenForAnyProcess(t *testing.T) {
	for b, r := range map[int64]string{7: "backend-restarted not-run", 0: "a 8"} {
		t.Run(strconv.FormatInt(b, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				s := &process{born: "8"}
				x := n.Listen(address)
				go s.serve(x)
				p := pool.New(n, prometheus.NewRegistry())
				_ = sendTo(t, p, trail.NewDestination(address, nil), "1")
				synctest.Wait()
				g := sendTo(t, p, trail.NewDestination(address, probe{}).WithBorn(b), "2")
				p.CloseIdle(address)
				_ = x.Close()
				if d := cmp.Diff(r, g); d != "" {
					t.Error(d, s.asked)
				}
			})
		})
	}
}

// restartingDialer starts the next process at the address before the second
// connection, as when this host stands still between two connections.
type restartingDialer struct {
	*memnet.Network
	dials   int
	restart func()
}

func (d *restartingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials++
	if d.dials == 2 {
		d.restart()
	}
	return d.Network.DialContext(ctx, network, address)
}

// Guards against a request for one process that reaches the next one, because the
// server closes the connection after the probe, as one that is leaving does, and
// starts again before the next connection.
func TestProcessEndsAfterProbe(t *testing.T) {
	for _, b := range []int64{0, 7} {
		t.Run(strconv.FormatInt(b, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				s := &process{born: "7", closes: true}
				x := n.Listen(address)
				go s.serve(x)
				z := &process{born: "8"}
				d := &restartingDialer{Network: n, restart: func() {
					_ = x.Close()
					x = n.Listen(address)
					go z.serve(x)
				}}
				p := pool.New(d, prometheus.NewRegistry())
				g := sendTo(t, p, trail.NewDestination(address, probe{}).WithBorn(b), "1")
				p.CloseIdle(address)
				_ = x.Close()
				if g == "a 7" {
					t.Error("answer of process 8 is attributed to process 7, request for", b, z.asked)
				}
			})
		})
	}
}

// answerTwice accepts a connection, answers a probe, and writes a copy where the answer to
// the request is due, before that one.
func answerTwice(listener net.Listener, answer, late string) {
	c, e := listener.Accept()
	if e != nil {
		return
	}
	b := make([]byte, 4096)
	_, _ = c.Read(b)
	_, _ = io.WriteString(c, strings.ReplaceAll(answer, "\n", "\r\n"))
	_, _ = c.Read(b)
	_, _ = io.WriteString(c, strings.ReplaceAll(late+reply("1", "a"), "\n", "\r\n"))
}

// Guards against an answer too many on a connection that has carried a probe only, and
// that is taken for the answer to the first request: one to the probe that comes twice, and
// one without an id after any answer to the probe.
func TestSecondAnswerToProbeReachesRequest(t *testing.T) {
	const r = "HTTP/1.1 404 Not Found\nContent-Length: 0\n\n"
	for n, k := range map[string][2]string{
		"refused probe":             {r, r},
		"refusal after a report":    {who("7"), responseWithoutID},
		"failure after a report":    {who("7"), "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n"},
		"another refusal after one": {r, responseWithoutID},
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				l := n.Listen(address)
				go answerTwice(l, k[0], k[1])
				p := pool.New(n, prometheus.NewRegistry())
				g := sendFresh(t.Context(), p, trail.NewDestination(address, probe{}), "1")
				p.CloseIdle(address)
				_ = l.Close()
				if d := cmp.Diff("200", g); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// sendFresh sends a request and returns the status. Like the upstream it takes a
// failure without an id on a fresh connection.
func sendFresh(ctx context.Context, conns *pool.Pool, destination trail.Destination, id string) string {
	q := trail.NewRequest(id, http.MethodPost, "/p", "h", nil, nil)
	a, e := conns.Do(ctx, destination, q, http.Header{"Id": {id}}, func(a *http.Response, fresh bool) bool {
		v := a.Header.Get("Id")
		return v == id || v == "" && fresh && a.StatusCode >= http.StatusMultipleChoices
	})
	if e != nil {
		return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
	}
	defer func() { _ = a.Body.Close() }()
	return strconv.Itoa(a.StatusCode)
}
