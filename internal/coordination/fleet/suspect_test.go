package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// request is a simulated request at a backend server.
type request struct {
	fleet  *fleet.Fleet
	server string
	until  time.Time
	began  time.Time
}

// simulateFailingServer sends requests alternately to two fronts that exchange
// loads every 10 ms. The server "s0" answers with a failure after 1 ms while
// failing returns true; otherwise requests take 300 ms at any server. It returns
// the number of requests that reached s0, by second.
func simulateFailingServer(seconds int, interval time.Duration, failing func(at time.Duration) bool) map[int]int {
	var l []*wire.BackendServer
	for n := range 10 {
		l = append(l, server(fmt.Sprint("s", n), "a", 7))
	}
	f := []*fleet.Fleet{fleet.New("f0", "a"), fleet.New("f1", "a")}
	for _, x := range f {
		x.SetServers(start, l, start, start)
	}
	var h []request
	g := map[int]int{}
	for d, q := time.Duration(0), 0; d < time.Duration(seconds)*time.Second; d += time.Millisecond {
		o := start.Add(d)
		var k []request
		for _, r := range h {
			switch {
			case r.until.After(o):
				k = append(k, r)
			case r.server == "s0" && r.until.Sub(r.began) < 10*time.Millisecond:
				r.fleet.ReleaseOnline(r.server, 0)
				r.fleet.RecordFailedAnswer(o, server(r.server, "a", 7))
			default:
				r.fleet.ReleaseOnline(r.server, r.until.Sub(r.began))
			}
		}
		h = k
		if d%(10*time.Millisecond) == 0 {
			for n, x := range f {
				f[1-n].UpdatePeer(o, wire.Load_builder{
					Name: proto.String(fmt.Sprint("f", n)), Incarnation: proto.Uint64(1), Sequence: proto.Uint64(uint64(d + 1)), Servers: x.LocalLoads(o),
				}.Build())
			}
		}
		if d%interval != 0 {
			continue
		}
		q++
		b, _, _ := f[q%2].AcquireOnline(o, service, target, remaining, nil, 0)
		if b == nil {
			continue
		}
		t := 300 * time.Millisecond
		if b.GetId() == "s0" {
			g[int(d/time.Second)]++
			if failing(d) {
				t = time.Millisecond
			}
		}
		h = append(h, request{f[q%2], b.GetId(), o.Add(t), o})
	}
	return g
}

// Guards against a server that answers with failures within a millisecond,
// therefore looks idle, and gets most of the requests. With 100 requests a second
// on 70 slots, one server of ten fails for four seconds. Its fair share is ten
// requests a second. While it fails, it must get at most 20 requests in total;
// between five and ten seconds after its recovery it must get at least half of
// its share.
func TestFailingServerGetsFewRequests(t *testing.T) {
	g := simulateFailingServer(15, 10*time.Millisecond, func(d time.Duration) bool { return d >= time.Second && d < 5*time.Second })
	n := g[1] + g[2] + g[3] + g[4]
	if n > 20 {
		t.Error("failing server got more than 20 requests in four seconds:", n)
	}
	r := 0
	for s := 10; s < 15; s++ {
		r += g[s]
	}
	if r < 25 {
		t.Error("recovered server got fewer than 25 requests in five seconds; total, by second:", r, g)
	}
}

// Guards against requests refused because all servers are suspect, against a
// suspect server chosen while another one is available, and against a server
// that stays suspect after the front that reported it has expired.
func TestSuspectServersAreLastResort(t *testing.T) {
	f := newFleet(server("x", "a", 1), server("y", "a", 1))
	a := start.Add(100 * time.Millisecond)
	p := load("front-a", 1, map[string]int32{"x": 0}, nil)
	p.GetServers()[0].SetFailing(true)
	f.UpdatePeer(a, p)
	g := [][2]string{acquire(f, a), acquire(f, a, "y")}
	f.ReleaseOnline("x", 0)
	f.ReleaseOnline("y", 0)
	f.RecordFailedAnswer(a, server("y", "a", 4))
	g = append(g, acquire(f, a))
	f.ReleaseOnline(g[2][0], 0)
	b := a.Add(3 * time.Second)
	f.ExpirePeers(b)
	g = append(g, acquire(f, b))
	w := [][2]string{{"y", fleet.ReasonFree}, {"x", fleet.ReasonSuspect}, {g[2][0], fleet.ReasonSuspect}, {g[3][0], fleet.ReasonFree}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items sent to a server that answers with failures.
func TestBatchAvoidsSuspectServers(t *testing.T) {
	f := newFleet(server("x", "a", 4))
	f.RecordFailedAnswer(start, server("x", "a", 4))
	if b := f.AcquireBatch(start, service, nil); b != nil {
		t.Error("batch item sent to failing server", b.GetId())
	}
	if b := f.AcquireBatch(start.Add(time.Second), service, nil); b == nil {
		t.Error("no batch item sent to the server after its backoff")
	}
}

// Guards against a server that gets no requests for the failures of its process before.
func TestProcessIsAvoidedForFailuresOfTheOneBefore(t *testing.T) {
	for n, k := range map[string]struct {
		born int64
		used bool
	}{"same process": {1, false}, "next process": {2, true}} {
		t.Run(n, func(t *testing.T) {
			f := newFleet(process("s", 1), process("t", 1))
			f.RecordFailedAnswer(start, process("s", 1))
			f.SetServers(start, []*wire.BackendServer{process("s", k.born), process("t", 1)}, start, start)
			l := map[string]bool{}
			for range 4 {
				l[acquire(f, start)[0]] = true
			}
			if d := cmp.Diff(k.used, l["s"]); d != "" {
				t.Error(d, l)
			}
		})
	}
}
