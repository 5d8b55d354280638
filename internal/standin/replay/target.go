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
	maxFirstTokenRatio    = 1.05
	minIdleShare          = 0.9
	maxBlockedSteps       = 0
	maxSmallCallerRatio   = 1.5
	minGoodput            = 0.95
	maxAttemptsPerRequest = 1.1
	minFixedHitRatio      = 0.9
	maxPeakLoad           = 1.25
)

// statedTarget is a stated target with the measured value.
type statedTarget struct {
	name  string
	value float64
	limit float64
	// Whether the limit is a minimum instead of a maximum.
	minimum bool
}

func (t statedTarget) met() bool {
	if math.IsNaN(t.value) {
		return false
	}
	if t.minimum {
		return t.value >= t.limit
	}
	return t.value <= t.limit
}

// verdict describes whether the target is met, or by how much it is missed.
func (t statedTarget) verdict() string {
	switch {
	case t.met():
		return "met"
	case math.IsNaN(t.value):
		return "missed: no value"
	}
	return fmt.Sprintf("missed by %.3f", math.Abs(t.value-t.limit))
}

// targets returns the targets that apply to the scenario.
func (o *outcome) targets() []statedTarget {
	w := o.with
	switch o.scenario {
	case scenarioDay:
		return []statedTarget{
			{"online p99 to first token with batch / without", ratioOrNaN(w.quantile(99), o.without.quantile(99)), maxFirstTokenRatio, false},
			{"batch share of idle capacity", w.idleShare(), minIdleShare, true},
			{"steps with online waiting while batch holds a slot", float64(w.blockedSteps), maxBlockedSteps, false},
			{"prefix hits / with fixed runners", ratioOrNaN(float64(w.hits), float64(w.fixedHits)), minFixedHitRatio, true},
			{"peak load per runner / mean", w.peakLoad(), maxPeakLoad, false},
		}
	case scenarioOverload:
		return []statedTarget{{"goodput at twice capacity / at capacity", ratioOrNaN(w.goodput(), o.capacity), minGoodput, true}}
	case scenarioRunnerLost, scenarioHalfLost:
		return []statedTarget{{"attempts / requests", w.attemptsPerRequest(), maxAttemptsPerRequest, false}}
	case scenarioSmallCaller:
		return []statedTarget{
			{"small caller's first token with burst / without", meanRatio(w.smallCallerFirstToken, o.without.smallCallerFirstToken), maxSmallCallerRatio, false},
			{"small caller's answer with burst / without", meanRatio(w.smallCallerAnswer, o.without.smallCallerAnswer), maxSmallCallerRatio, false},
		}
	}
	return nil
}

// ratioOrNaN returns NaN if the denominator is 0.
func ratioOrNaN(numerator, denominator float64) float64 {
	if denominator == 0 {
		return math.NaN()
	}
	return numerator / denominator
}

// meanRatio returns the mean over the small callers of the time with the burst
// divided by the time without it. It returns NaN if a caller was not answered.
func meanRatio(with, without map[string]time.Duration) float64 {
	if len(with) < smallCallers || len(without) < smallCallers {
		return math.NaN()
	}
	m := 0.0
	for _, c := range slices.Sorted(maps.Keys(with)) {
		m += ratioOrNaN(with[c].Seconds(), without[c].Seconds()) / smallCallers
	}
	return m
}

// meanMS returns the mean in milliseconds, or 0 if there are no times.
func meanMS(times map[string]time.Duration) float64 {
	var s time.Duration
	for _, d := range times {
		s += d
	}
	return ratio(1000*s.Seconds(), float64(len(times)))
}
