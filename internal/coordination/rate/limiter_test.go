package rate_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/rate"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func question(perSecond, burst float64, version int64) *wire.RateRequest {
	return wire.RateRequest_builder{Team: new(string), RequestsPerSecond: &perSecond, Burst: &burst, Version: &version}.Build()
}

// takeAll returns how many requests are granted at once at a time after the start.
func takeAll(l *rate.Limiter, at, since time.Duration, part float64, request *wire.RateRequest) int {
	n := 0
	for l.Take(start.Add(at), start.Add(since), part, request) == 0 {
		n++
	}
	return n
}

// Guards against a bucket that grants more than its limit: when its front begins to
// count, when the limit changes, after a time without requests in which it was
// dropped, when another front has counted, and when a part of the fleet is not heard.
func TestBucketGrantsTooMuch(t *testing.T) {
	l := rate.New(start)
	a, b := question(10, 20, 2), question(4, 2.5, 3)
	f := func(at, since time.Duration, part float64, request *wire.RateRequest) int {
		return takeAll(l, at, since, part, request)
	}
	g := []int{
		f(0, 0, 1, a),
		f(time.Second, 0, 1, a),
		f(2*time.Second, 0, 1, a),
		f(time.Hour, 0, 1, a),
		// Half of the fleet, for a second.
		f(time.Hour+time.Second, 0, 0.5, a),
		// 12 tokens, of which the lower limit leaves 2.5.
		f(time.Hour+2200*time.Millisecond, 0, 1, b),
		// A former version.
		f(time.Hour+3200*time.Millisecond, 0, 1, a),
		// Another front has counted until then.
		f(time.Hour+4200*time.Millisecond, time.Hour+3700*time.Millisecond, 1, b),
		f(3*time.Hour, time.Hour+3700*time.Millisecond, 1, b),
	}
	if d := cmp.Diff([]int{0, 5, 10, 20, 5, 2, 2, 1, 2}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(125*time.Millisecond, l.Take(start.Add(3*time.Hour), start, 1, b)); d != "" {
		t.Error(d)
	}
}

// Guards against reserves that grant more together than the counting front would
// have, or nothing because each of them is less than a request: after its loss, and
// after a time in which nothing was asked.
func TestReservesGrantTooMuch(t *testing.T) {
	const k = 52
	q := question(40, 26, 1)
	var l []*rate.Limiter
	for range k {
		l = append(l, rate.New(start))
	}
	// Fronts that ask at a time after the start.
	f := func(at time.Duration) int {
		n := 0
		for i, x := range l {
			for x.TakeReserve(start.Add(at), q, i, k) {
				n++
			}
		}
		return n
	}
	g := []int{f(0), f(500 * time.Millisecond), f(time.Second), f(2 * time.Second)}
	for i, x := range l {
		x.RecordAnswer(start.Add(3*time.Second), q, i, k, 0)
	}
	g = append(g, f(3*time.Second), f(time.Hour), f(time.Hour+time.Second))
	if d := cmp.Diff([]int{0, 20, 20, 40, 0, 26, 40}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a denial that outlives the limit that it was told for, or lasts
// longer than a second, in which another front may count.
func TestDenialLastsTooLong(t *testing.T) {
	l := rate.New(start)
	q := question(0.01, 1, 1)
	l.RecordAnswer(start, q, 0, 1, time.Minute)
	g := []time.Duration{l.Denied(start, q), l.Denied(start, question(5, 1, 2)), l.Denied(start.Add(time.Second), q)}
	if d := cmp.Diff([]time.Duration{time.Second, 0, 0}, g); d != "" {
		t.Error(d)
	}
}

// Guards against refused callers that return at the same time, or not in the time
// that they have left although there is room for them.
func TestRefusedCallersReturnTogether(t *testing.T) {
	l := rate.New(start)
	q := question(100, 20, 1)
	f := func(draw float64) time.Duration {
		return l.Refuse(start, q, 10, 10*time.Millisecond, 5*time.Second, draw)
	}
	if d := f(1); d != 20*time.Millisecond {
		t.Errorf("the only refused caller returns after %s", d)
	}
	for range 100 {
		f(0)
	}
	if a, b := f(0), f(1); a != 10*time.Millisecond || b <= time.Second || b > 5*time.Second/3 {
		t.Errorf("callers return after %s to %s", a, b)
	}
}

// Guards against odd limits that panic, grant more than rate x time + burst, or tell
// a time that is not positive.
func FuzzLimit(f *testing.F) {
	for _, x := range []float64{0, 5e-324, 1e-9, 1.6, 1e9, math.MaxFloat64, -1, math.Inf(1), math.NaN()} {
		for _, y := range []float64{0, 1, 1.6, 1e300, -1, math.Inf(1), math.NaN()} {
			f.Add(x, y, int64(time.Second), 3)
		}
	}
	f.Fuzz(func(t *testing.T, perSecond, burst float64, step int64, fronts int) {
		if rate.Valid(perSecond) != (perSecond > 0 && perSecond <= math.MaxFloat64) {
			t.Fatal("wrong validity")
		}
		if !rate.Valid(perSecond) {
			return
		}
		l := rate.New(start)
		q := question(perSecond, burst, 1)
		o := start
		k := max(fronts, 1)
		n, p := 0, 0
		for range 100 {
			o = o.Add(time.Duration(step & math.MaxUint32))
			w := l.Take(o, start, 1, q)
			l.RecordAnswer(o, q, 0, k, w)
			if w == 0 {
				n++
			}
			if w < 0 || w > time.Hour || l.Refuse(o, q, k, w, time.Second, 0.5) < 0 {
				t.Fatal("wait of", w)
			}
			if l.TakeReserve(o, q, 0, k) {
				p++
			}
		}
		b := max(burst, 1)
		if math.IsInf(b, 0) || math.IsNaN(b) {
			b = 1
		}
		if m := perSecond*o.Sub(start).Seconds()*(1+1e-9) + b; float64(n) > m || float64(p) > m {
			t.Errorf("%d and %d granted, allowed %g", n, p, m)
		}
	})
}
