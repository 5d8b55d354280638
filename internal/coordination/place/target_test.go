package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/place"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	fleetHosts = 20
	fleetSlots = 8
	// Run time of a call per token of its cost.
	perToken = 10 * time.Millisecond
	// Prefixes that fit into the cache of a runner.
	cachedPrefixes = 20
)

// fleet is a discrete-event model of backend servers, each of which runs its
// calls for perToken times their cost.
type fleet struct {
	p   *place.Place
	now time.Time
	// What happens next, the latest first.
	due  []entry
	keys uint64
	// Arrival by call, and attempts that still run.
	arrived map[uint64]time.Time
	live    map[string]bool
	// Attempts in flight by host, and the number above which a host queues.
	busy map[string]int
	full int
	// By class: time between arrival and dispatch, and slot time used.
	waits map[wire.Class][]time.Duration
	used  map[wire.Class]time.Duration
	began map[string]time.Time
	// Calls that completed, by caller, with their response times.
	done   map[string][]time.Duration
	tokens int64
	// Online dispatches by host, and the prefixes in its cache, the last used
	// at the end.
	load  map[string]int
	cache map[string][]uint64
	hits  int
}

type entry struct {
	at time.Time
	f  func()
}

func newFleet(t *testing.T, queue, slots int32) *fleet {
	t.Helper()
	y, e := policy.New(policy.Fair)
	if e != nil {
		t.Fatal(e)
	}
	f := &fleet{
		p:       place.New(y, "p"),
		now:     time.UnixMilli(0),
		arrived: map[uint64]time.Time{},
		live:    map[string]bool{},
		busy:    map[string]int{},
		full:    fleetSlots,
		waits:   map[wire.Class][]time.Duration{},
		used:    map[wire.Class]time.Duration{},
		began:   map[string]time.Time{},
		done:    map[string][]time.Duration{},
		load:    map[string]int{},
		cache:   map[string][]uint64{},
	}
	f.p.Configured(f.now, wire.Text_builder{Services: []*wire.Service{wire.Service_builder{
		Name:   proto.String("lm"),
		Kind:   proto.String("model"),
		Limits: wire.Limits_builder{Slots: &slots, QueueLength: &queue}.Build(),
	}.Build()}}.Build())
	for i := range fleetHosts {
		f.p.HostSeen(f.now, wire.Host_builder{
			Name:    proto.String(fmt.Sprintf("h%02d", i)),
			Service: proto.String("lm"),
			Ready:   proto.Bool(true),
		}.Build())
	}
	f.tick()
	return f
}

func (f *fleet) tick() {
	f.after(100*time.Millisecond, func() {
		f.follow(f.p.Tick(f.now))
		f.tick()
	})
}

func (f *fleet) after(d time.Duration, g func()) {
	n := entry{f.now.Add(d), g}
	i, _ := slices.BinarySearchFunc(f.due, n, func(a, b entry) int { return b.at.Compare(a.at) })
	f.due = slices.Insert(f.due, i, n)
}

func (f *fleet) run(d time.Duration) {
	for s := f.now.Add(d); f.due[len(f.due)-1].at.Before(s); {
		e := f.due[len(f.due)-1]
		f.due = f.due[:len(f.due)-1]
		f.now = e.at
		e.f()
	}
}

func (f *fleet) arrive(caller string, class wire.Class, cost int64, deadline time.Duration, prefix uint64) {
	f.keys++
	r := wire.Call_builder{
		Service:      proto.String("lm"),
		Caller:       &caller,
		Class:        &class,
		CostTokens:   &cost,
		Stream:       proto.Bool(true),
		PrefixHashes: []uint64{prefix},
	}.Build()
	if deadline > 0 {
		r.SetDeadlineUnixMs(f.now.Add(deadline).UnixMilli())
	}
	f.arrived[f.keys] = f.now
	f.follow(f.p.Arrived(f.now, f.keys, r))
}

func (f *fleet) follow(l []decide.Decision) {
	for _, d := range l {
		c := d.Call().GetClass()
		switch d.Kind() {
		case decide.KindDispatch:
			f.dispatch(d, c)
		case decide.KindCancel:
			delete(f.live, d.Attempt())
			f.busy[d.Host()]--
			f.used[c] += f.now.Sub(f.began[d.Attempt()])
		}
	}
}

func (f *fleet) dispatch(d decide.Decision, c wire.Class) {
	r := d.Call()
	f.waits[c] = append(f.waits[c], f.now.Sub(f.arrived[d.Key()]))
	k, h := touch(f.cache[d.Host()], r.GetPrefixHashes()[0])
	f.cache[d.Host()] = k
	if c == wire.Class_CLASS_ONLINE {
		f.load[d.Host()]++
		if h {
			f.hits++
		}
	}
	f.live[d.Attempt()] = true
	f.began[d.Attempt()] = f.now
	f.busy[d.Host()]++
	w := time.Duration(r.GetCostTokens()) * perToken * time.Duration(max(f.busy[d.Host()], f.full)) / time.Duration(f.full)
	f.after(w/10, func() { f.follow(f.p.FirstToken(f.now, d.Attempt())) })
	f.after(w, func() {
		if !f.live[d.Attempt()] {
			return
		}
		delete(f.live, d.Attempt())
		f.busy[d.Host()]--
		f.used[c] += f.now.Sub(f.began[d.Attempt()])
		f.tokens += r.GetCostTokens()
		f.done[r.GetCaller()] = append(f.done[r.GetCaller()], f.now.Sub(f.arrived[d.Key()]))
		f.follow(f.p.Completed(f.now, d.Attempt(), r.GetCostTokens()))
	})
}

// touch uses a prefix in a cache and returns whether it was there.
func touch(cache []uint64, prefix uint64) ([]uint64, bool) {
	i := slices.Index(cache, prefix)
	if i >= 0 {
		cache = slices.Delete(cache, i, i+1)
	} else if len(cache) == cachedPrefixes {
		cache = cache[1:]
	}
	return append(cache, prefix), i >= 0
}

// online lets online calls arrive at random, at a share of the capacity, with
// costs from 50 to 350 tokens, until the end of the run.
func (f *fleet) online(n *rand.Rand, share float64, deadline time.Duration, prefix func() uint64) {
	g := float64(200*perToken) / (fleetHosts * fleetSlots * share)
	f.after(time.Duration(n.ExpFloat64()*g), func() {
		f.arrive(fmt.Sprintf("shop-%d", n.IntN(50)), wire.Class_CLASS_ONLINE, 50+n.Int64N(301), deadline, prefix())
		f.online(n, share, deadline, prefix)
	})
}

const seed = 5

func random(t *testing.T) *rand.Rand {
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// With batch work always waiting, online calls must not wait for it, and batch
// work must use 90% of the idle capacity.
func TestBatchUsesIdleCapacity(t *testing.T) {
	f := newFleet(t, 1000, fleetSlots)
	n := random(t)
	f.online(n, 0.5, 0, func() uint64 { return n.Uint64N(100) })
	for range 4000 {
		f.arrive("batch", wire.Class_CLASS_BATCH, 200, 0, 1000)
	}
	f.run(40 * time.Second)
	for range 4 {
		for range 1000 {
			f.arrive("batch", wire.Class_CLASS_BATCH, 200, 0, 1000)
		}
		f.run(10 * time.Second)
	}
	l := f.waits[wire.Class_CLASS_ONLINE]
	slices.Sort(l)
	w := l[len(l)*99/100]
	i := float64(80*time.Second*fleetHosts*fleetSlots - f.used[wire.Class_CLASS_ONLINE])
	b := float64(f.used[wire.Class_CLASS_BATCH]) / i
	t.Logf("online wait p99 %s, batch share of idle capacity %.3f", w, b)
	if w > 0 || b < 0.9 {
		t.Fail()
	}
}

// A caller with 1 request among another caller's 10,000 must get its answer in
// at most 1.5 times the time that it takes at the same load without them.
func TestSmallCaller(t *testing.T) {
	var r []time.Duration
	for _, k := range []int{0, 10000} {
		f := newFleet(t, 20000, fleetSlots)
		n := random(t)
		f.online(n, 0.9, 0, func() uint64 { return n.Uint64N(100) })
		f.run(30 * time.Second)
		for range k {
			f.arrive("region", wire.Class_CLASS_ONLINE, 200, 0, 7)
		}
		f.run(time.Second)
		f.arrive("small", wire.Class_CLASS_ONLINE, 200, 0, 8)
		f.run(10 * time.Second)
		r = append(r, f.done["small"]...)
	}
	t.Logf("answer without and with the other caller: %s", r)
	if len(r) != 2 || r[1] > r[0]*3/2 {
		t.Fail()
	}
}

// At twice the capacity, goodput must stay at 95% of goodput at capacity.
func TestGoodputAtTwiceCapacity(t *testing.T) {
	var g []int64
	for _, s := range []float64{1, 2} {
		f := newFleet(t, 1000, fleetSlots)
		n := random(t)
		f.online(n, s, 6*time.Second, func() uint64 { return n.Uint64N(100) })
		f.run(time.Minute)
		g = append(g, f.tokens)
	}
	t.Logf("tokens of complete answers at 1 and 2 times capacity: %d", g)
	if float64(g[1]) < 0.95*float64(g[0]) {
		t.Fail()
	}
}

// Prefix cache hits must be within 10% of the routing that sends each prefix
// to one fixed runner, with the load per runner at most 1.25 times the mean.
func TestPrefixAffinity(t *testing.T) {
	f := newFleet(t, 1000, fleetSlots)
	n := random(t)
	z := rand.NewZipf(n, 1.2, 10, 500)
	h := 0
	c := map[uint64][]uint64{}
	f.online(n, 0.6, 0, func() uint64 {
		p := z.Uint64()
		// The batch calls use the fixed runners' caches too.
		k, _ := touch(c[p%fleetHosts], 1000)
		k, w := touch(k, p)
		c[p%fleetHosts] = k
		if w {
			h++
		}
		return p
	})
	for range 1000 {
		f.arrive("batch", wire.Class_CLASS_BATCH, 200, 0, 1000)
	}
	f.run(time.Minute)
	m, s := 0, 0
	for _, l := range f.load {
		m = max(m, l)
		s += l
	}
	q := float64(m) * fleetHosts / float64(s)
	t.Logf("hits %d, with fixed runners %d; peak load %.2f times the mean", f.hits, h, q)
	if float64(f.hits) < 0.9*float64(h) || q > 1.25 {
		t.Fail()
	}
}

// A backend server that reports no slots must be filled to where it begins to
// queue, and not without end: its latency is twice the least one at 50 calls.
func TestLearnedLimit(t *testing.T) {
	f := newFleet(t, 3000, 0)
	f.full = 25
	n := random(t)
	for range 50 {
		for f.p.Calls() < 1500 {
			f.arrive("x", wire.Class_CLASS_ONLINE, 50+n.Int64N(301), 0, n.Uint64N(1000))
		}
		f.run(time.Second)
	}
	l := slices.Sorted(maps.Values(f.busy))
	t.Logf("in flight from %d to %d", l[0], l[len(l)-1])
	if l[0] < 25 || l[len(l)-1] > 60 {
		t.Fail()
	}
}
