package budget

import (
	"sync"
	"time"

	trail "bulrushtrail.example/trail"
)

const (
	// Bytes that a connection costs without a request: its two buffers of 4 KB, the
	// stack of its goroutine and the structures of net/http.
	connectionBytes = 16 << 10
	// A claim up to this size is small.
	smallBytes = 64 << 10
	// Part of the bytes that is kept for small claims.
	smallShare = 0.25
	// A client that has moved this many bytes has made progress.
	progressBytes = 16 << 10
	// Part of the stall time after which a connection gives way to a new one. A caller
	// whose connection is not accepted waits for it, and gives up after a second or more.
	connectionStallShare = 0.25
)

// Budget bounds what is held for the clients of a process. Its methods are safe for
// concurrent use.
type Budget struct {
	// Largest number of bytes held for all clients, 0 for no limit.
	maxBytes int64
	// Largest number of connections, 0 for no limit.
	maxConnections int
	// Time without progress of a client after which it may have to give way.
	stall time.Duration

	mu sync.Mutex
	// Bytes held: by the claims, and taken for responses.
	used   int64
	claims map[*claim]struct{}
	// Connections that had to give way, for want of bytes or of connections.
	closedForBytes, closedForConnections int64
	// Claims that were refused.
	refused int64
}

// New returns a budget of a number of bytes and of connections, 0 for no limit. A client
// may have to give way after the stall time without progress.
func New(bytes int64, connections int, stall time.Duration) *Budget {
	return &Budget{maxBytes: bytes, maxConnections: connections, stall: stall, claims: map[*claim]struct{}{}}
}

// Held returns the bytes that are held, and the number of connections.
func (b *Budget) Held() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.claims)
}

// Closed returns how many connections had to give way, for want of bytes and of
// connections.
func (b *Budget) Closed() (forBytes, forConnections int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedForBytes, b.closedForConnections
}

// Refused returns how many claims were refused.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Open implements trail.ClientBudget.
func (b *Budget) Open(now time.Time, disconnect func()) trail.ClientClaim {
	c := &claim{budget: b, disconnect: disconnect, bytes: connectionBytes, awaiting: true, awaitingSince: now}
	v, o := b.open(now, c)
	v.giveWay()
	if !o {
		return nil
	}
	return c
}

// open adds a claim, and returns the one that gives way to it, if any.
func (b *Budget) open(now time.Time, added *claim) (victim *claim, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.maxConnections; n > 0 && len(b.claims) >= n {
		victim = b.stalled(now, time.Duration(connectionStallShare*float64(b.stall)), nil)
		if victim == nil {
			return nil, false
		}
		b.closedForConnections++
		b.remove(victim)
	}
	b.used += added.bytes
	b.claims[added] = struct{}{}
	return victim, true
}

// Take takes bytes for a response, which Return gives back. It reports whether there is
// room for them.
func (b *Budget) Take(bytes int) bool { return b.take(time.Now(), nil, int64(bytes)) }

// Return gives back bytes that Take has taken.
func (b *Budget) Return(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= int64(bytes)
}

// take takes bytes for a claim, nil for a response. Stalled claims give way until there
// is room.
func (b *Budget) take(now time.Time, taker *claim, bytes int64) bool {
	for {
		v, o := b.tryTake(now, taker, bytes)
		if v == nil {
			return o
		}
		v.giveWay()
	}
}

// tryTake takes bytes if there is room. If there is none, it removes the claim that must
// give way and returns it.
func (b *Budget) tryTake(now time.Time, taker *claim, bytes int64) (victim *claim, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if taker != nil && taker.closed {
		return nil, false
	}
	n := b.maxBytes
	if taker != nil && taker.bytes+bytes > smallBytes {
		n -= int64(smallShare * float64(n))
	}
	if b.maxBytes == 0 || b.used+bytes <= n {
		b.used += bytes
		if taker != nil {
			taker.bytes += bytes
		}
		return nil, true
	}
	// A claim that would not fit beside the connections alone closes nothing.
	if bytes+connectionBytes*int64(len(b.claims)) <= n {
		victim = b.stalled(now, b.stall, taker)
	}
	if victim == nil {
		b.refused++
		return nil, false
	}
	b.closedForBytes++
	b.remove(victim)
	return victim, false
}

// stalled returns the claim whose client has been waited for longest, but nil if none has
// for the given time. With a taker, only claims are considered that hold more than their
// connection.
func (b *Budget) stalled(now time.Time, least time.Duration, taker *claim) *claim {
	var v *claim
	for c := range b.claims {
		if c == taker || taker != nil && c.bytes <= connectionBytes {
			continue
		}
		if d := c.waitedFor(now); d >= least {
			v, least = c, d
		}
	}
	return v
}

// remove gives back what a claim holds. It must be called with the lock held.
func (b *Budget) remove(removed *claim) {
	if removed.closed {
		return
	}
	removed.closed = true
	b.used -= removed.bytes
	removed.bytes = 0
	delete(b.claims, removed)
}
