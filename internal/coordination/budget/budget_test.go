package budget_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/budget"
)

const stall = 2 * time.Second

// crowd opens connections and records which of them give way.
type crowd struct {
	budget *budget.Budget
	closed []string
}

func (c *crowd) open(now time.Time, name string) trail.ClientClaim {
	return c.budget.Open(now, func() { c.closed = append(c.closed, name) })
}

func newCrowd(bytes int64, connections int) *crowd {
	return &crowd{budget: budget.New(bytes, connections, stall)}
}

// Guards against a client without progress that keeps its room while another needs it,
// and against one that gives way though it has made progress or is being s.
func TestLongestStalledGivesWay(t *testing.T) {
	c := newCrowd(4<<20, 0)
	o := time.Unix(1_000, 0)
	s, m, a, b := c.open(o, "served"), c.open(o, "moving"), c.open(o, "old"), c.open(o.Add(time.Second), "stalled")
	for _, x := range []trail.ClientClaim{s, m, a, b} {
		if !x.Grow(o, 600<<10) {
			t.Fatal("no room")
		}
	}
	s.Work(o, 0)
	// A little is no progress, 16 KB are.
	a.Work(o.Add(time.Second), 1_000)
	a.Await(o.Add(time.Second))
	m.Work(o.Add(4*time.Second), 16<<10)
	m.Await(o.Add(4 * time.Second))
	l := c.open(o.Add(4*time.Second), "late")
	g := []bool{l.Grow(o.Add(5*time.Second), 600<<10), l.Grow(o.Add(5*time.Second), 1_200<<10), l.Grow(o.Add(5*time.Second), 1_200<<10)}
	if d := cmp.Diff([]bool{true, true, false}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"old", "stalled"}, c.closed); d != "" {
		t.Error(d)
	}
}

// Guards against large claims that leave no room for small ones.
func TestSmallClaimsKeepShare(t *testing.T) {
	c := newCrowd(4<<20, 0)
	o := time.Unix(1_000, 0)
	n := 0
	for c.open(o, "large").Grow(o, 100<<10) {
		n++
	}
	g := []bool{n > 20, c.open(o, "small").Grow(o, 40<<10)}
	if d := cmp.Diff([]bool{true, true}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a claim that can never fit and still closes the connections of others.
func TestOversizedClaimClosesNothing(t *testing.T) {
	c := newCrowd(1<<20, 0)
	o := time.Unix(1_000, 0)
	c.open(o, "stalled").Grow(o, 100<<10)
	if c.open(o, "oversized").Grow(o.Add(time.Hour), 1<<20) {
		t.Error("claim of all bytes granted")
	}
	if d := cmp.Diff([]string(nil), c.closed); d != "" {
		t.Error(d)
	}
}

// Guards against new connections that wait although others are idle, and against idle
// ones that are closed at once.
func TestIdleConnectionsGiveWay(t *testing.T) {
	c := newCrowd(0, 2)
	o := time.Unix(1_000, 0)
	c.open(o, "served").Work(o, 0)
	c.open(o, "idle")
	g := []bool{c.open(o.Add(100*time.Millisecond), "early") == nil, c.open(o.Add(time.Second), "late") == nil}
	if d := cmp.Diff([]bool{true, false}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"idle"}, c.closed); d != "" {
		t.Error(d)
	}
}

// Guards against bytes that are lost or given back twice, whatever the order in which
// claims end.
func TestAllBytesReturn(t *testing.T) {
	c := newCrowd(1<<20, 0)
	o := time.Unix(1_000, 0)
	a, b, s := c.open(o, "a"), c.open(o, "b"), c.open(o, "stalled")
	s.Grow(o, 300<<10)
	a.Grow(o, 100<<10)
	a.Shrink(50 << 10)
	a.Reset(o)
	b.Grow(o.Add(time.Minute), 500<<10)
	s.Shrink(300 << 10)
	c.budget.Take(1_000)
	c.budget.Return(1_000)
	for _, x := range []trail.ClientClaim{a, b, s, a, b, s} {
		x.Reset(o)
		x.Close()
		x.Shrink(1)
	}
	n, k := c.budget.Held()
	x, y := c.budget.Closed()
	if d := cmp.Diff([]int64{0, 0, 1, 0, 0}, []int64{n, int64(k), x, y, c.budget.Refused()}); d != "" {
		t.Error(d)
	}
}
