package inform

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Least time between two lists that Refresh has asked for.
const refreshPause = 250 * time.Millisecond

const (
	// The first front lists when its copy was last confirmed so long ago.
	verifyAge = time.Second
	// Each next front waits so much longer, since the first one tells it what it
	// has found.
	rankDelay = 350 * time.Millisecond
	// Greatest age at which any front lists. With the time of the list itself a
	// front hears of a change within two seconds, whatever else fails.
	maxAge = 1500 * time.Millisecond
)

// verifyAt returns the age of the last confirmation at which the front that
// comes at a rank among the live ones lists the kind.
func verifyAt(rank int) time.Duration { return min(verifyAge+time.Duration(rank)*rankDelay, maxAge) }

// Verify lists the kind each time that its copy has not been confirmed for a
// while, and each time that Refresh asks for it, until c ends. A watch can stay
// silent while changes are made, and only a new list tells. Rank is the place of
// this front among the live ones; the first ones list for all. Found is called
// after each list that confirms the copy, so that the others are told.
func (s *Informer) Verify(c context.Context, rank func() int, found func()) {
	t := time.NewTimer(verifyAge)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			t.Reset(s.verifyDue(c, rank, found))
		case <-s.refresh:
			// Whoever asked for it is told already.
			s.verify(c)
			select {
			case <-time.After(refreshPause):
			case <-c.Done():
				return
			}
		}
	}
}

// verifyDue lists the kind if its copy is too old, and returns when to look
// again.
func (s *Informer) verifyDue(c context.Context, rank func() int, found func()) time.Duration {
	w := verifyAt(rank())
	a, k := s.Age()
	if !k || s.relisting() {
		return verifyAge
	}
	if a < w {
		return w - a
	}
	if s.verify(c) {
		s.miss()
	}
	found()
	return verifyAge
}

// relisting says whether the list that ends a trouble is on its way. While a
// watch is open none is: a list at the interval has failed, and the next one must
// end the trouble.
func (s *Informer) relisting() bool {
	s.m.Lock()
	defer s.m.Unlock()
	return !s.watching && !s.failed.IsZero() && s.recovered.IsZero()
}

// verify lists the kind. It returns whether the list has changes that the watch
// has not told.
func (s *Informer) verify(c context.Context) bool {
	if !s.Known() {
		// The first list is on its way.
		return false
	}
	d := s.Digest()
	b := time.Now()
	l, v, e := s.store.List(c, s.kind)
	if e != nil {
		if c.Err() == nil {
			s.lost(e)
		}
		return false
	}
	s.replace(l, v, s.Relayed(), b)
	if d == s.Digest() {
		return false
	}
	s.l.Info("inform: list has changes that the watch has not told yet")
	return true
}

func (s *Informer) miss() {
	s.m.Lock()
	defer s.m.Unlock()
	s.missed++
}

// Refresh asks for a new list soon.
func (s *Informer) Refresh() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

// Digest returns a hash of the names and versions of all objects. It is the
// same at processes that hold the same objects, and 0 before the first list.
func (s *Informer) Digest() uint64 {
	s.m.Lock()
	defer s.m.Unlock()
	if !s.known || s.digest != 0 {
		return s.digest
	}
	d := uint64(1)
	for n, o := range s.objects {
		// The order of a map differs, so the hashes are added.
		d += xxhash.Sum64String(n) ^ uint64(o.Version())*0x9e3779b97f4a7c15
	}
	s.digest = d
	return d
}

// Confirm takes in that a process whose objects have a digest knows all changes
// that the platform had acknowledged by a time. If this copy holds the same
// objects, so does it.
func (s *Informer) Confirm(digest uint64, at time.Time) {
	if digest == 0 || digest != s.Digest() {
		return
	}
	s.m.Lock()
	defer s.m.Unlock()
	s.confirm(at)
}

// confirm takes in that the copy has all changes up to a time; the caller holds
// the lock.
func (s *Informer) confirm(at time.Time) {
	if !at.After(s.confirmed) {
		return
	}
	if !s.confirmed.IsZero() && at.Sub(s.confirmed) >= minOutage {
		s.outageEnd = at
		s.l.WithField("away", at.Sub(s.confirmed).String()).Warn("inform: platform had not confirmed the copy for a while")
	}
	s.confirmed = at
}

// Age returns how long ago the copy had all changes for certain, and false
// before the first list.
func (s *Informer) Age() (time.Duration, bool) {
	s.m.Lock()
	defer s.m.Unlock()
	return time.Since(s.confirmed), !s.confirmed.IsZero()
}

// Before returns up to when the copy had all changes before the newest one was
// taken in.
func (s *Informer) Before() time.Time {
	s.m.Lock()
	defer s.m.Unlock()
	return s.before
}

// Outage says whether the platform has been away long enough for entries to
// lapse, and is still, and when it was last back after such a time.
func (s *Informer) Outage() (now bool, ended time.Time) {
	s.m.Lock()
	defer s.m.Unlock()
	l := !s.failed.IsZero() && s.recovered.IsZero()
	return l && time.Since(s.confirmed) >= minOutage, s.outageEnd
}
