package jobs

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	initialLimit = 8
	maxLimit     = 256
	// Backoff after the first failure. It doubles with each consecutive failure
	// up to maxBackoff; a longer retry-after takes precedence.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// concurrencyLimit limits the calls of one job in flight. It doubles in each
// round trip until the first refusal (slow start), then grows by one per round
// trip, and is halved by a refusal (additive increase, multiplicative decrease).
type concurrencyLimit struct {
	size float64
	// Set by the first refusal, which ends the slow start.
	wasRefused bool
	// Refusals of calls sent before the last decrease do not lower the limit
	// again.
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

// backoff returns the delay after a number of consecutive failures, counted
// from 1. The delay is between half of the nominal backoff and the whole,
// depending on the key, so that different items are not retried all at once.
func backoff(failures int, key string) time.Duration {
	d := maxBackoff
	if failures < 8 {
		d = min(initialBackoff<<(failures-1), maxBackoff)
	}
	return d/2 + time.Duration(xxhash.Sum64String(key)%uint64(d/2+1))
}
