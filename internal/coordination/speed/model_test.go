package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/coordination/speed"
)

const (
	slots = 8
	// Time to the first byte and of an event of a server of speed 1.
	usualFirst = 80 * time.Millisecond
	usualPace  = 30 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site feeds a model with the responses of servers 0, 1, ....
type site struct {
	model  *speed.Model
	now    time.Time
	random *rand.Rand
	// By server.
	speeds []float64
	// Factor by which a server with more than 6 requests is slower, 0 for none.
	slowdown map[uint64]float64
	// Standard deviation of the logarithm of a time.
	noise float64
	// Size of a request to a server, and the factor by which its first byte is later.
	size func(server uint64) (int64, float64)
}

func newSite(speeds ...float64) *site {
	s := &site{model: speed.New(), now: start, random: rand.New(rand.NewPCG(1, 2)), speeds: speeds, noise: 0.3}
	for n := range speeds {
		s.model.SetServer(uint64(n), slots)
	}
	return s
}

// run adds four responses a second of each server. concurrency nil stands for one to
// eight requests in turn.
func (s *site) run(length time.Duration, concurrency func(server uint64) int) {
	for e := s.now.Add(length); s.now.Before(e); s.now = s.now.Add(250 * time.Millisecond) {
		for n := range s.speeds {
			c := 1 + s.random.IntN(slots)
			if concurrency != nil {
				c = concurrency(uint64(n))
			}
			if c > 0 {
				s.respond(uint64(n), c)
			}
		}
	}
}

func (s *site) respond(server uint64, concurrency int) {
	f := 1 / s.speeds[server]
	if x := s.slowdown[server]; x > 0 && concurrency > 6 {
		f *= x
	}
	z, k := int64(1000), 1.0
	if s.size != nil {
		z, k = s.size(server)
	}
	a := time.Duration(float64(usualFirst) * f * k * math.Exp(s.noise*s.random.NormFloat64()))
	b := time.Duration(float64(usualPace) * f * math.Exp(s.noise*s.random.NormFloat64()))
	x, y := s.model.Measure(s.now, server, concurrency, z, a, b)
	s.model.Add(s.now, server, concurrency, x, y)
}

// check fails the test unless the speed of a server is within the bounds.
func (s *site) check(t *testing.T, when string, server uint64, least, most float64) {
	t.Helper()
	if v := s.model.Speed(s.now, server); !(v >= least && v <= most) {
		t.Errorf("%s: speed of server %d is %.2f, want %.2f to %.2f", when, server, v, least, most)
	}
}

func mixed() []float64 {
	return []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 1, 1, 1, 1}
}

// Guards against servers that count alike although their speeds are 0.6, 1 and 1.6.
// Four responses a second with a noise of 0.3; ten seconds suffice.
func TestThreeSpeeds(t *testing.T) {
	s := newSite(mixed()...)
	s.run(10*time.Second, nil)
	s.check(t, "slow", 0, 0.45, 0.8)
	s.check(t, "mean", 1, 0.8, 1.25)
	s.check(t, "fast", 2, 1.25, 2)
}

// Guards against equal servers that are told apart by noise alone, and against single
// responses that are 20 times slower. No server may look slower or faster by a third.
func TestNoiseAndOutliers(t *testing.T) {
	s := newSite(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	s.run(10*time.Second, nil)
	for range 200 {
		s.run(250*time.Millisecond, nil)
		for n := range s.speeds {
			s.check(t, "noise", uint64(n), 0.67, 1.5)
		}
	}
	s.model.Add(s.now, 3, 2, 20, 20)
	s.now = s.now.Add(100 * time.Millisecond)
	s.check(t, "one outlier", 3, 0.6, 1.5)
}

// Guards against an estimate that follows a step only after the server has been
// overloaded or left idle for long: four seconds after a step to 0.4, and after the step
// back, the estimate has passed most of the way.
func TestFollowsSteps(t *testing.T) {
	s := newSite(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	s.run(10*time.Second, nil)
	s.speeds[4] = 0.4
	s.run(4*time.Second, nil)
	s.check(t, "after the step down", 4, 0.2, 0.7)
	s.speeds[4] = 1
	s.run(4*time.Second, nil)
	s.check(t, "after the step up", 4, 0.7, 1.3)
}

// Guards against slots that make all requests of a server slow, and against a server
// that is slow at any load and loses slots without gain, also if it is always full.
func TestSlowWhenNearlyFull(t *testing.T) {
	s := newSite(1, 1, 1, 0.6, 0.6, 1, 1, 1, 1, 1)
	s.slowdown = map[uint64]float64{2: 2.5}
	s.run(20*time.Second, func(n uint64) int {
		if n == 3 {
			return slots
		}
		return 1 + s.random.IntN(slots)
	})
	w := []int{8, 8, 6, 8, 8}
	for n, x := range w {
		if g := s.model.Slots(s.now, uint64(n), time.Second); g != x {
			t.Errorf("server %d: %d slots, want %d", n, g, x)
		}
	}
	s.check(t, "below that", 2, 0.75, 1.3)
	// Without requests the server gets its slots back, by which a change is noticed.
	s.now = s.now.Add(90 * time.Second)
	if g := s.model.Slots(s.now, 2, time.Second); g != 8 {
		t.Errorf("%d slots after 90 s without samples, want 8", g)
	}
}

// Guards against a first byte that is late because a server is nearly full, although it
// serves as many requests a second: 80 ms below that and 100 ms when nearly full.
func TestSlotsWithinTarget(t *testing.T) {
	s := newSite(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	s.noise = 0.05
	s.slowdown = map[uint64]float64{2: 1.25}
	s.run(20*time.Second, nil)
	for d, w := range map[time.Duration]int{90 * time.Millisecond: 6, 300 * time.Millisecond: 8} {
		if g := s.model.Slots(s.now, 2, d); g != w {
			t.Errorf("%d slots for a first byte within %v, want %d", g, d, w)
		}
	}
}

// Guards against a server that starves for good after it was slow, since no request
// goes there: without samples the estimate is back near the mean after 12 s. And against
// another process under the same id that inherits the estimate.
func TestFadesAndRestarts(t *testing.T) {
	s := newSite(0.3, 0.3, 1, 1, 1, 1, 1, 1, 1, 1)
	s.run(10*time.Second, nil)
	s.check(t, "slow", 0, 0.2, 0.55)
	s.model.Restart(s.now, 1)
	s.now = s.now.Add(60 * time.Millisecond)
	s.check(t, "restarted", 1, 0.75, 1.4)
	s.model.Add(s.now.Add(-time.Second), 1, 2, 5, 5)
	s.now = s.now.Add(60 * time.Millisecond)
	s.check(t, "sample of the process before", 1, 0.75, 1.4)
	s.run(12*time.Second, func(n uint64) int { return int(min(n, 1)) })
	s.check(t, "without samples", 0, 0.75, 1.4)
}

// Guards against a server that looks fast or slow because of the requests that it gets:
// server 0 gets only short ones, and server 1 only long ones, whose first byte is four
// times as late. Server 2 is slow, and gets the only requests of a third size.
func TestAllShortOrAllLong(t *testing.T) {
	s := newSite(1, 1, 0.5, 1, 1, 1, 1, 1, 1, 1)
	s.size = func(n uint64) (int64, float64) {
		if n == 2 && s.random.IntN(4) > 0 {
			return 64_000, 8
		}
		if n == 0 || n > 1 && s.random.IntN(2) == 0 {
			return 500, 1
		}
		return 8000, 4
	}
	s.run(20*time.Second, nil)
	s.check(t, "short", 0, 0.75, 1.35)
	s.check(t, "long", 1, 0.75, 1.35)
	s.check(t, "slow", 2, 0.35, 0.75)
}

// Guards against samples of other fronts that no server can have caused, and against
// unknown servers.
func TestImplausibleSamplesAreIgnored(t *testing.T) {
	s := newSite(1, 1)
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9, 1e-9} {
		s.model.Add(s.now, 0, 1, v, v)
		s.model.Add(s.now, 7, 1, v, v)
	}
	s.now = s.now.Add(60 * time.Millisecond)
	s.check(t, "implausible", 0, 1, 1)
	s.check(t, "unknown", 7, 1, 1)
}

// Guards against estimates that need more responses than one front sees: at 165 fronts
// with 2.5 responses a second each, 90 servers, the shared samples tell the speeds within
// 15 s, also at a front that measures none.
func TestSharedSamplesOfManyFronts(t *testing.T) {
	var l []*speed.Model
	for range 166 {
		m := speed.New()
		for n := range uint64(90) {
			m.SetServer(n, slots)
		}
		l = append(l, m)
	}
	w := rand.New(rand.NewPCG(1, 2))
	v := []float64{0.6, 1, 1.6}
	o := start
	for range 15 * 412 {
		o = o.Add(time.Second / 412)
		n := w.Uint64N(90)
		k := 1 / v[n%3]
		a := time.Duration(float64(usualFirst) * k * math.Exp(0.3*w.NormFloat64()))
		b := time.Duration(float64(usualPace) * k * math.Exp(0.3*w.NormFloat64()))
		x, y := l[1+w.IntN(165)].Measure(o, n, 4, 1000, a, b)
		for _, m := range l {
			m.Add(o, n, 4, x, y)
		}
	}
	// Deviations of a factor of more than 1.5.
	g := 0
	for n := range uint64(90) {
		if d := math.Abs(math.Log(l[0].Speed(o, n) / v[n%3])); d > math.Log(1.5) {
			g++
		}
	}
	if g > 9 {
		t.Errorf("the speeds of %d of 90 servers are off by more than 1.5", g)
	}
}
