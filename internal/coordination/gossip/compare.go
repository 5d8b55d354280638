package gossip

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// A difference that lasts less is only the time that a change needs.
const differenceTime = 400 * time.Millisecond

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
// its watch had not told is followed at once.
func (c *comparison) due(now time.Time, l *wire.Load, theirs, own uint64) bool {
	d := c.fronts[l.GetName()]
	if d == nil {
		d = &difference{missed: l.GetMissed()}
		c.fronts[l.GetName()] = d
	}
	m := l.GetMissed() != d.missed
	d.missed = l.GetMissed()
	if theirs == own || theirs == 0 || own == 0 {
		d.theirs, d.own = theirs, own
		return false
	}
	if d.theirs != theirs || d.own != own {
		d.theirs, d.own, d.since, d.asked = theirs, own, now, m
		return m
	}
	if d.asked || !m && now.Sub(d.since) < differenceTime {
		return false
	}
	d.asked = true
	return true
}
