package gossip

import (
	"time"

	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Shorter differences between digests are propagation delays of changes.
	minDivergence = 400 * time.Millisecond
	// The same for a copy that is replicated from another front.
	minRelayedDivergence = 600 * time.Millisecond
)

// digestTracker decides when a digest received from another front requires a
// new list. It must be used by one goroutine only.
type digestTracker struct {
	byFront map[string]*digestPair
}

// digestPair holds the digests and the counter of missed changes as of the last
// datagram of another front.
type digestPair struct {
	remote, local uint64
	// When this pair of digests was first seen.
	since time.Time
	// A list was requested because of this pair. If neither digest changes
	// after it, the other front is the stale one.
	refreshRequested bool
	missed           uint32
}

func newDigestTracker() *digestTracker { return &digestTracker{byFront: map[string]*digestPair{}} }

// needsRefresh reports whether the local copy must be listed anew after another
// front has sent its digest. A digest of 0 is unknown. If the other front has
// just found a change that its watch had missed, the answer is true without
// delay, but only on fronts that watch the platform themselves: these replicate
// the change to the rest.
func (c *digestTracker) needsRefresh(now time.Time, load *wire.Load, remote uint64, informer *inform.Informer) bool {
	o := informer.Digest()
	w := minDivergence
	d := c.byFront[load.GetName()]
	if d == nil {
		d = &digestPair{missed: load.GetMissed()}
		c.byFront[load.GetName()] = d
	}
	m := load.GetMissed() != d.missed
	if informer.Relayed() {
		m = false
		w = minRelayedDivergence
	}
	d.missed = load.GetMissed()
	if remote == o || remote == 0 || o == 0 {
		d.remote, d.local = remote, o
		return false
	}
	if d.remote != remote || d.local != o {
		d.remote, d.local, d.since, d.refreshRequested = remote, o, now, m
		return m
	}
	if d.refreshRequested || !m && now.Sub(d.since) < w {
		return false
	}
	d.refreshRequested = true
	return true
}
