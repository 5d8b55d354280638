package place

import (
	"cmp"
	"math"
	"time"
)

const (
	// Concurrent calls at a backend server of which nothing is known.
	initialLimit = 16
	maxLimit     = 1024
	// Latency above this multiple of the baseline means that the backend
	// server queues calls itself.
	queueingRatio = 2
	// Share of the limit that is kept when the backend server queues.
	decrease = 0.9
	// The limit falls at most once in this time, because the calls in flight
	// all show the same congestion.
	decreasePeriod = time.Second
	// Rise of the baseline with each sample, so that it follows a backend
	// server that has become slower for good.
	baselineRise = 1.002
)

// learned is the concurrency limit of a backend server that reports no slots:
// additive increase while latency is near its baseline, multiplicative
// decrease when it is not.
type learned struct {
	// 0 before the first sample.
	value   float64
	first   baseline
	between baseline
	lowered time.Time
}

func (l *learned) limit() int {
	if l.value == 0 {
		return initialLimit
	}
	return int(l.value)
}

// sample takes the time to first token, the time between tokens (0 when the
// answer had only one) and the calls in flight when the call was dispatched.
func (l *learned) sample(now time.Time, first, between time.Duration, inFlight int) {
	l.value = cmp.Or(l.value, initialLimit)
	s := l.first.slow(first)
	if between > 0 {
		s = l.between.slow(between) || s
	}
	if !s {
		// Only a limit that was used has been tested.
		if 2*inFlight >= int(l.value) {
			l.value = min(l.value+1/l.value, maxLimit)
		}
		return
	}
	if now.Sub(l.lowered) >= decreasePeriod {
		l.lowered = now
		l.value = max(math.Floor(l.value*decrease), 1)
	}
}

// baseline is the latency without queueing, 0 before the first sample.
type baseline time.Duration

// slow adds a sample and returns whether it shows queueing.
func (b *baseline) slow(d time.Duration) bool {
	if *b == 0 {
		*b = baseline(d)
		return false
	}
	*b = baseline(min(float64(d), float64(*b)*baselineRise))
	return d > queueingRatio*time.Duration(*b)
}
