package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// bursts describes a replay of bursts on servers of 8 slots.
type bursts struct {
	learn           bool
	fronts, servers int
	// Requests a second of all fronts together, on average.
	rate float64
	// Speed of a server at a time.
	speed func(server int, at time.Duration) float64
	// Factor by which requests at a server with more than 6 are slower, 1 for none.
	slowdown func(server int) float64
	length   time.Duration
	seed     uint64
}

// figures counts the requests of a replay.
type figures struct{ arrived, late, refused int }

// played is a request in flight.
type played struct {
	front       *fleet.Fleet
	concurrency int
	sent        time.Time
	// Work to the first event, and of each of the 17 after it, at speed 1; work done.
	first, event, done time.Duration
	firstAt            time.Time
	reported           bool
}

// modelServer is a backend server of 8 slots. Requests beyond these wait.
type modelServer struct {
	entry    *wire.BackendServer
	requests []*played
}

// advance runs the requests for a millisecond at a speed, and reports those that end.
func (g *modelServer) advance(now time.Time, speed float64, count *figures) {
	k := g.requests[:0]
	for n, x := range g.requests {
		if n < 8 {
			x.done += time.Duration(speed * float64(time.Millisecond))
		}
		if x.firstAt.IsZero() && x.done >= x.first {
			x.firstAt = now
			x.reported = x.front.RecordFirst(now, g.entry, 0, x.concurrency, 1000, now.Sub(x.sent))
			if now.Sub(x.sent) > target {
				count.late++
			}
		}
		if x.done < x.first+17*x.event {
			k = append(k, x)
			continue
		}
		f := x.firstAt.Sub(x.sent)
		if x.reported {
			f = 0
		}
		x.front.RecordTiming(now, g.entry, 0, x.concurrency, 1000, f, now.Sub(x.firstAt)/17)
		x.front.ReleaseOnline(g.entry.GetId(), now.Sub(x.sent))
	}
	g.requests = k
}

// deployedSpeeds gives servers a speed of 0.6, 1 and 1.6 in equal parts.
func deployedSpeeds(server int, _ time.Duration) float64 {
	return []float64{0.6, 1, 1.6}[server%3]
}

func noSlowdown(int) float64 { return 1 }

// play runs the replay. Loads and samples are 10 ms old. The load alternates between 0.38
// and 1.87 times its mean every 2.4 to 3.4 s.
func (s bursts) play() figures {
	// Arrivals are the same whatever is decided.
	w, u := rand.New(rand.NewPCG(s.seed, 6)), rand.New(rand.NewPCG(7, 8))
	var v []*wire.BackendServer
	x := map[string]*modelServer{}
	for n := range s.servers {
		v = append(v, server(fmt.Sprint("s", n), "a", 8))
		x[v[n].GetId()] = &modelServer{entry: v[n]}
	}
	var f []*fleet.Fleet
	for n := range s.fronts {
		a := fleet.New(fmt.Sprint("f", n), "a")
		if s.learn {
			a.LearnCapacity()
		}
		a.SetServers(start, v, start, start)
		f = append(f, a)
	}
	var r figures
	k, p := 0.38, time.Duration(0)
	for d := time.Duration(0); d < s.length; d += time.Millisecond {
		o := start.Add(d)
		if d >= p {
			k = 2.25 - k
			p = d + 2400*time.Millisecond + time.Duration(w.IntN(1000))*time.Millisecond
		}
		if d%(10*time.Millisecond) == 0 {
			exchangeSamples(f, o, uint64(d)+1)
		}
		for n, b := range v {
			g := x[b.GetId()]
			m := s.speed(n, d)
			if len(g.requests) > 6 {
				m /= s.slowdown(n)
			}
			g.advance(o, m, &r)
		}
		for q := s.rate * k / 1000; q > w.Float64(); q-- {
			r.arrived++
			a := f[w.IntN(s.fronts)]
			y := time.Duration(math.Exp(0.3*w.NormFloat64()) * float64(40*time.Millisecond))
			b, _, _ := a.AcquireOnline(o, service, target, remaining, nil, u.Float64())
			if b == nil {
				r.refused++
				continue
			}
			g := x[b.GetId()]
			g.requests = append(g.requests, &played{front: a, concurrency: a.Concurrency(b.GetId()), sent: o, first: timeToFirstEvent, event: y})
		}
	}
	return r
}

// exchangeSamples delivers the loads and samples of all fronts to each other.
func exchangeSamples(fleets []*fleet.Fleet, now time.Time, sequence uint64) {
	for n, x := range fleets {
		m := wire.Load_builder{
			Name: proto.String(fmt.Sprint("f", n)), Incarnation: proto.Uint64(1), Sequence: &sequence, Servers: x.LocalLoads(now), DataCentre: proto.String("a"), Samples: x.TakeSamples(now),
		}.Build()
		for _, y := range fleets {
			if y != x {
				y.UpdatePeer(now, m)
				y.MergeSamples(now, m.GetSamples())
			}
		}
	}
}

// compare plays bursts with the setting off and on, and fails the test unless at least a
// tenth fewer requests are late or refused with it.
func compare(t *testing.T, s bursts) {
	t.Helper()
	s.fronts, s.servers, s.length = 8, 90, 12*time.Second
	n, m := 0, 0
	for s.seed = 1; s.seed < 3; s.seed++ {
		s.learn = false
		x := s.play()
		s.learn = true
		y := s.play()
		t.Logf("seed %d, off: %+v, on: %+v", s.seed, x, y)
		n += x.late + x.refused
		m += y.late + y.refused
	}
	if 10*m > 9*n {
		t.Errorf("late and refused: %d with the setting on, and %d off", m, n)
	}
}

// Guards against bursts that fill slow servers as far as fast ones: 90 servers with speeds
// of 0.6, 1 and 1.6, 480 requests a second on average. Callers gain first events in time.
func TestBurstsOnThreeSpeeds(t *testing.T) {
	compare(t, bursts{rate: 480, speed: deployedSpeeds, slowdown: noSlowdown})
}

// Guards against the same where every other server is slower by 1.6 with more than 6
// requests: 440 requests a second on average.
func TestBurstsOnServersThatSlowDown(t *testing.T) {
	compare(t, bursts{rate: 440, speed: deployedSpeeds, slowdown: func(n int) float64 { return 1 + 0.6*float64(n%2) }})
}

// Guards against requests that go on to servers which have turned slow: one in ten has a
// quarter of its speed for 4 s, each tenth in turn, with 300 requests a second on average.
func TestBurstsOnServersThatTurnSlow(t *testing.T) {
	compare(t, bursts{rate: 300, slowdown: noSlowdown, speed: func(n int, at time.Duration) float64 {
		if n%10 == int(at/(4*time.Second))%10 {
			return 0.25
		}
		return 1
	}})
}

// learned returns a fleet of three servers that has learned that s0 is twice as fast as
// the mean and s1 half as fast, by samples of another front.
func learned(t *testing.T, learn bool) (*fleet.Fleet, time.Time) {
	t.Helper()
	f := fleet.New("front-b", "a")
	if learn {
		f.LearnCapacity()
	}
	f.SetServers(start, []*wire.BackendServer{server("s0", "a", 8), server("s1", "a", 8), server("s2", "a", 8)}, start, start)
	o := start
	for range 20 {
		o = o.Add(100 * time.Millisecond)
		var l []*wire.ServerSample
		for n, p := range []uint32{500, 2000, 1000} {
			l = append(l, wire.ServerSample_builder{Server: proto.Uint64(xxhash.Sum64String(fmt.Sprint("s", n))), Concurrency: proto.Uint32(2), FirstPermille: &p, PacePermille: &p}.Build())
		}
		f.MergeSamples(o, l)
	}
	return f, o.Add(100 * time.Millisecond)
}

// Guards against decisions that change while the setting is off, and against estimates
// that are not used while it is on: of idle servers the fast one is first, and so is its
// queue; eight slots of 1.7 times the mean speed end 3.3
// requests of 500 ms in 120 ms, and those of the slow server 1.1.
func TestEstimatesDecideOnlyIfSwitchedOn(t *testing.T) {
	var g []any
	for _, k := range []bool{false, true} {
		f, o := learned(t, k)
		m := map[string]int{}
		for {
			b, _, _ := f.AcquireOnline(o, service, target, remaining, nil, 0)
			if b == nil {
				break
			}
			m[b.GetId()]++
		}
		g = append(g, m)
	}
	if d := cmp.Diff([]any{map[string]int{"s0": 10, "s1": 10, "s2": 10}, map[string]int{"s0": 11, "s1": 9, "s2": 9}}, g); d != "" {
		t.Error(d)
	}
	f, o := learned(t, true)
	_, s, _ := f.Estimate("s0")
	if b := f.AcquireBatch(o, service, nil); b.GetId() != "s0" || s != 8 {
		t.Error("batch item placed at", b.GetId())
	}
}

// Guards against a front with the setting off that sends samples, against samples that are
// sent twice or without bound, and against their size.
func TestSamplesSent(t *testing.T) {
	var g []int
	for _, k := range []bool{false, true} {
		f, o := learned(t, k)
		for range 200 {
			f.RecordTiming(o, server("s0", "a", 8), 0, 3, 1000, 80*time.Millisecond, 40*time.Millisecond)
		}
		for range 6 {
			g = append(g, len(f.TakeSamples(o)))
		}
	}
	if d := cmp.Diff([]int{0, 0, 0, 0, 0, 0, 32, 32, 32, 32, 0, 0}, g); d != "" {
		t.Error(d)
	}
	f, o := learned(t, true)
	for range 10 {
		f.RecordTiming(o, server("s0", "a", 8), 0, 300, 1000, 80*time.Millisecond, 40*time.Millisecond)
	}
	for _, m := range f.TakeSamples(o.Add(900 * time.Millisecond)) {
		if n := proto.Size(wire.Load_builder{Samples: []*wire.ServerSample{m}}.Build()); n > 25 {
			t.Errorf("sample takes %d bytes, want 25 at most", n)
		}
	}
	if l := f.TakeSamples(o.Add(2 * time.Second)); len(l) > 0 {
		t.Error("old samples sent:", len(l))
	}
}

// Guards against an estimate that outlives the process, by the registry or by the
// server's own word, and against samples of the process before.
func TestRestartedServerStartsAtTheMean(t *testing.T) {
	f, o := learned(t, true)
	f.AcquireBatch(o, service, nil)
	v, _, _ := f.Estimate("s1")
	b := server("s1", "a", 8)
	b.SetBorn(7)
	f.SetServers(o, []*wire.BackendServer{server("s0", "a", 8), b, server("s2", "a", 8)}, o, o)
	f.RecordTiming(o, server("s1", "a", 8), 0, 2, 1000, time.Second, time.Second)
	w, _, _ := f.Estimate("s1")
	if v > 0.75 || w != 1 {
		t.Errorf("speed %.2f before the restart and %.2f after it, want below 0.75 and 1", v, w)
	}
}

// Guards against a herd: eight fronts that have found the fast server at the same moment,
// and whose loads are 10 ms old, fill it beyond its slots while others are idle. A
// request each millisecond lasts 48 ms, so 48 of 96 slots are needed.
func TestNoHerdAtTheFastServer(t *testing.T) {
	var v []*wire.BackendServer
	for n := range 12 {
		v = append(v, server(fmt.Sprint("s", n), "a", 8))
	}
	var f []*fleet.Fleet
	for n := range 8 {
		x := fleet.New(fmt.Sprint("f", n), "a")
		x.LearnCapacity()
		x.SetServers(start, v, start, start)
		f = append(f, x)
	}
	w := rand.New(rand.NewPCG(1, 1))
	p := uint32(500)
	m := map[string]int{}
	var l []string
	// Milliseconds in which the fast server has more requests than slots.
	h := 0
	for d := range 2000 {
		o := start.Add(time.Duration(d) * time.Millisecond)
		if d%10 == 0 {
			exchangeSamples(f, o, uint64(d)+1)
		}
		if d == 1000 {
			for _, x := range f {
				for range 20 {
					x.MergeSamples(o, []*wire.ServerSample{wire.ServerSample_builder{Server: proto.Uint64(xxhash.Sum64String("s0")), Concurrency: proto.Uint32(2), PacePermille: &p}.Build()})
				}
			}
		}
		b, _, _ := f[d%8].AcquireOnline(o, service, target, remaining, nil, w.Float64())
		l = append(l, b.GetId())
		m[b.GetId()]++
		if m["s0"] > 8 {
			h++
		}
		if d >= 48 {
			f[(d-48)%8].ReleaseOnline(l[d-48], 48*time.Millisecond)
			m[l[d-48]]--
		}
	}
	if h > 50 {
		t.Errorf("the fast server had more requests than slots for %d of 1000 ms, want 5 %% at most", h)
	}
}
