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

// Time from the start at an engine to the first event, in the recorded days.
const firstEvent = 77 * time.Millisecond

// site is a deployment that replays a recorded day.
type site struct {
	dataCentres    []string
	engines, slots int
	// Age of what a front hears of the loads of its own data centre and of the
	// others.
	near, far time.Duration
}

// The first site, and the same once grown. Engines are counted by data centre.
var (
	firstSite = site{dataCentres: []string{"a"}, engines: 18, slots: 8, near: 10 * time.Millisecond, far: 10 * time.Millisecond}
	grownSite = site{dataCentres: []string{"a", "b", "c"}, engines: 30, slots: 7, near: 15 * time.Millisecond, far: 250 * time.Millisecond}
)

func (s site) capacity() int { return len(s.dataCentres) * s.engines * s.slots }

// dataCentre returns that of a front, by its name.
func (s site) dataCentre(front string) string {
	if len(s.dataCentres) == 1 {
		return s.dataCentres[0]
	}
	return front[:1]
}

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
func (s site) replay(l []arrival) replayed {
	var v []*wire.BackendServer
	g := map[string]*engine{}
	for _, c := range s.dataCentres {
		for n := range s.engines {
			i := fmt.Sprint("e", c, n)
			v = append(v, server(i, c, int32(s.slots)))
			g[i] = &engine{slots: make([]time.Duration, s.slots)}
		}
	}
	f := map[string]*fleet.Fleet{}
	for _, x := range l {
		if f[x.front] == nil {
			f[x.front] = fleet.New(x.front, s.dataCentre(x.front))
			f[x.front].SetServers(start, v, start, start)
		}
	}
	w := rand.New(rand.NewPCG(1, 2))
	var r replayed
	var e []ending
	n := 0
	for d := time.Duration(0); n < len(l); d += time.Millisecond {
		o := start.Add(d)
		s.tell(f, d)
		e = slices.DeleteFunc(e, func(x ending) bool {
			if x.at <= d {
				f[x.front].ReleaseOnline(x.server, x.held)
			}
			return x.at <= d
		})
		for ; n < len(l) && l[n].at <= d; n++ {
			b, _, _ := f[l[n].front].AcquireOnline(o, service, target, left, nil, w.Float64())
			if b == nil {
				r.refuse(s, g, d)
				continue
			}
			a, z := g[b.GetId()].take(d, l[n].hold)
			r.waits = append(r.waits, a-d)
			e = append(e, ending{l[n].front, b.GetId(), z, z - d})
		}
	}
	return r
}

func (r *replayed) refuse(s site, g map[string]*engine, at time.Duration) {
	k := 0
	for _, x := range g {
		r.busy += x.busy(at)
		k += x.busy(at - 2*s.near)
	}
	r.refused++
	if k < s.capacity() {
		r.refusedFree++
	}
}

// tell exchanges the loads of all fronts that are due.
func (s site) tell(f map[string]*fleet.Fleet, at time.Duration) {
	q := uint64(at) + 1
	if at%s.near != 0 && at%s.far != 0 {
		return
	}
	for n, x := range f {
		m := wire.Load_builder{
			Name: &n, Incarnation: proto.Uint64(1), Sequence: &q, Servers: x.LocalLoads(start.Add(at)),
			DataCentre: proto.String(s.dataCentre(n)),
		}.Build()
		for p, y := range f {
			g := s.far
			if s.dataCentre(n) == s.dataCentre(p) {
				g = s.near
			}
			if p != n && at%g == 0 {
				y.UpdatePeer(start.Add(at), m)
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
	x := firstSite
	x.near, x.far = time.Millisecond, time.Millisecond
	r, y := firstSite.replay(l), x.replay(l)
	if r.refused == 0 || r.refused+len(r.waits) != len(l) {
		t.Fatal("the pattern does not fill the engines:", r.refused, len(r.waits), len(l))
	}
	if r.refusedFree > 0 {
		t.Error("refused while a slot was known to be free:", r.refusedFree)
	}
	if b := float64(r.busy) / float64(r.refused*firstSite.capacity()); b < 0.95 {
		t.Error("part of the slots that were busy at refusals:", b)
	}
	if n, m := r.late(), y.late(); n > 2*m {
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

// Guards against fronts that send their requests to the same few servers which
// all see as the least loaded, while others have free slots. Pattern: a burst
// on the calm day of the grown first site, 780 requests a second at 75 fronts,
// that needs 91 of 100 slots. With loads that the fronts of a data centre know
// 15 ms late and the others 250 ms, the 95th percentile of the time to the first
// event must meet the target.
func TestGrownBurst(t *testing.T) {
	l := recorded(t, "testdata/grown-burst.txt")
	r := grownSite.replay(l)
	if r.refused > 0 {
		t.Error("refused while the slots suffice:", r.refused)
	}
	if n := r.late(); n > len(l)/20 {
		t.Errorf("%d of %d late", n, len(l))
	}
}
