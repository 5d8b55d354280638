package gossip

import (
	"time"

	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A difference that lasts less is only the time that a change needs.
	minDivergence = 400 * time.Millisecond
	// The same for a copy that another front relays.
	minRelayedDivergence = 600 * time.Millisecond
)

// digestTracker decides when another front's digest calls for a new list. It is
// used by one goroutine.
type digestTracker struct {
	// By name of the other front.
	byFront map[string]*digestPair
}

// digestPair is what another front has told last.
type digestPair struct {
	remote, local uint64
	since         time.Time
	// A list was asked for because of this pair. If both stay as they are, the
	// other front is the one that is behind.
	refreshRequested bool
	missed           uint32
}

func newDigestTracker() *digestTracker { return &digestTracker{byFront: map[string]*digestPair{}} }

// needsRefresh says whether a new list is wanted, now that another front has told its
// digest. A digest of 0 is not known. A front that has just found a change that
// its watch had not told is followed at once, but by those that watch themselves
// only: they tell the others.
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
