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

// held is a request at a backend server in a simulation.
type held struct {
	f      *fleet.Fleet
	server string
	until  time.Time
	began  time.Time
}

// traffic lets requests arrive in turn at two fronts that hear each other each
// 10 ms. The server "s0" fails at once what it gets while failing returns true;
// all others hold a request for 300 ms. It returns the requests that reached
// s0, by second.
func traffic(seconds int, pause time.Duration, failing func(at time.Duration) bool) map[int]int {
	var l []*wire.BackendServer
	for n := range 10 {
		l = append(l, server(fmt.Sprint("s", n), "a", 7))
	}
	f := []*fleet.Fleet{fleet.New("f0", "a"), fleet.New("f1", "a")}
	for _, x := range f {
		x.SetServers(start, l, start, start)
	}
	var h []held
	g := map[int]int{}
	for d, q := time.Duration(0), 0; d < time.Duration(seconds)*time.Second; d += time.Millisecond {
		o := start.Add(d)
		var k []held
		for _, r := range h {
			switch {
			case r.until.After(o):
				k = append(k, r)
			case r.server == "s0" && r.until.Sub(r.began) < 10*time.Millisecond:
				r.f.ReleaseOnline(r.server, 0)
				r.f.RecordFailedAnswer(o, r.server)
			default:
				r.f.ReleaseOnline(r.server, r.until.Sub(r.began))
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
		if d%pause != 0 {
			continue
		}
		q++
		b, _, _ := f[q%2].AcquireOnline(o, service, target, left, nil, 0)
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
		h = append(h, held{f[q%2], b.GetId(), o.Add(t), o})
	}
	return g
}

// Guards against a server that fails what it takes within a millisecond, looks
// idle for that reason, and gets most of the requests. Pattern: 100 requests a
// second on 70 slots, one server of ten fails for four seconds. Its fair share
// is ten a second; it must get less than a second one, and half of its share
// again within five seconds after it has recovered.
func TestFailingServerGetsLittle(t *testing.T) {
	g := traffic(15, 10*time.Millisecond, func(d time.Duration) bool { return d >= time.Second && d < 5*time.Second })
	n := g[1] + g[2] + g[3] + g[4]
	if n > 20 {
		t.Error("requests that reached the failing server in four seconds:", n)
	}
	r := 0
	for s := 10; s < 15; s++ {
		r += g[s]
	}
	if r < 25 {
		t.Error("requests that reached the recovered server in five seconds:", r, g)
	}
}

// Guards against requests that are refused because all servers have failed one,
// against a suspect that is taken while another server is there, and against a
// suspicion that outlives the front that has it.
func TestSuspectsComeLast(t *testing.T) {
	f := newFleet(server("x", "a", 1), server("y", "a", 1))
	a := start.Add(100 * time.Millisecond)
	p := load("front-a", 1, map[string]int32{"x": 0}, nil)
	p.GetServers()[0].SetFailing(true)
	f.UpdatePeer(a, p)
	g := [][2]string{take(f, a), take(f, a, "y")}
	f.ReleaseOnline("x", 0)
	f.ReleaseOnline("y", 0)
	f.RecordFailedAnswer(a, "y")
	g = append(g, take(f, a))
	f.ReleaseOnline(g[2][0], 0)
	b := a.Add(3 * time.Second)
	f.ExpirePeers(b)
	g = append(g, take(f, b))
	w := [][2]string{{"y", fleet.ReasonFree}, {"x", fleet.ReasonSuspect}, {g[2][0], fleet.ReasonSuspect}, {g[3][0], fleet.ReasonFree}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items at a server that fails what it takes.
func TestNoBatchForSuspects(t *testing.T) {
	f := newFleet(server("x", "a", 4))
	f.RecordFailedAnswer(start, "x")
	if b := f.AcquireBatch(start, service); b != nil {
		t.Error("taken:", b.GetId())
	}
	if b := f.AcquireBatch(start.Add(time.Second), service); b == nil {
		t.Error("not tried again")
	}
}
