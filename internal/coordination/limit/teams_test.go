package limit_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
)

// Guards against fronts that together grant more than the limit of a team in any
// window of 1 s and 5 s: rate x window + burst, and what is conceded in parts of a
// second at the rate and in bursts. Guards also against a limit that is not used:
// the team sends seven times its limit, so 0.98 of it must be granted while nothing
// happens.
func TestFrontsExceedLimitTogether(t *testing.T) {
	// A front that takes over for a team is late to be heard of by a heartbeat, at
	// half the rate, and the former one answers for 0.3 s more.
	const j = 0.275
	// Until a front that counts notices that it is cut off, for 0.6 s, it grants the
	// whole limit to its own callers, and the reserves of the others add up to the
	// limit.
	const c = 0.6
	l := []struct {
		name             string
		fronts           int
		perSecond, burst float64
		// Part of the questions that are lost.
		loss float64
		// Conceded seconds at the rate, and bursts: what the reserves may hold when the
		// counting front is lost. They are empty if all fronts have just asked it.
		seconds, bursts float64
		// What happens after 8 s of the run, which goes on for 10 s.
		event func(n *network)
		// Nothing of it harms the use of the limit.
		harmless bool
	}{
		{"one front", 1, 100, 20, 0, 0, 0, func(n *network) { n.run(10 * time.Second) }, true},
		{"six fronts", 6, 100, 20, 0, 0, 0, func(n *network) { n.run(10 * time.Second) }, true},
		{"165 fronts", 165, 100, 20, 0, 0, 0, func(n *network) {}, false},
		{"small limit", 52, 1.6, 1.6, 0, 0, 0, func(n *network) { n.run(10 * time.Second) }, false},
		{"fronts that join", 3, 100, 20, 0, j, 0, joinFronts, false},
		{"fronts that join, small limit", 52, 1.6, 1.6, 0, j, 0, joinFronts, false},
		{"counting front killed", 6, 100, 20, 0, j, 0, killCounter, false},
		{"counting front killed, 52 fronts", 52, 40, 20, 0, j, 1, killCounter, false},
		{"counting front killed, small limit", 52, 1.6, 1.6, 0, j, 1, killCounter, false},
		{"counting front cut off", 6, 100, 20, 0, c, 0, func(n *network) { cutCounter(n, 1) }, false},
		{"half of the fronts cut off", 6, 100, 20, 0, c, 0, func(n *network) { cutCounter(n, 3) }, false},
		{"counting front frozen shortly", 6, 100, 20, 0, 0, 0, func(n *network) { freezeCounter(n, 800*time.Millisecond) }, false},
		{"counting front frozen", 6, 100, 20, 0, j, 0, func(n *network) { freezeCounter(n, 1500*time.Millisecond) }, false},
		{"counting front frozen for long", 6, 100, 20, 0, j, 0, func(n *network) { freezeCounter(n, 4*time.Second) }, false},
		{"lost datagrams", 6, 100, 20, 0.02, 0.02, 0, func(n *network) { n.run(10 * time.Second) }, true},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, k.fronts)
				n.loss = k.loss
				n.limit("hot", k.perSecond, k.burst, 7*k.perSecond)
				n.run(8 * time.Second)
				k.event(n)
				n.check("hot", k.perSecond, k.burst, k.seconds*k.perSecond+k.bursts*max(k.burst, 1)+k.loss*5*k.perSecond)
				b, e := 4*time.Second, 8*time.Second
				if k.harmless {
					e = 18 * time.Second
				}
				// A limit of little more than a request at once is used less: the next
				// one comes later than there is room for it.
				w := 0.98
				if k.burst < 2 {
					w = 0.8
				}
				if m := n.grantedBetween("hot", b, e); float64(m) < w*k.perSecond*(e-b).Seconds()-2 {
					t.Errorf("only %d requests granted in %s", m, e-b)
				}
			})
		})
	}
}

func joinFronts(n *network) {
	for range 5 {
		n.join()
		n.run(2 * time.Second)
	}
}

func killCounter(n *network) {
	n.remove(n.counter("hot", 0))
	n.run(10 * time.Second)
}

// cutCounter cuts off fronts for 6 s, with the one that counts.
func cutCounter(n *network, fronts int) {
	x := n.counter("hot", 0)
	x.part = 1
	for _, y := range n.fronts {
		if fronts > 1 && y != x {
			y.part = 1
			fronts--
		}
	}
	n.run(6 * time.Second)
	for _, y := range n.fronts {
		y.part = 0
	}
	n.run(4 * time.Second)
}

func freezeCounter(n *network, duration time.Duration) {
	x := n.counter("hot", 0)
	x.frozen = true
	n.run(duration)
	n.wake(x)
	n.run(10*time.Second - duration)
}

// Guards against a team whose requests are refused because another one sends seven
// times its load, and against a silent team that is refused at its first requests.
func TestHotTeamHarmsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 52)
		n.limit("hot", 100, 20, 700)
		n.run(8 * time.Second)
		n.limit("calm", 20, 20, 10)
		n.limit("rare", 1.6, 1.6, 0.3)
		n.run(20 * time.Second)
		for _, k := range []string{"calm", "rare"} {
			a := len(n.granted[k]) + n.refused[k]
			if float64(n.refused[k]) > 0.02*float64(a) {
				t.Errorf("%s: %d of %d requests refused", k, n.refused[k], a)
			}
		}
		n.check("hot", 100, 20, 0)
	})
}

// Guards against a changed limit that does not take effect at once: a lowered one in
// the window that begins with the change, also while a front still has the former
// configuration, and a raised one for requests that the former one denied.
func TestChangedLimitTakesEffectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 6)
		n.limit("hot", 100, 50, 0)
		n.run(8 * time.Second)
		o := n.rules["hot"]
		n.demand["hot"] = 700
		n.version = 2
		n.limit("hot", 10, 5, 700)
		n.run(100 * time.Millisecond)
		for i := range 50 {
			// Questions of a front with the former configuration.
			n.version = 1
			n.send(n.fronts[i%6], o)
			n.version = 2
			n.run(20 * time.Millisecond)
		}
		n.run(4 * time.Second)
		n.check("hot", 10, 5, 0)
		n.version, n.start = 3, time.Now()
		n.limit("hot", 200, 5, 1400)
		n.run(time.Second)
		if m := n.grantedBetween("hot", 0, time.Second); m < 190 {
			t.Errorf("only %d requests granted in the first second of the higher limit", m)
		}
	})
}

// Guards against a request that waits for an answer longer than 60 ms, or than it has
// time left, and against one that is granted after that without the reserve.
func TestAnswerIsAwaitedTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3)
		n.run(4 * time.Second)
		x := n.counter("t", 0)
		x.part = 1
		y := n.fronts[slices.IndexFunc(n.fronts, func(y *front) bool { return y != x })]
		var g []string
		for _, d := range []time.Duration{time.Second, 20 * time.Millisecond} {
			c, f := context.WithTimeout(t.Context(), d)
			b := time.Now()
			e := y.teams.Acquire(c, team("t", 0.01, 1), 1, trail.NewRequest("id", "POST", "/", "h", nil, nil).WithDeadline(b.Add(d)))
			g = append(g, trail.CodeOf(e), trail.VerdictOf(e).String(), time.Since(b).String())
			if trail.RetryAfterOf(e) <= 0 {
				t.Error("no time to return")
			}
			f()
		}
		if d := cmp.Diff([]string{"rate-limited", "not-run", "60ms", "rate-limited", "not-run", "20ms"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a line for each refused request of a hot team, and against refused
// requests without a line that names what decided.
func TestRefusalsFloodLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 1)
		n.limit("hot", 10, 5, 700)
		n.run(10 * time.Second)
		l := n.fronts[0].logs.Entries
		if len(l) > 3*11 {
			t.Errorf("%d lines in 10 s", len(l))
		}
		g := l[len(l)-1].Fields
		delete(g, "refused")
		d := cmp.Diff(log.Fields{"team": "hot", "front": "front-0", "per-second": 10., "burst": 5., "config-version": int64(1), "outcome": "still-denied", "request-id": "id"}, g)
		if d != "" {
			t.Error(d)
		}
	})
}
