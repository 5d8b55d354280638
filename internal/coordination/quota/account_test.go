package quota_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/quota"
)

// Guards against jobs admitted beyond the limit, against a job that is counted
// twice when it is submitted again, and against a job that fits but is rejected.
func TestReserveKeepsLimit(t *testing.T) {
	a := quota.New(nil)
	g := []bool{
		a.Reserve("a", 60, 100), a.Reserve("b", 41, 100), a.Reserve("a", 60, 100),
		a.Reserve("c", 40, 100), a.Reserve("d", 1, 100),
	}
	if d := cmp.Diff([]bool{true, false, true, true, false}, g); d != "" {
		t.Error(d)
	}
	a.Lower("a", 20)
	g = []bool{a.Reserve("d", 41, 100), a.Reserve("d", 40, 100)}
	if d := cmp.Diff([]bool{false, true}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(int64(100), quota.New(a.Value()).Used()); d != "" {
		t.Error(d)
	}
}

// Guards against a front that was suspended and reports an old state: tokens that
// have been freed must not be reserved again.
func TestLowerNeverRaises(t *testing.T) {
	a := quota.New(nil)
	a.ForceReserve("a", 50)
	a.Lower("a", 10)
	a.Lower("a", 40)
	a.Lower("b", 40)
	g := []int64{a.Used()}
	a.Lower("a", 0)
	a.Lower("a", 10)
	g = append(g, a.Used(), int64(len(a.Jobs())))
	if d := cmp.Diff([]int64{10, 0, 0}, g); d != "" {
		t.Error(d)
	}
}

// Guards against changes that are not written because the account holds the same
// number of jobs and tokens as before.
func TestChangedDespiteEqualTotals(t *testing.T) {
	a := quota.New(nil)
	g := []bool{a.Changed()}
	a.Reserve("a", 5, 10)
	g = append(g, a.Changed())
	a = quota.New(a.Value())
	a.Lower("a", 5)
	a.ForceReserve("a", 5)
	g = append(g, a.Changed())
	a.Lower("a", 0)
	a.Reserve("b", 5, 10)
	g = append(g, a.Changed())
	if d := cmp.Diff([]bool{false, true, false, true}, g); d != "" {
		t.Error(d)
	}
}

// Guards against callers that are asked to wait for longer than it takes until
// enough tokens are freed, and against callers that retry at once in vain.
func TestRetryAfterMatchesFreedTokens(t *testing.T) {
	a := quota.New(nil)
	a.ForceReserve("a", 900)
	a.ForceReserve("b", 100)
	// The time in which the jobs of the route are due.
	u := 18 * time.Second
	g := []time.Duration{a.RetryAfter(100, 1000, u), a.RetryAfter(1, 1000, u), a.RetryAfter(5000, 1000, u)}
	if d := cmp.Diff([]time.Duration{1800 * time.Millisecond, 200 * time.Millisecond, u}, g); d != "" {
		t.Error(d)
	}
}
