package limit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/limit"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// front is one front of a network.
type front struct {
	name     string
	fleet    *fleet.Fleet
	teams    *limit.Teams
	logs     memory.Handler
	sequence uint64
	// Fronts hear and answer each other if they are in the same part.
	part int
	// The process stands still. Questions wait for it.
	frozen    bool
	questions []*wire.RateRequest
}

// network connects the fronts of one process.
type network struct {
	t      *testing.T
	fronts []*front
	// Of the requests, and of the questions that are lost.
	random, losses *rand.Rand
	// Part of the questions that are lost.
	loss float64
	// Limits by team, and the demand for each in requests a second.
	rules  map[string]*wire.TeamRule
	demand map[string]float64
	// Version of the configuration.
	version int64

	mu sync.Mutex
	// When requests were granted, by team, and how many were refused.
	granted map[string][]time.Time
	refused map[string]int
	start   time.Time
}

func team(name string, perSecond, burst float64) *wire.TeamRule {
	return wire.TeamRule_builder{Name: &name, RequestsPerSecond: &perSecond, Burst: &burst}.Build()
}

func newNetwork(t *testing.T, fronts int) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(1, 2)), losses: rand.New(rand.NewPCG(3, 4)), rules: map[string]*wire.TeamRule{}, demand: map[string]float64{}, version: 1,
		granted: map[string][]time.Time{}, refused: map[string]int{}, start: time.Now(),
	}
	for range fronts {
		n.join()
	}
	return n
}

func (n *network) limit(name string, perSecond, burst, demand float64) {
	n.rules[name] = team(name, perSecond, burst)
	n.demand[name] = demand
}

func (n *network) join() {
	x := &front{name: fmt.Sprint("front-", len(n.fronts))}
	x.fleet = fleet.New(x.name, "a")
	x.teams = limit.New(x.name, x.fleet, &link{n, x}, &log.Logger{Handler: &x.logs, Level: log.InfoLevel}, prometheus.NewRegistry())
	n.fronts = append(n.fronts, x)
}

// link is how a front reaches the others.
type link struct {
	network *network
	from    *front
}

// AskRate implements trail.RateAsker.
func (l *link) AskRate(ctx context.Context, name string, request *wire.RateRequest) (*wire.RateReply, error) {
	i := slices.IndexFunc(l.network.fronts, func(x *front) bool { return x.name == name })
	l.network.mu.Lock()
	d := l.network.losses.Float64() < l.network.loss
	l.network.mu.Unlock()
	if i < 0 || d || l.network.fronts[i].part != l.from.part {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x := l.network.fronts[i]
	if x.frozen {
		l.network.mu.Lock()
		x.questions = append(x.questions, request)
		l.network.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return x.teams.Count(request), nil
}

// counter returns the front that counts for a team in a part of the network.
func (n *network) counter(name string, part int) *front {
	for _, x := range n.fronts {
		if x.part == part && !x.frozen && x.fleet.RateCounter(time.Now(), name) == x.name {
			return x
		}
	}
	n.t.Fatal("no front counts")
	return nil
}

// remove ends a front without a word.
func (n *network) remove(x *front) {
	n.fronts = slices.DeleteFunc(slices.Clone(n.fronts), func(y *front) bool { return x == y })
}

func (n *network) wake(x *front) {
	n.mu.Lock()
	l := x.questions
	x.questions = nil
	n.mu.Unlock()
	x.frozen = false
	for _, q := range l {
		x.teams.Count(q)
	}
}

// exchangeLoads sends the heartbeats of all fronts.
func (n *network) exchangeLoads() {
	for _, x := range n.fronts {
		if x.frozen {
			continue
		}
		x.fleet.ExpirePeers(time.Now())
		x.sequence++
		l := wire.Load_builder{
			Name: &x.name, Incarnation: proto.Uint64(1), Sequence: proto.Uint64(x.sequence), CountsRates: proto.Bool(x.fleet.CountsRates(time.Now())),
		}.Build()
		for _, y := range n.fronts {
			if x != y && x.part == y.part && !y.frozen {
				y.fleet.UpdatePeer(time.Now(), l)
			}
		}
	}
}

// step is the time between the requests of the fronts.
const step = 10 * time.Millisecond

// run sends requests of all teams, each to a random front, for a time.
func (n *network) run(duration time.Duration) {
	for i := range int(duration / step) {
		if i%25 == 0 {
			n.exchangeLoads()
		}
		for _, k := range slices.Sorted(func(yield func(string) bool) {
			for k := range n.demand {
				if !yield(k) {
					return
				}
			}
		}) {
			// Requests come at random: each of 64 callers sends one or not.
			for range 64 {
				if n.random.Float64() < n.demand[k]*step.Seconds()/64 {
					n.send(n.fronts[n.random.IntN(len(n.fronts))], n.rules[k])
				}
			}
		}
		time.Sleep(step)
	}
	synctest.Wait()
}

func (n *network) send(x *front, rule *wire.TeamRule) {
	if x.frozen {
		return
	}
	v := n.version
	go func() {
		q := trail.NewRequest("id", "POST", "/", "h", nil, nil).WithDeadline(time.Now().Add(5 * time.Second))
		e := x.teams.Denied(rule, v, q)
		if e == nil {
			e = x.teams.Acquire(context.Background(), rule, v, q)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if e != nil {
			n.refused[rule.GetName()]++
			return
		}
		n.granted[rule.GetName()] = append(n.granted[rule.GetName()], time.Now())
	}()
}

// check checks that in no window of 1 s and of 5 s more requests were granted than the
// rate allows in it, the burst and what is conceded, in requests.
func (n *network) check(name string, perSecond, burst, conceded float64) {
	n.t.Helper()
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	for _, w := range []time.Duration{time.Second, 5 * time.Second} {
		l := n.granted[name]
		m, j := 0, 0
		var b time.Time
		for i, x := range l {
			for x.Sub(l[j]) > w {
				j++
			}
			if i-j+1 > m {
				m, b = i-j+1, l[j]
			}
		}
		a := perSecond*w.Seconds() + max(burst, 1) + conceded
		n.t.Logf("%s: %d in %s from %s, allowed %.1f", name, m, w, b.Sub(n.start), a)
		if float64(m) > a {
			n.t.Errorf("%s: %d requests in %s from %s, allowed %.1f", name, m, w, b.Sub(n.start), a)
		}
	}
}

// grantedBetween returns how many requests were granted from one time of the run to
// another.
func (n *network) grantedBetween(name string, from, to time.Duration) int {
	m := 0
	for _, t := range n.granted[name] {
		if d := t.Sub(n.start); d >= from && d < to {
			m++
		}
	}
	return m
}
