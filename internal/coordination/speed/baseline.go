package speed

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Measurements of a size class before samples are made from it. Fewer say more
	// about the servers that happened to answer than about the size.
	minMeasured = 5
	// Least weight of the newest measurement in a baseline. Baselines follow changes of
	// the requests, in about 30 requests of a class.
	baselineWeight = 0.03
)

// baseline is the mean logarithm of a time, in seconds, at a server of mean speed, by
// size class.
type baseline map[int]*classMean

type classMean struct {
	mean  float64
	count int
}

// sizeClass returns the class of a request: sizes of one class differ by a factor of
// two at most.
func sizeClass(size int64) int { return bits.Len64(uint64(max(size, 0))) }

// measure adds a time to the baseline, and returns the logarithm of the time divided by
// the usual one before, and whether that is known. expected is the logarithm of the
// factor by which the server is known to differ from the mean: without it, a class that
// only slow servers answer would make them look like the mean.
func (b baseline) measure(class int, measured time.Duration, expected float64) (float64, bool) {
	y := math.Log(max(measured.Seconds(), 1e-4))
	c := b[class]
	if c == nil {
		c = &classMean{}
		b[class] = c
	}
	r := y - c.mean
	k := c.count >= minMeasured
	c.count++
	d := y - expected - c.mean
	if k {
		d = clamp(d, maxResidual)
	}
	c.mean += max(baselineWeight, 1/float64(c.count)) * d
	return r, k
}

// mean returns the mean over all size classes that are known, negative infinity if
// there is none.
func (b baseline) mean() float64 {
	t, n := 0.0, 0
	for _, c := range b {
		if c.count >= minMeasured {
			t += c.mean * float64(c.count)
			n += c.count
		}
	}
	if n == 0 {
		return math.Inf(-1)
	}
	return t / float64(n)
}

// clamp limits a value to the range from -limit to limit.
func clamp(value, limit float64) float64 { return max(-limit, min(value, limit)) }
