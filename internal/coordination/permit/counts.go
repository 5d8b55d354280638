package permit

import (
	"sync"
	"time"

	"bulrushtrail.example/trail/internal/coordination/pacer"
)

const (
	// Uptime before which a front grants nothing: the others may not know of it
	// yet, and ask the front that counted before.
	joinDelay = 2 * time.Second
	// Time after which the count of a server to which nothing is sent is
	// dropped. By then it would be empty anyway.
	countLifetime = time.Minute
)

// counts holds the requests to backend servers with a limit. It is safe for
// concurrent use.
type counts struct {
	startTime time.Time

	mu sync.Mutex
	// By server.
	pacers map[string]*pacer.Pacer
	// When a request to a server was last asked for.
	askedAt map[string]time.Time
	// When unused counts were last dropped.
	prunedAt time.Time
}

func newCounts(now time.Time) counts {
	return counts{startTime: now, pacers: map[string]*pacer.Pacer{}, askedAt: map[string]time.Time{}, prunedAt: now}
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
	p := c.pacers[server]
	if p == nil {
		p = pacer.New(now, perSecond)
		c.pacers[server] = p
	}
	p.SetRate(now, perSecond)
	return p.Take(now)
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
			delete(c.pacers, n)
		}
	}
}
