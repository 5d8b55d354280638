package place

import (
	"math"
	"time"
)

const (
	// Online calls that arrive within this time are one burst.
	burstWindow = 250 * time.Millisecond
	// Time in which a burst's weight falls to 1/e.
	burstDecay = 10 * time.Second
	// Share of the slots without online work that the headroom takes at most,
	// with the default batch-share: batch work must use 90% of idle capacity.
	maxHeadroomShare = 0.1
	// Weight of batch throughput when the services text names none.
	defaultBatchShare = 50
)

// burstTracker follows the number of online calls that arrive together.
type burstTracker struct {
	// Start and size of the current window.
	windowStart time.Time
	windowCount int
	// Largest burst before the current window, decayed to its start.
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

// decayedPeak returns the decayed size of the largest recent burst.
func (b *burstTracker) decayedPeak(now time.Time) float64 {
	if b.windowStart.IsZero() {
		return 0
	}
	d := math.Exp(-float64(now.Sub(b.windowStart)) / float64(burstDecay))
	return max(b.peak, float64(b.windowCount)) * d
}

// headroom returns the slots of each backend server, in the order of the
// service's list, that batch calls leave free for the next online burst. It is
// spread evenly, so that no backend server is free of batch work.
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
