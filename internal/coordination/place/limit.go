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
	// Samples of which the mean is compared. With fewer, calls of different
	// lengths look like queueing by chance.
	windowSamples = 30
	// Rise of the baseline with each window of samples that shared the backend
	// server with few others, so that it follows one that has become slower
	// for good. It does not rise under load, where queueing would pass for the
	// baseline.
	baselineRise = 1.1
)

// learned is the concurrency limit of a backend server that reports no slots:
// additive increase while latency is near its baseline, multiplicative
// decrease when it is not.
type learned struct {
	// 0 before the first sample.
	value   float64
	first   baseline
	between baseline
}

func (l *learned) limit() int {
	if l.value == 0 {
		return initialLimit
	}
	return int(l.value)
}

// sample takes the time to the first token of a call with a cost in tokens, the
// time and the number of the tokens after it, and the calls in flight when the
// call was dispatched.
func (l *learned) sample(first time.Duration, cost int64, rest time.Duration, tokens int64, inFlight int) {
	l.value = cmp.Or(l.value, initialLimit)
	u := inFlight == 1 || 2*inFlight <= int(l.value)
	s := l.first.slow(first, max(cost, 1), u)
	if tokens > 0 {
		s = l.between.slow(rest, tokens, u) || s
	}
	if s {
		l.value = max(math.Floor(l.value*decrease), 1)
		return
	}
	// Only a limit that was used has been tested.
	if 2*inFlight >= int(l.value) {
		l.value = min(l.value+1/l.value, maxLimit)
	}
}

// baseline follows a latency per token and its value without queueing. Per
// token, because the queue serves short calls first, so that the length of
// calls changes with the load.
type baseline struct {
	// Least time per token of a window, in nanoseconds, 0 before the first one.
	least float64
	// The current window: its sums, the number of samples, and whether one of
	// them shared the backend server with many others.
	sum     time.Duration
	tokens  int64
	samples int
	loaded  bool
}

// slow adds a sample and returns whether a window has ended that shows
// queueing.
func (b *baseline) slow(d time.Duration, tokens int64, unloaded bool) bool {
	b.sum += d
	b.tokens += tokens
	b.samples++
	b.loaded = b.loaded || !unloaded
	if b.samples < windowSamples {
		return false
	}
	m := float64(b.sum) / float64(b.tokens)
	switch {
	case b.least == 0 || m < b.least:
		b.least = m
	case !b.loaded:
		b.least = min(m, b.least*baselineRise)
	}
	b.sum = 0
	b.tokens = 0
	b.samples = 0
	b.loaded = false
	return m > queueingRatio*b.least
}
