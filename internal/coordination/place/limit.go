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
	decreaseFactor = 0.9
	// Samples of which the mean is compared. With fewer, calls of different
	// lengths look like queueing by chance.
	samplesPerWindow = 30
	// Rise of the baseline with each window of samples that shared the backend
	// server with few others, so that it follows one that has become slower
	// for good. It does not rise under load, where queueing would pass for the
	// baseline.
	baselineRise = 1.1
)

// adaptiveLimit is the concurrency limit of a backend server that reports no slots:
// additive increase while latency is near its baseline, multiplicative
// decrease when it is not.
type adaptiveLimit struct {
	// 0 before the first sample.
	current       float64
	firstToken    latencyBaseline
	betweenTokens latencyBaseline
}

func (l *adaptiveLimit) limit() int {
	if l.current == 0 {
		return initialLimit
	}
	return int(l.current)
}

// addSample takes the time to the first token of a call with a cost in tokens, the
// time and the number of the tokens after it, and the calls in flight when the
// call was dispatched.
func (l *adaptiveLimit) addSample(firstTokenTime time.Duration, cost int64, remainingTime time.Duration, remainingTokens int64, inFlight int) {
	l.current = cmp.Or(l.current, initialLimit)
	u := inFlight == 1 || 2*inFlight <= int(l.current)
	s := l.firstToken.addSample(firstTokenTime, max(cost, 1), u)
	if remainingTokens > 0 {
		s = l.betweenTokens.addSample(remainingTime, remainingTokens, u) || s
	}
	if s {
		l.current = max(math.Floor(l.current*decreaseFactor), 1)
		return
	}
	// Only a limit that was used has been tested.
	if 2*inFlight >= int(l.current) {
		l.current = min(l.current+1/l.current, maxLimit)
	}
}

// latencyBaseline follows a latency per token and its value without queueing. Per
// token, because the queue serves short calls first, so that the length of
// calls changes with the load.
type latencyBaseline struct {
	// Least time per token of a window, in nanoseconds, 0 before the first one.
	minTokenTime float64
	// The current window: its sums, the number of samples, and whether one of
	// them shared the backend server with many others.
	windowTime    time.Duration
	windowTokens  int64
	windowSamples int
	windowLoaded  bool
}

// addSample adds a sample and returns whether a window has ended that shows
// queueing.
func (b *latencyBaseline) addSample(duration time.Duration, tokens int64, unloaded bool) bool {
	b.windowTime += duration
	b.windowTokens += tokens
	b.windowSamples++
	b.windowLoaded = b.windowLoaded || !unloaded
	if b.windowSamples < samplesPerWindow {
		return false
	}
	m := float64(b.windowTime) / float64(b.windowTokens)
	switch {
	case b.minTokenTime == 0 || m < b.minTokenTime:
		b.minTokenTime = m
	case !b.windowLoaded:
		b.minTokenTime = min(m, b.minTokenTime*baselineRise)
	}
	b.windowTime = 0
	b.windowTokens = 0
	b.windowSamples = 0
	b.windowLoaded = false
	return m > queueingRatio*b.minTokenTime
}
