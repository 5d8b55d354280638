package place

import (
	"cmp"
	"math"
	"time"
)

const (
	// Concurrency limit before the first sample.
	initialLimit = 16
	maxLimit     = 1024
	// If latency exceeds this multiple of the baseline, the backend server is
	// queueing calls internally.
	queueingRatio = 2
	// Factor by which the limit decreases when the backend server is queueing.
	decreaseFactor = 0.9
	// Samples per window over which latency is averaged. With fewer samples,
	// random differences in call length look like queueing.
	samplesPerWindow = 30
	// Factor by which the baseline may rise per window in which the load was
	// low, so that it follows a backend server that has become permanently
	// slower. It does not rise under load, where queueing delay would become
	// part of the baseline.
	baselineRise = 1.1
)

// adaptiveLimit is the concurrency limit of a backend server that reports no
// slots. It increases additively while latency is near its baseline and
// decreases multiplicatively when latency is well above it.
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

// addSample records a completed call: the time to its first token, its cost in
// tokens, the time and the number of the remaining tokens, and the calls in
// flight on the backend server when it was dispatched.
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
	// A limit that was not nearly reached has not been tested.
	if 2*inFlight >= int(l.current) {
		l.current = min(l.current+1/l.current, maxLimit)
	}
}

// latencyBaseline estimates the latency per token without queueing. Latency is
// measured per token because the queue serves short calls first, so that the
// mean call length changes with the load.
type latencyBaseline struct {
	// Baseline in nanoseconds: the lowest mean time per token of a window,
	// raised by baselineRise. 0 before the first window.
	minTokenTime float64
	// Sums over the current window, and whether one of its samples was taken
	// under load.
	windowTime    time.Duration
	windowTokens  int64
	windowSamples int
	windowLoaded  bool
}

// addSample records a sample and returns whether it completes a window that
// shows queueing.
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
