package fleet

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Time after its start, and after it has stood still, for which a front does not
	// count the requests of teams: the others may still ask the front that counted
	// before.
	countingDelay = 2 * time.Second
	// Time for which a front still counts for a team after it has heard that a front
	// ahead of it counts. That front tells all others with its next heartbeat.
	counterOverlap = 300 * time.Millisecond
	// Time without a datagram of another front after which this one no longer counts
	// for it in a small fleet: two lost heartbeats. It is short because a front that
	// counts and is cut off grants the whole limit to its own callers until then. In a
	// large fleet other fronts are heard less often, and each has fewer callers.
	counterSilence = 600 * time.Millisecond
	// Time after which the end of another front's counting is forgotten.
	counterMemory = 10 * time.Minute
)

// rateCounters records which other fronts count the requests of teams.
type rateCounters struct {
	// When this front first heard that a front counts, by name, for those that count.
	began map[string]time.Time
	// When a front that counted has stopped to do so, by name.
	ended map[string]time.Time
	// When this front last heard a front again that it had lost with half of all
	// fronts or more. Another front has counted in their part of a partition.
	rejoinedAt time.Time
}

// record records whether a front counts by its datagram.
func (c *rateCounters) record(now time.Time, load *wire.Load) {
	n := load.GetName()
	_, k := c.began[n]
	switch {
	case !load.GetCountsRates() || load.GetLeaving():
		c.end(n, now)
	case !k:
		if c.began == nil {
			c.began, c.ended = map[string]time.Time{}, map[string]time.Time{}
		}
		c.began[n] = now
		delete(c.ended, n)
	}
}

// end records that a front has stopped counting, if it counted.
func (c *rateCounters) end(front string, at time.Time) {
	_, k := c.began[front]
	if !k {
		return
	}
	delete(c.began, front)
	for n, t := range c.ended {
		if at.Sub(t) > counterMemory {
			delete(c.ended, n)
		}
	}
	c.ended[front] = at
}

// recordCounter records whether another front counts, by its datagram.
func (f *Fleet) recordCounter(now time.Time, load *wire.Load) {
	f.counters.record(now, load)
	_, k := f.lostPeers[load.GetName()]
	if !k {
		return
	}
	h, l := f.heardPeers(now)
	// That front is among both.
	if h-1 <= l {
		f.counters.rejoinedAt = now
	}
}

// countsRates reports whether this front counts the requests of teams. The caller
// holds the lock.
func (f *Fleet) countsRates(now time.Time) bool {
	f.checkLiveness(now)
	return !f.leaving && now.Sub(f.awakeSince) >= countingDelay
}

// CountsRates reports whether this front counts the requests of teams for others.
func (f *Fleet) CountsRates(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countsRates(now)
}

// RateCounter returns the front that counts the requests of a team: the first in
// rendezvous order among the live fronts of all data centres that say that they
// count and do not stop. It is empty if there is none.
func (f *Fleet) RateCounter(now time.Time, team string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := hashOf(team)
	var b string
	var m uint64
	if f.countsRates(now) {
		b, m = f.self, rateScore(h, hashOf(f.self))
	}
	for n := range f.counters.began {
		p := f.peers[n]
		if p == nil || now.Sub(p.lastSeen) > peerTimeout {
			continue
		}
		if r := rateScore(h, p.nameHash); b == "" || r > m {
			b, m = n, r
		}
	}
	return b
}

// CountingSince returns since when this front has counted the requests of a team,
// and false if it does not count them, because it has not done so long enough or a
// front ahead of it does. A front that stops goes on until the others have heard.
func (f *Fleet) CountingSince(now time.Time, team string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	s := latest(f.awakeSince.Add(countingDelay), f.counters.rejoinedAt)
	if now.Before(s) {
		return s, false
	}
	h := hashOf(team)
	o := rateScore(h, hashOf(f.self))
	for n, t := range f.counters.began {
		p := f.peers[n]
		if p == nil || rateScore(h, p.nameHash) <= o {
			continue
		}
		e := p.lastSeen.Add(peerTimeout)
		if now.After(e) {
			s = latest(s, e)
		} else if now.Sub(t) > counterOverlap {
			return s, false
		}
	}
	for n, t := range f.counters.ended {
		if rateScore(h, hashOf(n)) > o {
			s = latest(s, t)
		}
	}
	return s, true
}

// RateShare returns the part of the limits of teams that this front counts: that of
// the fronts that it hears. The others may be beyond a partition, and another front
// may count for them.
func (f *Fleet) RateShare(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	h, l := f.heardPeers(now)
	return float64(h) / float64(h+l)
}

// heardPeers returns how many fronts this one hears, with itself, and how many it
// does not hear although they have not announced that they stop.
func (f *Fleet) heardPeers(now time.Time) (heard, lost int) {
	heard, lost = 1, len(f.lostPeers)
	s := counterSilence
	if len(f.peers) > SmallFleetPeers {
		s = HeartbeatTimeout
	}
	for _, p := range f.peers {
		switch {
		case p.load.GetLeaving():
		case now.Sub(p.lastSeen) > s:
			lost++
		default:
			heard++
		}
	}
	return heard, lost
}

// RateReserve returns the position of this front in the reverse rendezvous order of a
// team among all fronts that may be alive, and their number. It returns false for a
// front that may not have heard the others yet since its start or since it stood
// still.
func (f *Fleet) RateReserve(now time.Time, team string) (position, fronts int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	h := hashOf(team)
	o := rateScore(h, hashOf(f.self))
	fronts = 1
	a := func(name uint64) {
		fronts++
		if rateScore(h, name) < o {
			position++
		}
	}
	for _, p := range f.peers {
		if !p.load.GetLeaving() {
			a(p.nameHash)
		}
	}
	for n := range f.lostPeers {
		a(hashOf(n))
	}
	return position, fronts, now.Sub(f.awakeSince) >= HeartbeatTimeout
}

// rateScore orders the fronts for a team, by the hashes of both names. A front that
// counts computes the scores of all others for each question, so it hashes no text for
// them. This is the finalizer of SplitMix64, which makes each bit depend on all.
func rateScore(team, front uint64) uint64 {
	x := team ^ front
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
