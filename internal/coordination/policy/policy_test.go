package policy_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against a policy that ignores one of its rules for the choice of a
// backend server; each case covers one rule.
func TestChoosesBackendServerByPolicy(t *testing.T) {
	l := []struct {
		name, policy string
		mean         float64
		candidates   []trail.Candidate
		want         []string
	}{
		{"longest cached prefix", policy.Fair, 2, []trail.Candidate{
			trail.NewCandidate("a", 0, 8, 0, false),
			trail.NewCandidate("b", 1, 8, 1, false),
			trail.NewCandidate("c", 1, 8, 2, false),
		}, []string{"c", "c"}},
		{"cached prefix beyond the load bound", policy.Fair, 2, []trail.Candidate{
			trail.NewCandidate("a", 4, 8, 4, false),
			trail.NewCandidate("b", 1, 8, 0, false),
		}, []string{"b", "b"}},
		{"cached prefix beyond the work share bound", policy.Fair, 2, []trail.Candidate{
			trail.NewCandidate("a", 1, 8, 4, false).WithWorkShare(1.3),
			trail.NewCandidate("b", 1, 8, 0, false).WithWorkShare(0.9),
		}, []string{"b", "b"}},
		{"cached prefix where batch work is preempted", policy.Fair, 2, []trail.Candidate{
			trail.NewCandidate("a", 1, 8, 4, true),
			trail.NewCandidate("b", 0, 8, 0, false),
		}, []string{"a", "a"}},
		{"free slot before preemption", policy.LeastOutstanding, 2, []trail.Candidate{
			trail.NewCandidate("a", 0, 8, 0, true),
			trail.NewCandidate("b", 5, 8, 0, false),
		}, []string{"b", "b"}},
		{"round robin", policy.RoundRobin, 2, []trail.Candidate{
			trail.NewCandidate("b", 1, 8, 0, false),
			trail.NewCandidate("a", 5, 8, 4, false),
			trail.NewCandidate("c", 0, 8, 0, true),
		}, []string{"a", "b", "a"}},
		{"least outstanding", policy.LeastOutstanding, 2, []trail.Candidate{
			trail.NewCandidate("a", 2, 8, 4, false),
			trail.NewCandidate("b", 1, 8, 0, false),
			trail.NewCandidate("c", 0, 8, 0, true),
		}, []string{"b", "b"}},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			p := newPolicy(t, k.policy)
			var g []string
			for range k.want {
				i, _ := p.Choose(wire.Call_builder{PrefixHashes: []uint64{1, 2, 3, 4}}.Build(), k.candidates, k.mean)
				g = append(g, k.candidates[i].Name())
			}
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
		})
	}
}

const largeBacklog = 10000

// Guards against a small caller that waits behind the 10,000 queued calls of
// another caller, or is rejected because they fill the queue. The target is 1.5
// times the wait without the other caller; with one slot's turn per place, two
// places are within it.
func TestSmallCallerIsServedInTurn(t *testing.T) {
	q := newPolicy(t, policy.Fair).Queue(wire.Class_CLASS_ONLINE)
	n := time.UnixMilli(0)
	for k := range uint64(largeBacklog) {
		q.Push(n, queued(k, "region", 100, n))
	}
	if d := cmp.Diff(1, q.Ahead("shop")); d != "" {
		t.Error(d)
	}
	k, _ := q.Displaced("shop")
	if d := cmp.Diff(uint64(largeBacklog-1), k); d != "" {
		t.Error(d)
	}
	if _, f := q.Displaced("region"); f {
		t.Error("new call of the largest caller displaces a queued call")
	}
	q.Push(n, queued(largeBacklog, "shop", 100, n))
	for i := range 3 {
		k, _ = q.Next(n)
		q.Remove(k, true)
		if k == largeBacklog {
			t.Logf("small caller served at position %d", i)
			return
		}
	}
	t.Error("small caller not served among the first 3 calls")
}

// Guards against starvation of long calls: a long call must not wait for more
// than 2 s for shorter calls that came later, whichever caller they are from.
func TestLongCallIsNotOvertakenForLong(t *testing.T) {
	q := newPolicy(t, policy.Fair).Queue(wire.Class_CLASS_ONLINE)
	n := time.UnixMilli(0)
	q.Push(n, queued(1, "x", 10000, n))
	for k := uint64(2); ; k++ {
		q.Push(n, queued(k, []string{"x", "y", "z"}[k%3], 10, n))
		i, _ := q.Next(n)
		q.Remove(i, true)
		if i == 1 {
			break
		}
		n = n.Add(100 * time.Millisecond)
	}
	if d := cmp.Diff(2*time.Second, n.Sub(time.UnixMilli(0))); d != "" {
		t.Error(d)
	}
}

// Guards against a small caller that waits for several overdue calls of a large
// caller. Although those are cheaper, the small caller has received less
// service.
func TestOverdueCallsDoNotDelaySmallCaller(t *testing.T) {
	q := newPolicy(t, policy.Fair).Queue(wire.Class_CLASS_ONLINE)
	n := time.UnixMilli(0)
	for k := range uint64(largeBacklog) {
		q.Push(n, queued(k, "region", 100, n))
	}
	n = n.Add(3 * time.Second)
	for range 5 {
		k, _ := q.Next(n)
		q.Remove(k, true)
	}
	q.Push(n, queued(largeBacklog, "shop", 1000, n))
	for i := range 3 {
		k, _ := q.Next(n)
		q.Remove(k, true)
		if k == largeBacklog {
			t.Logf("small caller served at position %d", i)
			return
		}
	}
	t.Error("small caller not served among the first 3 calls behind overdue calls")
}

func newPolicy(t *testing.T, name string) trail.Policy {
	t.Helper()
	p, e := policy.New(name)
	if e != nil {
		t.Fatal(e)
	}
	return p
}

func queued(key uint64, caller string, cost int64, arrived time.Time) trail.Queued {
	return trail.NewQueued(key, wire.Call_builder{Caller: &caller, CostTokens: proto.Int64(cost)}.Build(), arrived)
}
