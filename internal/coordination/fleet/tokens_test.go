package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const memoryTokens = 72_000

// held is a request in flight.
type held struct {
	front, server string
	tokens        int64
	batch         bool
	until         time.Time
}

// memoryPeak places requests of 1,000 to 24,000 tokens, four online ones to one batch
// item, at six fronts that hear each other each 10 ms, for 20 s. It returns the most tokens
// that any of 12 servers of 8 slots held at a time, and the requests that were placed.
func memoryPeak(seed uint64, counted bool) (peak int64, placed int) {
	w := rand.New(rand.NewPCG(seed, 4))
	x := map[string]*fleet.Fleet{}
	var v []*wire.BackendServer
	for n := range 12 {
		v = append(v, server(fmt.Sprint("s", n), "a", 8))
	}
	for n := range 6 {
		f := fleet.New(fmt.Sprint("f", n), "a")
		f.SetServers(start, v, start, start)
		for _, s := range v {
			f.RecordMemory(s.GetId(), 0, memoryTokens)
		}
		x[fmt.Sprint("f", n)] = f
	}
	var l []held
	g := map[string]int64{}
	for d := time.Duration(0); d < 20*time.Second; d += time.Millisecond {
		o := start.Add(d)
		if d%(10*time.Millisecond) == 0 {
			exchange(x, o, uint64(d)+1)
		}
		k := l[:0]
		for _, h := range l {
			if o.Before(h.until) {
				k = append(k, h)
				continue
			}
			g[h.server] -= h.tokens
			if h.batch {
				x[h.front].ReleaseBatch(h.server, true, fleet.WithTokens(h.tokens))
			} else {
				x[h.front].ReleaseOnline(h.server, time.Second, fleet.WithTokens(h.tokens))
			}
		}
		l = k
		if w.IntN(7) > 0 {
			continue
		}
		h := held{front: fmt.Sprint("f", w.IntN(6)), tokens: 1000 + w.Int64N(8000), batch: w.IntN(5) == 0, until: o.Add(time.Duration(200+w.IntN(1000)) * time.Millisecond)}
		if w.IntN(4) == 0 {
			h.tokens *= 3
		}
		h.server = place(x[h.front], o, h, counted, w.Float64())
		if h.server != "" {
			l = append(l, h)
			g[h.server] += h.tokens
			peak = max(peak, g[h.server])
			placed++
		}
	}
	return peak, placed
}

func place(f *fleet.Fleet, now time.Time, h held, counted bool, draw float64) string {
	t := h.tokens
	if !counted {
		t = 0
	}
	if h.batch {
		return f.AcquireBatch(now, service, nil, fleet.WithTokens(t)).GetId()
	}
	b, _, _ := f.AcquireOnline(now, service, target, remaining, nil, draw, fleet.WithTokens(t))
	return b.GetId()
}

// exchange delivers the loads of all fronts to each other.
func exchange(fleets map[string]*fleet.Fleet, now time.Time, sequence uint64) {
	for n, x := range fleets {
		m := wire.Load_builder{
			Name: &n, Incarnation: proto.Uint64(1), Sequence: &sequence, Servers: x.LocalLoads(now), DataCentre: proto.String("a"),
		}.Build()
		for p, y := range fleets {
			if p != n {
				y.UpdatePeer(now, m)
			}
		}
	}
}

// Guards against a server that is given more tokens than its memory holds and crashes
// with all its requests: 143 requests a second on 96 slots, online and batch, at six
// fronts. The same requests exceed the memory if they state no tokens.
func TestTokensStayWithinMemory(t *testing.T) {
	for s := range uint64(3) {
		g, n := memoryPeak(s, true)
		x, m := memoryPeak(s, false)
		if g > memoryTokens {
			t.Errorf("seed %d: server held %d tokens, its memory is %d", s, g, memoryTokens)
		}
		if x <= memoryTokens {
			t.Errorf("seed %d: without tokens servers held at most %d: the requests don't fill the memory", s, x)
		}
		if n < m*3/4 {
			t.Errorf("seed %d: %d requests placed, and %d without counting tokens", s, n, m)
		}
		t.Logf("seed %d: peak %d with %d placed; without tokens %d with %d", s, g, n, x, m)
	}
}

// Guards against a request of the size of the memory that never runs beside other fronts,
// as an online request or as an item, and against an item that is preempted for ever. Also
// against tokens that stay counted because a request was released without them.
func TestRequestAsLargeAsMemoryRuns(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.RecordMemory("s", 0, memoryTokens)
	f.UpdatePeer(start, load("front-a", 1, nil, nil))
	z := fleet.WithTokens(memoryTokens)
	b := f.AcquireBatch(start, service, nil, z)
	g := []any{b.GetId(), f.BatchExcess("s")}
	_, r, w := f.AcquireOnline(start, service, target, remaining, nil, 0, fleet.WithTokens(1))
	g = append(g, r, w > 0)
	f.ReleaseBatch("s", true, z)
	b, r, _ = f.AcquireOnline(start, service, target, remaining, nil, 0, z)
	g = append(g, b.GetId(), r)
	f.ReleaseOnline("s", 0)
	b, _, _ = f.AcquireOnline(start, service, target, remaining, nil, 0, z)
	g = append(g, b.GetId())
	if d := cmp.Diff([]any{"s", 0, fleet.ReasonMemory, true, "s", fleet.ReasonFree, "s"}, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items that hold the memory which online requests need: items
// leave room for one, and give up one when that is taken.
func TestItemsLeaveMemoryForOnlineRequests(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.RecordMemory("s", 0, memoryTokens)
	n := 0
	for f.AcquireBatch(start, service, nil, fleet.WithTokens(17_000)) != nil {
		n++
	}
	g := []any{n, f.BatchExcess("s")}
	_, r, _ := f.AcquireOnline(start, service, target, remaining, nil, 0, fleet.WithTokens(17_000))
	if d := cmp.Diff([]any{3, 0, fleet.ReasonFree, 1}, append(g, r, f.BatchExcess("s"))); d != "" {
		t.Error(d)
	}
}

// Guards against tokens of other fronts and data centres that are not counted, against
// an earlier build's datagrams, which have none.
func TestTokensOfOtherFronts(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.RecordMemory("s", 0, memoryTokens)
	// k reports whether the server takes a request of so many tokens.
	k := func(n int64) bool {
		b, _, _ := f.AcquireOnline(start, service, target, remaining, nil, 0, fleet.WithTokens(n))
		if b != nil {
			f.ReleaseOnline("s", 0)
		}
		return b != nil
	}
	l := load("front-a", 1, map[string]int32{"s": 1}, nil)
	f.UpdatePeer(start, l)
	g := []bool{k(1000)}
	l = load("front-a", 2, map[string]int32{"s": 1}, nil)
	l.GetServers()[0].SetTokens(40_000)
	f.UpdatePeer(start, l)
	g = append(g, k(40_000), k(1001))
	a := aggregateFrom("c1", "c", 1, 1)
	a.GetAll().SetTokens([]int64{31_900})
	f.UpdatePeer(start, a)
	g = append(g, k(1000))
	f.UpdatePeer(start, aggregateFrom("c1", "c", 2, 1))
	g = append(g, k(1000))
	if d := cmp.Diff([]bool{true, false, true, false, true}, g); d != "" {
		t.Error(d)
	}
}

// Guards against datagrams that change for fleets whose requests state no tokens, and
// against aggregated loads without the tokens.
func TestTokensInDatagrams(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.AcquireOnline(start, service, target, remaining, nil, 0)
	a := f.DataCentreLoad(start)
	g := []any{f.LocalLoads(start)[0].HasTokens(), len(a.GetTokens())}
	f.AcquireOnline(start, service, target, remaining, nil, 0, fleet.WithTokens(700))
	l := load("front-a", 1, map[string]int32{"s": 1}, nil)
	l.GetServers()[0].SetTokens(300)
	l.SetDataCentre("a")
	f.UpdatePeer(start, l)
	a = f.DataCentreLoad(start)
	g = append(g, f.LocalLoads(start)[0].GetTokens(), a.GetServers()[0] == xxhash.Sum64String("s"), a.GetTokens()[0])
	if d := cmp.Diff([]any{false, 0, int64(700), true, int64(1000)}, g); d != "" {
		t.Error(d)
	}
}
