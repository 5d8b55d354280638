package jobs

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	firstLimit = 8
	maxLimit   = 256
	// Waits after a refusal without a retry-after, doubled for each in a row.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// limit is the number of calls of one job in flight. It doubles in each round
// trip until the first refusal, then grows by one in each round trip, and is
// halved by a refusal.
type limit struct {
	size float64
	// Whether a call was refused before.
	refused bool
	// Time of the last cut. Refusals of calls sent before it don't cut again.
	cut time.Time
}

func newLimit() limit { return limit{size: firstLimit} }

func (l *limit) accepted() {
	if l.refused {
		l.size += 1 / l.size
	} else {
		l.size++
	}
	l.size = min(l.size, maxLimit)
}

func (l *limit) refuse(now, sent time.Time) {
	l.refused = true
	if sent.Before(l.cut) {
		return
	}
	l.size = max(l.size/2, 1)
	l.cut = now
}

// backoff returns the wait after the n-th refusal in a row, n from 1. The key
// spreads the waits of different items by up to a half.
func backoff(n int, key string) time.Duration {
	d := maxBackoff
	if n < 8 {
		d = min(firstBackoff<<(n-1), maxBackoff)
	}
	return d/2 + time.Duration(xxhash.Sum64String(key)%uint64(d/2+1))
}
