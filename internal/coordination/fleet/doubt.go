package fleet

import (
	"slices"
	"time"
)

// HearTime is the time after which a front says that it does not hear another
// one. It is well under the time after which it counts that one as gone.
const HearTime = time.Second

// A front that went silent may live on the other side of a cut for so long, and
// may count this one as gone at any time in it.
const cutTime = 15 * time.Second

// Doubted returns when another front may last have counted this one as gone,
// though it lives: when they did not hear each other, or when this process did
// not run for a while.
func (f *Fleet) Doubted(now time.Time) time.Time {
	f.m.Lock()
	defer f.m.Unlock()
	f.tick(now)
	return f.doubted
}

// tick looks at the fronts that are silent and at the time since the last look.
func (f *Fleet) tick(now time.Time) {
	l := f.ticked
	f.ticked = now
	// The steady clock stands still while the host is suspended, the time of
	// day does not.
	if now.Sub(l) > HearTime || now.Round(0).Sub(l.Round(0)) > HearTime {
		f.doubted = now
		return
	}
	for n, t := range f.lost {
		if now.Sub(t) > cutTime {
			delete(f.lost, n)
		}
	}
	if len(f.lost) > 0 || f.silent(now) {
		f.doubted = now
	}
}

// silent says whether a front has not been heard lately. One that was about to
// stop has stopped.
func (f *Fleet) silent(now time.Time) bool {
	for _, p := range f.peers {
		if !p.load.GetLeaving() && now.Sub(p.seen) > HearTime {
			return true
		}
	}
	return false
}

// hears takes in which fronts another one does not hear.
func (f *Fleet) hears(now time.Time, unheard []string) {
	if slices.Contains(unheard, f.self) {
		f.doubted = now
	}
}
