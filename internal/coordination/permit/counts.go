package permit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// Uptime before which a front grants nothing: the others may not know of it
	// yet, and ask the front that counted before.
	joinDelay = 2 * time.Second
	// Time after which the count of a server to which nothing is sent is
	// dropped. By then it would be empty anyway.
	countLifetime = time.Minute
	// Time in which an unused limit adds up.
	burstSeconds = 1.5
)

// counts holds the requests to backend servers with a limit. It is safe for
// concurrent use.
type counts struct {
	startTime time.Time

	mu sync.Mutex
	// By server.
	limiters map[string]*rate.Limiter
	// When a request to a server was last asked for.
	askedAt map[string]time.Time
	// When unused counts were last dropped.
	prunedAt time.Time
}

func newCounts(now time.Time) counts {
	return counts{startTime: now, limiters: map[string]*rate.Limiter{}, askedAt: map[string]time.Time{}, prunedAt: now}
}

// take counts a request to a server that takes perSecond requests a second. It
// returns 0 if the request may be sent now, and otherwise, without counting it,
// the time until one may be.
func (c *counts) take(now time.Time, server string, perSecond float64) time.Duration {
	if d := joinDelay - now.Sub(c.startTime); d > 0 {
		return d
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	c.askedAt[server] = now
	l := c.limiters[server]
	b := int(max(math.Ceil(perSecond*burstSeconds), 1))
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), b)
		// Another front may have granted a burst just before.
		l.ReserveN(now, b)
		c.limiters[server] = l
	}
	if float64(l.Limit()) != perSecond {
		l.SetLimitAt(now, rate.Limit(perSecond))
		l.SetBurstAt(now, b)
	}
	r := l.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if d > 0 {
		r.CancelAt(now)
	}
	return d
}

// prune drops the counts of servers to which nothing is sent any more.
func (c *counts) prune(now time.Time) {
	if now.Sub(c.prunedAt) < countLifetime {
		return
	}
	c.prunedAt = now
	for n, t := range c.askedAt {
		if now.Sub(t) >= countLifetime {
			delete(c.askedAt, n)
			delete(c.limiters, n)
		}
	}
}
