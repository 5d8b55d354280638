package rate

import (
	"math"
	"time"
)

const (
	// A bucket refills at half its rate in the first second after its front has begun
	// to count: the front that counted before is still asked for a heartbeat.
	startPeriod = time.Second
	startRate   = 0.5
	// Longest wait that is told.
	maxWait = time.Hour
)

// bucket is a token bucket.
type bucket struct {
	// In tokens a second, and tokens. Both are finite and positive.
	perSecond, capacity float64
	// Tokens as of a time.
	level float64
	at    time.Time
	// When the front began to count.
	since time.Time
}

// newBucket returns a bucket that was empty when the front began to count.
func newBucket(since time.Time, perSecond, capacity float64) *bucket {
	return &bucket{perSecond: perSecond, capacity: capacity, at: since, since: since}
}

func (b *bucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}
	t := now.Sub(b.at)
	if e := b.since.Add(startPeriod); b.at.Before(e) {
		t -= time.Duration((1 - startRate) * float64(min(t, e.Sub(b.at))))
	}
	b.level = min(b.level+b.perSecond*t.Seconds(), b.capacity)
	b.at = now
}

// setLimit changes the rate and the capacity. It is not known when the rate changed
// since the last request, so the lower one counts until now. What the bucket holds
// above the new capacity is lost.
func (b *bucket) setLimit(now time.Time, perSecond, capacity float64) {
	b.perSecond = min(b.perSecond, perSecond)
	b.advance(now)
	b.perSecond, b.capacity = perSecond, capacity
	b.level = min(b.level, capacity)
}

// take takes a token and returns 0, or returns the time until there is one.
func (b *bucket) take(now time.Time) time.Duration {
	b.advance(now)
	if b.level < 1 {
		return seconds((1 - b.level) / b.perSecond)
	}
	b.level--
	return 0
}

// full reports whether the bucket would be the same if it were created anew.
func (b *bucket) full(now time.Time) bool {
	b.advance(now)
	return b.level >= b.capacity
}

// seconds returns a positive duration, maxWait at most.
func seconds(value float64) time.Duration {
	if !(value < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(math.Ceil(value * float64(time.Second)))
}
