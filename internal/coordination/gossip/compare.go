package gossip

import (
	"time"

	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A difference that lasts less is only the time that a change needs.
	differenceTime = 400 * time.Millisecond
	// The same for a copy that another front relays.
	relayedTime = 600 * time.Millisecond
)

// comparison decides when another front's digest calls for a new list. It is
// used by one goroutine.
type comparison struct {
	// By name of the other front.
	fronts map[string]*difference
}

// difference is what another front has told last.
type difference struct {
	theirs, own uint64
	since       time.Time
	// A list was asked for because of this pair. If both stay as they are, the
	// other front is the one that is behind.
	asked  bool
	missed uint32
}

func newComparison() *comparison { return &comparison{fronts: map[string]*difference{}} }

// due says whether a new list is wanted, now that another front has told its
// digest. A digest of 0 is not known. A front that has just found a change that
// its watch had not told is followed at once, but by those that watch themselves
// only: they tell the others.
func (c *comparison) due(now time.Time, l *wire.Load, theirs uint64, copied *inform.Informer) bool {
	o := copied.Digest()
	w := differenceTime
	d := c.fronts[l.GetName()]
	if d == nil {
		d = &difference{missed: l.GetMissed()}
		c.fronts[l.GetName()] = d
	}
	m := l.GetMissed() != d.missed
	if copied.Relayed() {
		m = false
		w = relayedTime
	}
	d.missed = l.GetMissed()
	if theirs == o || theirs == 0 || o == 0 {
		d.theirs, d.own = theirs, o
		return false
	}
	if d.theirs != theirs || d.own != o {
		d.theirs, d.own, d.since, d.asked = theirs, o, now, m
		return m
	}
	if d.asked || !m && now.Sub(d.since) < w {
		return false
	}
	d.asked = true
	return true
}
