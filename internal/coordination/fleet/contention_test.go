package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Mean time for which a simulated request holds a slot.
	meanService = 700 * time.Millisecond
	// Length of a simulated load.
	loadLength = 12 * time.Second
)

// stream returns Poisson arrivals at random fronts of a small site.
func stream(random *rand.Rand, perSecond float64, from, to time.Duration, mark func(a *arrival)) []arrival {
	var l []arrival
	for d := from; ; {
		d += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if d >= to {
			return l
		}
		a := arrival{at: d, front: fmt.Sprint("f", random.IntN(6)), serviceTime: time.Duration((0.6 + 0.8*random.Float64()) * float64(meanService))}
		mark(&a)
		l = append(l, a)
	}
}

func byTime(a, b arrival) int { return int(a.at - b.at) }

// perSecond returns the rate of requests that takes a share of the slots of the small
// site.
func perSecond(share float64) float64 {
	return share * float64(smallSite.capacity()) / meanService.Seconds()
}

// Guards against a team that takes the places of all others by sending many times its
// usual load. Twenty teams ask for 60 % of the slots, evenly; another one asks for 110 %
// for 6 s. What the twenty ask for has room, so 98 % of it must be on time.
func TestHotTeamTakesPlacesOfOthers(t *testing.T) {
	w := rand.New(rand.NewPCG(3, 4))
	l := stream(w, perSecond(0.6), 0, loadLength, func(a *arrival) { a.team = fmt.Sprint("team-", w.IntN(20)) })
	l = append(l, stream(w, perSecond(1.1), 3*time.Second, 9*time.Second, func(a *arrival) { a.team = "hot" })...)
	slices.SortFunc(l, byTime)
	r := smallSite.replay(l)
	var s teamOutcome
	for n, x := range r.teams {
		if n != "hot" {
			s.asked += x.asked
			s.onTime += x.onTime
		}
	}
	if p := float64(s.onTime) / float64(s.asked); p < 0.98 {
		t.Errorf("%.3f of the requests of other teams are on time, of the hot team's %+v", p, *r.teams["hot"])
	}
	if h := r.teams["hot"]; h.onTime < h.asked/5 {
		t.Errorf("room that the others leave is not used: %+v", *h)
	}
}

// Guards against a less urgent team that is served better than a more urgent one while
// both ask for more than there is.
func TestLessUrgentTeamIsServedBetter(t *testing.T) {
	w := rand.New(rand.NewPCG(5, 6))
	l := stream(w, perSecond(1.4), 0, loadLength, func(a *arrival) {
		a.priority = int32(w.IntN(2))
		a.team = fmt.Sprint("team-", w.IntN(10), "-", a.priority)
	})
	r := smallSite.replay(l)
	var s [2]teamOutcome
	for n, x := range r.teams {
		p := int(n[len(n)-1] - '0')
		s[p].asked += x.asked
		s[p].onTime += x.onTime
	}
	a, b := float64(s[0].onTime)/float64(s[0].asked), float64(s[1].onTime)/float64(s[1].asked)
	if a < 0.95 || b > a {
		t.Errorf("%.3f of the more urgent requests are on time, %.3f of the others", a, b)
	}
}

// Guards against callers that return as told and are refused like first attempts.
func TestReturningCallerIsRefusedAgain(t *testing.T) {
	w := rand.New(rand.NewPCG(7, 8))
	l := stream(w, perSecond(1.3), 0, loadLength, func(a *arrival) {
		a.team = "first"
		a.returning = w.IntN(5) == 0
		if a.returning {
			a.team = "again"
		}
	})
	r := smallSite.replay(l)
	f, a := r.teams["first"], r.teams["again"]
	x, y := float64(f.refused)/float64(f.asked), float64(a.refused)/float64(a.asked)
	if x < 0.1 || y > x/2 {
		t.Errorf("%.3f of the first attempts are refused, %.3f of the returning ones", x, y)
	}
}

// Guards against loads of teams that are never given back.
func TestReleasedRequestsCountForTeam(t *testing.T) {
	f := fleet.New("f", "a")
	f.SetServers(start, []*wire.BackendServer{server("s", "a", 8)}, start, start)
	d := fleet.WithDemand(service, "team", 0, false)
	b, _, _ := f.AcquireOnline(start, service, target, remaining, nil, 0.5, d)
	if len(f.TeamLoads()) != 1 {
		t.Fatal("acquired request is not counted")
	}
	f.SetServers(start, nil, start, start)
	f.ReleaseOnline(b.GetId(), 0, d)
	if l := f.TeamLoads(); len(l) != 0 {
		t.Error(l)
	}
}
