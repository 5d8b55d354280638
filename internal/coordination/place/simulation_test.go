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
	// Service time per token of a call's cost.
	perToken = 10 * time.Millisecond
	// Prefixes that fit into the cache of a backend server.
	cachedPrefixes = 20
)

// simulation is a discrete-event simulation of backend servers with a service
// time of perToken times the cost of a call.
type simulation struct {
	placer *place.Placer
	now    time.Time
	// Pending events, latest first.
	events  []simulatedEvent
	lastKey uint64
	// Arrival times by call, and the attempts in flight.
	arrivedAt map[uint64]time.Time
	inFlight  map[string]bool
	// Attempts in flight by host, and the number above which a host slows down
	// because it queues.
	inFlightByHost    map[string]int
	queueingThreshold int
	// By class: times from arrival to dispatch, and total slot time used.
	waits     map[wire.Class][]time.Duration
	usedTime  map[wire.Class]time.Duration
	startedAt map[string]time.Time
	// Response times of the completed calls by caller.
	responseTimes   map[string][]time.Duration
	completedTokens int64
	// By host: online dispatches, and the prefixes in the cache, least recently
	// used first.
	onlineDispatches map[string]int
	prefixCaches     map[string][]uint64
	cacheHits        int
}

type simulatedEvent struct {
	at  time.Time
	run func()
}

func newSimulation(t *testing.T, queue, slots int32) *simulation {
	t.Helper()
	y, e := policy.New(policy.Fair)
	if e != nil {
		t.Fatal(e)
	}
	f := &simulation{
		placer:            place.New(y, "p"),
		now:               time.UnixMilli(0),
		arrivedAt:         map[uint64]time.Time{},
		inFlight:          map[string]bool{},
		inFlightByHost:    map[string]int{},
		queueingThreshold: fleetSlots,
		waits:             map[wire.Class][]time.Duration{},
		usedTime:          map[wire.Class]time.Duration{},
		startedAt:         map[string]time.Time{},
		responseTimes:     map[string][]time.Duration{},
		onlineDispatches:  map[string]int{},
		prefixCaches:      map[string][]uint64{},
	}
	f.placer.ServicesConfigured(f.now, wire.Text_builder{Services: []*wire.Service{wire.Service_builder{
		Name:   proto.String("lm"),
		Kind:   proto.String("model"),
		Limits: wire.Limits_builder{Slots: &slots, QueueLength: &queue}.Build(),
	}.Build()}}.Build())
	for i := range fleetHosts {
		f.placer.HostUpdated(f.now, wire.Host_builder{
			Name:    proto.String(fmt.Sprintf("h%02d", i)),
			Service: proto.String("lm"),
			Ready:   proto.Bool(true),
		}.Build())
	}
	f.scheduleTicks()
	return f
}

func (f *simulation) scheduleTicks() {
	f.schedule(100*time.Millisecond, func() {
		f.execute(f.placer.Tick(f.now))
		f.scheduleTicks()
	})
}

func (f *simulation) schedule(delay time.Duration, run func()) {
	n := simulatedEvent{f.now.Add(delay), run}
	i, _ := slices.BinarySearchFunc(f.events, n, func(a, b simulatedEvent) int { return b.at.Compare(a.at) })
	f.events = slices.Insert(f.events, i, n)
}

func (f *simulation) run(duration time.Duration) {
	for s := f.now.Add(duration); f.events[len(f.events)-1].at.Before(s); {
		e := f.events[len(f.events)-1]
		f.events = f.events[:len(f.events)-1]
		f.now = e.at
		e.run()
	}
}

func (f *simulation) arrive(caller string, class wire.Class, cost int64, deadline time.Duration, prefix uint64) {
	f.lastKey++
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
	f.arrivedAt[f.lastKey] = f.now
	f.execute(f.placer.CallArrived(f.now, f.lastKey, r))
}

func (f *simulation) execute(decisions []decide.Decision) {
	for _, d := range decisions {
		c := d.Call().GetClass()
		switch d.Kind() {
		case decide.KindDispatch:
			f.dispatch(d, c)
		case decide.KindCancel:
			delete(f.inFlight, d.Attempt())
			f.inFlightByHost[d.Host()]--
			f.usedTime[c] += f.now.Sub(f.startedAt[d.Attempt()])
		}
	}
}

func (f *simulation) dispatch(decision decide.Decision, class wire.Class) {
	r := decision.Call()
	f.waits[class] = append(f.waits[class], f.now.Sub(f.arrivedAt[decision.Key()]))
	k, h := usePrefix(f.prefixCaches[decision.Host()], r.GetPrefixHashes()[0])
	f.prefixCaches[decision.Host()] = k
	if class == wire.Class_CLASS_ONLINE {
		f.onlineDispatches[decision.Host()]++
		if h {
			f.cacheHits++
		}
	}
	f.inFlight[decision.Attempt()] = true
	f.startedAt[decision.Attempt()] = f.now
	f.inFlightByHost[decision.Host()]++
	w := time.Duration(r.GetCostTokens()) * perToken * time.Duration(max(f.inFlightByHost[decision.Host()], f.queueingThreshold)) / time.Duration(f.queueingThreshold)
	f.schedule(w/10, func() { f.execute(f.placer.AnswerStarted(f.now, decision.Attempt())) })
	f.schedule(w, func() {
		if !f.inFlight[decision.Attempt()] {
			return
		}
		delete(f.inFlight, decision.Attempt())
		f.inFlightByHost[decision.Host()]--
		f.usedTime[class] += f.now.Sub(f.startedAt[decision.Attempt()])
		f.completedTokens += r.GetCostTokens()
		f.responseTimes[r.GetCaller()] = append(f.responseTimes[r.GetCaller()], f.now.Sub(f.arrivedAt[decision.Key()]))
		f.execute(f.placer.AttemptCompleted(f.now, decision.Attempt(), r.GetCostTokens()))
	})
}

// usePrefix moves or adds a prefix to the most recently used end of a cache and
// returns whether it was a hit.
func usePrefix(cache []uint64, prefix uint64) ([]uint64, bool) {
	i := slices.Index(cache, prefix)
	if i >= 0 {
		cache = slices.Delete(cache, i, i+1)
	} else if len(cache) == cachedPrefixes {
		cache = cache[1:]
	}
	return append(cache, prefix), i >= 0
}

// scheduleOnlineCalls schedules online calls with Poisson arrivals at a share
// of the capacity, with costs from 50 to 350 tokens, until the end of the run.
func (f *simulation) scheduleOnlineCalls(random *rand.Rand, share float64, deadline time.Duration, prefix func() uint64) {
	g := float64(200*perToken) / (fleetHosts * fleetSlots * share)
	f.schedule(time.Duration(random.ExpFloat64()*g), func() {
		f.arrive(fmt.Sprintf("shop-%d", random.IntN(50)), wire.Class_CLASS_ONLINE, 50+random.Int64N(301), deadline, prefix())
		f.scheduleOnlineCalls(random, share, deadline, prefix)
	})
}

const seed = 5

func newRandom(t *testing.T) *rand.Rand {
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// Guards against batch work that delays online calls and against a headroom
// that wastes capacity. With batch calls always queued, the p99 wait of online
// calls must be zero and batch work must use 90% of the idle capacity.
func TestBatchUsesIdleCapacity(t *testing.T) {
	f := newSimulation(t, 1000, fleetSlots)
	n := newRandom(t)
	f.scheduleOnlineCalls(n, 0.5, 0, func() uint64 { return n.Uint64N(100) })
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
	i := float64(80*time.Second*fleetHosts*fleetSlots - f.usedTime[wire.Class_CLASS_ONLINE])
	b := float64(f.usedTime[wire.Class_CLASS_BATCH]) / i
	t.Logf("p99 online wait %s, share of idle capacity used by batch %.3f", w, b)
	if w > 0 || b < 0.9 {
		t.Fail()
	}
}

// Guards against unfairness between callers. The single request of a caller,
// sent after another caller's 10,000, must be answered within 1.5 times the
// response time at the same load without them.
func TestLargeCallerDoesNotDelaySmallCaller(t *testing.T) {
	var r []time.Duration
	for _, k := range []int{0, 10000} {
		f := newSimulation(t, 20000, fleetSlots)
		n := newRandom(t)
		f.scheduleOnlineCalls(n, 0.9, 0, func() uint64 { return n.Uint64N(100) })
		f.run(30 * time.Second)
		for range k {
			f.arrive("region", wire.Class_CLASS_ONLINE, 200, 0, 7)
		}
		f.run(time.Second)
		f.arrive("small", wire.Class_CLASS_ONLINE, 200, 0, 8)
		f.run(10 * time.Second)
		r = append(r, f.responseTimes["small"]...)
	}
	t.Logf("response times without and with the large caller: %s", r)
	if len(r) != 2 || r[1] > r[0]*3/2 {
		t.Fail()
	}
}

// Guards against goodput that collapses under overload: at twice the capacity
// it must be at least 95% of the goodput at capacity.
func TestGoodputAtTwiceCapacity(t *testing.T) {
	var g []int64
	for _, s := range []float64{1, 2} {
		f := newSimulation(t, 1000, fleetSlots)
		n := newRandom(t)
		f.scheduleOnlineCalls(n, s, 6*time.Second, func() uint64 { return n.Uint64N(100) })
		f.run(time.Minute)
		g = append(g, f.completedTokens)
	}
	t.Logf("tokens of completed calls at 1 and 2 times capacity: %d", g)
	if float64(g[1]) < 0.95*float64(g[0]) {
		t.Fail()
	}
}

// Guards against lost cache locality and against hot spots. Prefix cache hits
// must be at least 90% of those of a static assignment of prefixes to backend
// servers, with a peak load per backend server of at most 1.25 times the mean.
func TestPrefixAffinityKeepsHitsAndBalance(t *testing.T) {
	f := newSimulation(t, 1000, fleetSlots)
	n := newRandom(t)
	z := rand.NewZipf(n, 1.2, 10, 500)
	h := 0
	c := map[uint64][]uint64{}
	f.scheduleOnlineCalls(n, 0.6, 0, func() uint64 {
		p := z.Uint64()
		// Batch calls occupy the caches of the static assignment too.
		k, _ := usePrefix(c[p%fleetHosts], 1000)
		k, w := usePrefix(k, p)
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
	for _, l := range f.onlineDispatches {
		m = max(m, l)
		s += l
	}
	q := float64(m) * fleetHosts / float64(s)
	t.Logf("cache hits %d, with static assignment %d; peak load %.2f times the mean", f.cacheHits, h, q)
	if float64(f.cacheHits) < 0.9*float64(h) || q > 1.25 {
		t.Fail()
	}
}

// Guards against a limit that stays below the point where a backend server
// without reported slots begins to queue, and against one that grows without
// bound. Queueing starts above 25 calls in flight; at 50 calls latency is twice
// its minimum.
func TestAdaptiveLimitStopsAtQueueing(t *testing.T) {
	f := newSimulation(t, 3000, 0)
	f.queueingThreshold = 25
	n := newRandom(t)
	for range 50 {
		for f.placer.CallCount() < 1500 {
			f.arrive("x", wire.Class_CLASS_ONLINE, 50+n.Int64N(301), 0, n.Uint64N(1000))
		}
		f.run(time.Second)
	}
	l := slices.Sorted(maps.Values(f.inFlightByHost))
	t.Logf("calls in flight per backend server from %d to %d", l[0], l[len(l)-1])
	if l[0] < 25 || l[len(l)-1] > 60 {
		t.Fail()
	}
}
