package gossip

import "time"

// A difference that lasts less is only the time that a change needs.
const differenceTime = 400 * time.Millisecond

// comparison decides when another front's digest calls for a new list. It is
// used by one goroutine.
type comparison struct {
	// By name of the other front.
	fronts map[string]difference
}

// difference is a pair of digests that differ.
type difference struct {
	theirs, own uint64
	since       time.Time
	// A list was asked for because of this pair. If both stay as they are, the
	// other front is the one that is behind.
	asked bool
}

func newComparison() *comparison { return &comparison{fronts: map[string]difference{}} }

// due says whether a new list is wanted, now that another front has told its
// digest. A digest of 0 is not known.
func (c *comparison) due(now time.Time, front string, theirs, own uint64) bool {
	if theirs == own || theirs == 0 || own == 0 {
		delete(c.fronts, front)
		return false
	}
	d, ok := c.fronts[front]
	if !ok || d.theirs != theirs || d.own != own {
		c.fronts[front] = difference{theirs: theirs, own: own, since: now}
		return false
	}
	if d.asked || now.Sub(d.since) < differenceTime {
		return false
	}
	d.asked = true
	c.fronts[front] = d
	return true
}
