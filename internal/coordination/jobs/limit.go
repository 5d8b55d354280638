package jobs

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	initialLimit = 8
	maxLimit     = 256
	// Waits after a refusal without a retry-after, doubled for each in a row.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// concurrencyLimit is the number of calls of one job in flight. It doubles in each round
// trip until the first refusal, then grows by one in each round trip, and is
// halved by a refusal.
type concurrencyLimit struct {
	size float64
	// Whether a call was refused before.
	wasRefused bool
	// Time of the last cut. Refusals of calls sent before it don't cut again.
	lastDecrease time.Time
}

func newConcurrencyLimit() concurrencyLimit { return concurrencyLimit{size: initialLimit} }

func (l *concurrencyLimit) increase() {
	if l.wasRefused {
		l.size += 1 / l.size
	} else {
		l.size++
	}
	l.size = min(l.size, maxLimit)
}

func (l *concurrencyLimit) decrease(now, started time.Time) {
	l.wasRefused = true
	if started.Before(l.lastDecrease) {
		return
	}
	l.size = max(l.size/2, 1)
	l.lastDecrease = now
}

// backoff returns the wait after the n-th refusal in a row, n from 1. The key
// spreads the waits of different items by up to a half.
func backoff(failures int, key string) time.Duration {
	d := maxBackoff
	if failures < 8 {
		d = min(initialBackoff<<(failures-1), maxBackoff)
	}
	return d/2 + time.Duration(xxhash.Sum64String(key)%uint64(d/2+1))
}
