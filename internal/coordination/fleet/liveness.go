package fleet

import (
	"slices"
	"time"
)

// HeartbeatTimeout is the time without a datagram after which a front reports
// another one as unheard. It is well below peerTimeout, after which that front
// is presumed dead.
const HeartbeatTimeout = time.Second

// A front that timed out may still be alive on the other side of a network
// partition for this long, and may presume this front dead at any time in it.
const partitionTimeout = 15 * time.Second

// A front that has lost all others at about the same time takes itself for the one
// that is cut off for this long.
const isolationTimeout = 8 * time.Second

// LastPresumedDead returns the latest time at which another front may have
// wrongly presumed this one dead: because they received no datagrams from each
// other, or because this process was suspended.
func (f *Fleet) LastPresumedDead(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	return f.lastPresumedDead
}

// AwakeSince returns when this process last went on after it had stood still, or
// when it started. The silence of other fronts before that says nothing about them.
func (f *Fleet) AwakeSince(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	return f.awakeSince
}

// Lost reports whether a front has timed out without having announced that it stops,
// not long ago.
func (f *Fleet) Lost(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, k := f.lostPeers[name]
	return k
}

// Isolated reports whether this front hears no other one, but has heard several not
// long ago. It is more likely that it is cut off than that all others are lost.
func (f *Fleet) Isolated(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if now.Sub(p.lastSeen) <= peerTimeout {
			return false
		}
	}
	n := len(f.peers)
	for _, t := range f.lostPeers {
		if now.Sub(t) <= isolationTimeout {
			n++
		}
	}
	return n > 1
}

// checkLiveness updates lastPresumedDead and awakeSince from the fronts that are
// silent and from the time since the last check. The caller holds the lock.
func (f *Fleet) checkLiveness(now time.Time) {
	l := f.lastLivenessCheck
	f.lastLivenessCheck = now
	// The monotonic clock stops while the host is suspended; the wall clock does
	// not.
	if now.Sub(l) > HeartbeatTimeout || now.Round(0).Sub(l.Round(0)) > HeartbeatTimeout {
		f.lastPresumedDead = now
		f.awakeSince = now
		return
	}
	for n, t := range f.lostPeers {
		if now.Sub(t) > partitionTimeout {
			delete(f.lostPeers, n)
		}
	}
	if len(f.lostPeers) > 0 || f.hasSilentPeer(now) {
		f.lastPresumedDead = now
	}
}

// hasSilentPeer reports whether a front has sent no datagram within
// HeartbeatTimeout. Fronts that announced that they stop are expected to be
// silent.
func (f *Fleet) hasSilentPeer(now time.Time) bool {
	for _, p := range f.peers {
		if !p.load.GetLeaving() && now.Sub(p.lastSeen) > HeartbeatTimeout {
			return true
		}
	}
	return false
}

// recordUnheard updates lastPresumedDead from the fronts that another one
// reports as unheard.
func (f *Fleet) recordUnheard(now time.Time, unheard []string) {
	if slices.Contains(unheard, f.self) {
		f.lastPresumedDead = now
	}
}
