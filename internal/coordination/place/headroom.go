package place

import (
	"math"
	"time"
)

const (
	// Online calls that arrive within this window count as one burst.
	burstWindow = 250 * time.Millisecond
	// Time constant of the exponential decay of a burst.
	burstDecay = 10 * time.Second
	// Maximum headroom as a share of the slots without online work, with the
	// default batch-share: batch work must use 90% of the idle capacity.
	maxHeadroomShare = 0.1
	// Batch-share, the weight of batch throughput in percent, of a service
	// whose configuration has none.
	defaultBatchShare = 50
)

// burstTracker tracks the number of online calls that arrive at nearly the same
// time.
type burstTracker struct {
	windowStart time.Time
	windowCount int
	// Largest burst before the current window, decayed to the window's start.
	peak float64
}

func (b *burstTracker) recordArrival(now time.Time) {
	if now.Sub(b.windowStart) >= burstWindow {
		b.peak = b.decayedPeak(now)
		b.windowStart = now
		b.windowCount = 0
	}
	b.windowCount++
}

// decayedPeak returns the size of the largest recent burst, decayed to now.
func (b *burstTracker) decayedPeak(now time.Time) float64 {
	if b.windowStart.IsZero() {
		return 0
	}
	d := math.Exp(-float64(now.Sub(b.windowStart)) / float64(burstDecay))
	return max(b.peak, float64(b.windowCount)) * d
}

// headroom returns the number of slots that batch calls leave free for the next
// online burst, per backend server in the order of v.servers. It is spread
// evenly, so that every backend server keeps running batch work.
func (v *service) headroom(now time.Time) []int {
	l := make([]int, len(v.servers))
	n := 0
	u := 0
	for _, s := range v.servers {
		if s.usable(now) {
			n += max(s.limit()-s.onlineInFlight-s.externalLoad, 0)
			u++
		}
	}
	if u == 0 {
		return l
	}
	b := float64(defaultBatchShare)
	if v.config.HasBatchShare() {
		b = float64(v.config.GetBatchShare())
	}
	m := maxHeadroomShare * float64(n) * (100 - b) / (100 - defaultBatchShare)
	h := int(min(math.Round(v.onlineBurst.decayedPeak(now)), math.Floor(m)))
	i := 0
	for j, s := range v.servers {
		if !s.usable(now) {
			continue
		}
		l[j] = h / u
		if i < h%u {
			l[j]++
		}
		i++
	}
	return l
}
