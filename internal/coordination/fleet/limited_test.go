package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against online requests that use up limits while servers without one
// have free slots, and against batch items that take these slots.
func TestLimitedServersGetItemsFirst(t *testing.T) {
	s, u := server("limited", "a", 4), server("unlimited", "a", 2)
	f := newFleet(s, u)
	f.RecordLimit(start, s, 0, 2)
	g := [][2]string{acquire(f, start), {f.AcquireBatch(start, service, nil).GetId()}, acquire(f, start), acquire(f, start)}
	w := [][2]string{{"unlimited", fleet.ReasonFree}, {"limited"}, {"unlimited", fleet.ReasonFree}, {"limited", fleet.ReasonLimited}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff("", f.AcquireBatch(start, service, nil).GetId()); d != "" {
		t.Error("item without headroom for online requests:", d)
	}
}

// Guards against requests that wait, or go to a server that takes none yet, and
// against a refusal that tells a time at which no server takes one.
func TestPausedServerIsChosen(t *testing.T) {
	s := server("s", "a", 4)
	f := newFleet(s)
	f.RecordLimit(start, s, 0, 0.5)
	f.PauseLimited("s", start.Add(2*time.Second))
	b, r, w := f.AcquireOnline(start, service, target, remaining, nil, 0)
	if d := cmp.Diff([]any{"", fleet.ReasonPaused, 2 * time.Second, ""}, []any{b.GetId(), r, w, f.AcquireBatch(start, service, nil).GetId()}); d != "" {
		t.Error(d)
	}
	g := [][2]string{acquire(f, start.Add(2*time.Second)), {f.AcquireBatch(start.Add(2*time.Second), service, nil).GetId()}}
	if d := cmp.Diff([][2]string{{"s", fleet.ReasonLimited}, {"s"}}, g); d != "" {
		t.Error(d)
	}
}

// Guards against fronts that differ on a limit for long, and against an older
// word of a server that replaces a newer one.
func TestLimitIsMergedByAge(t *testing.T) {
	s := server("s", "a", 4)
	a, b := newFleet(s), newFleet(s)
	f := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var g []float64
	a.RecordLimit(f(0), s, 0, 2)
	b.MergeLimits(f(100), a.OwnLimits(f(100)))
	g = append(g, b.Limit("s"))
	// The limit ends; an older report of it comes late.
	l := a.OwnLimits(f(200))
	b.RecordLimit(f(300), s, 0, 0)
	b.MergeLimits(f(400), l)
	g = append(g, b.Limit("s"))
	a.MergeLimits(f(500), b.OwnLimits(f(500)))
	g = append(g, a.Limit("s"))
	for _, x := range []float64{math.NaN(), -1, math.Inf(1)} {
		a.MergeLimits(f(600), []*wire.ServerLimit{wire.ServerLimit_builder{Server: proto.Uint64(l[0].GetServer()), PerSecond: proto.Float64(x)}.Build()})
		g = append(g, a.Limit("s"))
	}
	if d := cmp.Diff([]float64{2, 0, 0, 0, 0, 0}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(0, len(a.OwnLimits(f(9000)))); d != "" {
		t.Error("old limits are sent:", d)
	}
}
