package fleet

import (
	"slices"
	"time"
)

// HeartbeatTimeout is the time after which a front says that it does not hear another
// one. It is well under the time after which it counts that one as gone.
const HeartbeatTimeout = time.Second

// A front that went silent may live on the other side of a cut for so long, and
// may count this one as gone at any time in it.
const partitionTimeout = 15 * time.Second

// LastPresumedDead returns when another front may last have counted this one as gone,
// though it lives: when they did not hear each other, or when this process did
// not run for a while.
func (f *Fleet) LastPresumedDead(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	return f.lastPresumedDead
}

// checkLiveness looks at the fronts that are silent and at the time since the last look.
func (f *Fleet) checkLiveness(now time.Time) {
	l := f.lastLivenessCheck
	f.lastLivenessCheck = now
	// The steady clock stands still while the host is suspended, the time of
	// day does not.
	if now.Sub(l) > HeartbeatTimeout || now.Round(0).Sub(l.Round(0)) > HeartbeatTimeout {
		f.lastPresumedDead = now
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

// hasSilentPeer says whether a front has not been heard lately. One that was about to
// stop has stopped.
func (f *Fleet) hasSilentPeer(now time.Time) bool {
	for _, p := range f.peers {
		if !p.load.GetLeaving() && now.Sub(p.lastSeen) > HeartbeatTimeout {
			return true
		}
	}
	return false
}

// recordUnheard takes in which fronts another one does not hear.
func (f *Fleet) recordUnheard(now time.Time, unheard []string) {
	if slices.Contains(unheard, f.self) {
		f.lastPresumedDead = now
	}
}
