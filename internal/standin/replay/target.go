package replay

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// The stated targets of design.md, section 1.4.
const (
	maxFirstRatio  = 1.05
	minIdleShare   = 0.9
	maxHeldUp      = 0
	maxSmallRatio  = 1.5
	minGoodput     = 0.95
	maxAttempts    = 1.1
	minHitsOfFixed = 0.9
	maxPeakLoad    = 1.25
)

// target is one stated target with the value that a run gave.
type target struct {
	name  string
	value float64
	limit float64
	// Whether the value must not be below the limit, instead of above it.
	least bool
}

func (t target) met() bool {
	if math.IsNaN(t.value) {
		return false
	}
	if t.least {
		return t.value >= t.limit
	}
	return t.value <= t.limit
}

// verdict says whether the target is met or by how much it is missed.
func (t target) verdict() string {
	switch {
	case t.met():
		return "met"
	case math.IsNaN(t.value):
		return "missed: no value"
	}
	return fmt.Sprintf("missed by %.3f", math.Abs(t.value-t.limit))
}

// targets returns the targets that a scenario shows.
func (o *outcome) targets() []target {
	w := o.with
	switch o.scenario {
	case day:
		return []target{
			{"online p99 to first token with batch / without", over(w.quantile(99), o.without.quantile(99)), maxFirstRatio, false},
			{"batch share of idle capacity", w.idleShare(), minIdleShare, true},
			{"steps with online waiting while batch holds a slot", float64(w.heldUp), maxHeldUp, false},
			{"prefix hits / with fixed runners", over(float64(w.hits), float64(w.fixedHits)), minHitsOfFixed, true},
			{"peak load per runner / mean", w.peakLoad(), maxPeakLoad, false},
		}
	case overload:
		return []target{{"goodput at twice capacity / at capacity", over(w.goodput(), o.capacity), minGoodput, true}}
	case oneLost, halfLost:
		return []target{{"attempts / requests", w.attemptsPerRequest(), maxAttempts, false}}
	case smallOne:
		return []target{
			{"small caller's first token with burst / without", meanRatio(w.smallFirst, o.without.smallFirst), maxSmallRatio, false},
			{"small caller's answer with burst / without", meanRatio(w.smallDone, o.without.smallDone), maxSmallRatio, false},
		}
	}
	return nil
}

// over is a ratio that is not a number when there is nothing to compare with.
func over(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// meanRatio is the mean over the small callers of a time with the burst against
// the time without it. It is not a number when one was not answered.
func meanRatio(with, without map[string]time.Duration) float64 {
	if len(with) < smallCallers || len(without) < smallCallers {
		return math.NaN()
	}
	m := 0.0
	for _, c := range slices.Sorted(maps.Keys(with)) {
		m += over(with[c].Seconds(), without[c].Seconds()) / smallCallers
	}
	return m
}

// meanMS is the mean in milliseconds.
func meanMS(times map[string]time.Duration) float64 {
	var s time.Duration
	for _, d := range times {
		s += d
	}
	return ratio(1000*s.Seconds(), float64(len(times)))
}
