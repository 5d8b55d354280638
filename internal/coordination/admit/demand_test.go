package admit_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/admit"
)

// Guards against a less urgent request, or one of a team over its share, that takes
// places which a request of the first class needs, and against a returning request
// that passes a more urgent one.
func TestLessUrgentRequestLeavesNoPlaceFree(t *testing.T) {
	type decision struct {
		Class, Reserve int
		Queue          bool
	}
	for _, k := range []struct {
		name   string
		demand admit.Demand
		want   decision
	}{
		{"most urgent", admit.New(0, false, false), decision{0, 0, true}},
		{"most urgent, returns", admit.New(0, false, true), decision{0, 0, true}},
		{"over its share", admit.New(0, true, false), decision{1, 3, false}},
		{"over its share, returns", admit.New(0, true, true), decision{0, 0, true}},
		{"less urgent", admit.New(1, false, false), decision{1, 3, false}},
		{"less urgent, returns", admit.New(1, false, true), decision{1, 3, false}},
		{"less urgent, over its share", admit.New(1, true, false), decision{2, 6, false}},
		{"least urgent", admit.New(9, true, false), decision{2, 6, false}},
		{"rank below 0", admit.New(-1, false, false), decision{0, 0, true}},
	} {
		g := decision{k.demand.Class(), k.demand.Reserve(100), k.demand.MayQueue()}
		if d := cmp.Diff(k.want, g); d != "" {
			t.Errorf("%s: %s", k.name, d)
		}
	}
}

// Guards against a caller that is refused again with the chance of a first attempt.
func TestReturningRequestHasNoBetterChance(t *testing.T) {
	f, r := admit.New(0, false, false), admit.New(0, false, true)
	for _, p := range []float64{0.01, 0.1, 0.5, 0.9} {
		if r.Chance(p) <= f.Chance(p) {
			t.Errorf("chance of a returning request at %g is %g", p, r.Chance(p))
		}
	}
	if d := cmp.Diff([]float64{0, 1, 1, 0}, []float64{r.Chance(0), r.Chance(1), f.Chance(3), f.Chance(-1)}); d != "" {
		t.Error(d)
	}
}

// Guards against a share that gives a large team room which smaller ones use, or that
// withholds room that nobody else asks for.
func TestFairShareIsNotMaxMin(t *testing.T) {
	for _, k := range []struct {
		loads    []int
		capacity int
		want     int
	}{
		{nil, 10, 10},
		{[]int{3, 4}, 10, 10},
		{[]int{50, 1, 1}, 10, 8},
		{[]int{50, 50, 2}, 10, 4},
		{[]int{9, 9, 9, 9}, 10, 2},
		{[]int{1, 1, 1}, 2, 0},
		{[]int{1}, 0, 0},
	} {
		if d := cmp.Diff(k.want, admit.FairShare(k.loads, k.capacity)); d != "" {
			t.Errorf("%v of %d: %s", k.loads, k.capacity, d)
		}
	}
}
