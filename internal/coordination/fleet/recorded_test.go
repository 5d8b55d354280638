package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	engines     = 18
	engineSlots = 8
	// Age of what a front hears of the others' loads.
	loadAge = 10 * time.Millisecond
	// Time from the start at an engine to the first event, in the recorded day.
	firstEvent = 77 * time.Millisecond
)

// arrival is one request of a recorded day.
type arrival struct {
	at, hold time.Duration
	front    string
}

// recorded reads a pattern of arrivals.
func recorded(t *testing.T, file string) []arrival {
	t.Helper()
	b, e := os.ReadFile(file)
	if e != nil {
		t.Fatal(e)
	}
	var l []arrival
	for _, s := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if strings.HasPrefix(s, "#") {
			continue
		}
		var a, h int
		var x arrival
		_, e = fmt.Sscan(s, &a, &x.front, &h)
		if e != nil {
			t.Fatal(s, e)
		}
		x.at, x.hold = time.Duration(a)*time.Millisecond, time.Duration(h)*time.Millisecond
		l = append(l, x)
	}
	return l
}

// engine is a model of a backend server: requests beyond its slots wait in the
// order of their arrival.
type engine struct {
	// When each slot is free.
	slots []time.Duration
}

// take returns when the request starts and ends.
func (g *engine) take(at, hold time.Duration) (start, end time.Duration) {
	n := 0
	for i := range g.slots {
		if g.slots[i] < g.slots[n] {
			n = i
		}
	}
	start = max(at, g.slots[n])
	g.slots[n] = start + hold
	return start, g.slots[n]
}

// busy returns how many slots are taken until after a time.
func (g *engine) busy(at time.Duration) int {
	n := 0
	for _, f := range g.slots {
		if f > at {
			n++
		}
	}
	return n
}

// replayed is the outcome of a recorded pattern.
type replayed struct {
	waits   []time.Duration
	refused int
	// Of these, while a slot had been free for so long that all fronts knew.
	refusedFree int
	// Busy slots at the refusals.
	busy int
}

// ending is a request that ends at a front.
type ending struct {
	front, server string
	at, held      time.Duration
}

// replay plays a pattern through one decision module a front.
func replay(l []arrival, age time.Duration) replayed {
	var s []*wire.BackendServer
	g := map[string]*engine{}
	for n := range engines {
		i := fmt.Sprint("e", n)
		s = append(s, server(i, "a", engineSlots))
		g[i] = &engine{slots: make([]time.Duration, engineSlots)}
	}
	f := map[string]*fleet.Fleet{}
	for _, x := range l {
		if f[x.front] == nil {
			f[x.front] = fleet.New(x.front, "a")
			f[x.front].SetServers(start, s, start)
		}
	}
	w := rand.New(rand.NewPCG(1, 2))
	var r replayed
	var e []ending
	n := 0
	for d := time.Duration(0); n < len(l); d += time.Millisecond {
		o := start.Add(d)
		if d%age == 0 {
			tell(f, o, uint64(d)+1)
		}
		e = slices.DeleteFunc(e, func(x ending) bool {
			if x.at <= d {
				f[x.front].Done(x.server, x.held)
			}
			return x.at <= d
		})
		for ; n < len(l) && l[n].at <= d; n++ {
			b, _, _ := f[l[n].front].Take(o, service, target, left, nil, w.Float64())
			if b == nil {
				r.refuse(g, d)
				continue
			}
			a, z := g[b.GetId()].take(d, l[n].hold)
			r.waits = append(r.waits, a-d)
			e = append(e, ending{l[n].front, b.GetId(), z, z - d})
		}
	}
	return r
}

func (r *replayed) refuse(g map[string]*engine, at time.Duration) {
	k := 0
	for _, x := range g {
		r.busy += x.busy(at)
		k += x.busy(at - 2*loadAge)
	}
	r.refused++
	if k < engines*engineSlots {
		r.refusedFree++
	}
}

// tell exchanges the loads of all fronts.
func tell(f map[string]*fleet.Fleet, now time.Time, sequence uint64) {
	for n, x := range f {
		m := wire.Load_builder{
			Name: &n, Incarnation: proto.Uint64(1), Sequence: &sequence, Servers: x.Loads(now),
		}.Build()
		for p, y := range f {
			if p != n {
				y.SetPeer(now, m)
			}
		}
	}
}

// Guards against requests that are refused while a slot is free, against slots
// that stand empty while callers are turned away, and against fronts that all
// take the place which one of them sees become free. Pattern: a burst of three
// times the usual traffic, recorded from cdb-central with the day
// deploy/days/online-bursts.toml, 300 requests a second for slots that serve
// 190. A front that heard of the others at once would be late with some answers
// too, since service times differ; hearing of them 10 ms later may at most
// double that.
func TestRecordedBurst(t *testing.T) {
	l := recorded(t, "testdata/burst.txt")
	r, x := replay(l, loadAge), replay(l, time.Millisecond)
	if r.refused == 0 || r.refused+len(r.waits) != len(l) {
		t.Fatal("the pattern does not fill the engines:", r.refused, len(r.waits), len(l))
	}
	if r.refusedFree > 0 {
		t.Error("refused while a slot was known to be free:", r.refusedFree)
	}
	if b := float64(r.busy) / float64(r.refused*engines*engineSlots); b < 0.95 {
		t.Error("part of the slots that were busy at refusals:", b)
	}
	if n, m := r.late(), x.late(); n > 2*m {
		t.Errorf("%d of %d late, and %d with loads that are exact", n, len(r.waits), m)
	}
}

// late returns how many requests waited for longer than their target leaves
// beside the prompt and the first event.
func (r *replayed) late() int {
	n := 0
	for _, w := range r.waits {
		if w > target-firstEvent {
			n++
		}
	}
	return n
}
