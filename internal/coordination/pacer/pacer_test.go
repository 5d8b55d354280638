package pacer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/pacer"
)

// Guards against requests beyond the rate: at the start, after a pause, and after
// a change of the rate.
func TestRequestsExceedRate(t *testing.T) {
	o := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := pacer.New(o, 2)
	// f returns how many requests are sent in a second, one tried each 10 ms.
	f := func() int {
		n := 0
		for range 100 {
			o = o.Add(10 * time.Millisecond)
			if p.Next(o) == 0 && p.Take(o) == 0 {
				n++
			}
		}
		return n
	}
	g := []int{f(), f()}
	o = o.Add(time.Minute)
	g = append(g, f(), f())
	p.SetRate(o, 10)
	g = append(g, f())
	p.SetRate(o, 0.5)
	g = append(g, f()+f()+f()+f())
	if d := cmp.Diff([]int{2, 2, 4, 2, 10, 2}, g); d != "" {
		t.Error(d)
	}
}
