package inform

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Least time between two lists that Refresh has asked for.
const minRefreshInterval = 250 * time.Millisecond

const (
	// The first front lists when its copy was last confirmed so long ago.
	relistAge = time.Second
	// Each next front waits so much longer, since the first one tells it what it
	// has found.
	rankDelay = 350 * time.Millisecond
	// Greatest age at which any front lists. With the time of the list itself a
	// front hears of a change within two seconds, whatever else fails.
	maxRelistAge = 1500 * time.Millisecond
)

// relistAgeOf returns the age of the last confirmation at which the front that
// comes at a rank among the live ones lists the kind.
func relistAgeOf(rank int) time.Duration {
	return min(relistAge+time.Duration(rank)*rankDelay, maxRelistAge)
}

// Relist lists the kind each time that its copy has not been confirmed for a
// while, and each time that Refresh asks for it, until c ends. A watch can stay
// silent while changes are made, and only a new list tells. Rank is the place of
// this front among the live ones; the first ones list for all. Found is called
// after each list that confirms the copy, so that the others are told.
func (s *Informer) Relist(ctx context.Context, rank func() int, onRelist func()) {
	t := time.NewTimer(relistAge)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			t.Reset(s.relistIfStale(ctx, rank, onRelist))
		case <-s.refreshRequests:
			// Whoever asked for it is told already.
			s.relist(ctx)
			select {
			case <-time.After(minRefreshInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

// relistIfStale lists the kind if its copy is too old, and returns when to look
// again.
func (s *Informer) relistIfStale(ctx context.Context, rank func() int, onRelist func()) time.Duration {
	w := relistAgeOf(rank())
	a, k := s.Age()
	if !k || s.recovering() {
		return relistAge
	}
	if a < w {
		return w - a
	}
	if s.relist(ctx) {
		s.countMissedList()
	}
	onRelist()
	return relistAge
}

// recovering says whether the list that ends a trouble is on its way. While a
// watch is open none is: a list at the interval has failed, and the next one must
// end the trouble.
func (s *Informer) recovering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.watching && !s.unavailableSince.IsZero() && s.recoveredAt.IsZero()
}

// relist lists the kind. It returns whether the list has changes that the watch
// has not told.
func (s *Informer) relist(ctx context.Context) bool {
	if !s.HasSynced() {
		// The first list is on its way.
		return false
	}
	d := s.Digest()
	b := time.Now()
	l, v, e := s.store.List(ctx, s.kind)
	if e != nil {
		if ctx.Err() == nil {
			s.markUnavailable(e)
		}
		return false
	}
	s.replaceAll(l, v, s.Relayed(), b)
	if d == s.Digest() {
		return false
	}
	s.logger.Info("inform: list has changes that the watch has not told yet")
	return true
}

func (s *Informer) countMissedList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missedLists++
}

// Refresh asks for a new list soon.
func (s *Informer) Refresh() {
	select {
	case s.refreshRequests <- struct{}{}:
	default:
	}
}

// Digest returns a hash of the names and versions of all objects. It is the
// same at processes that hold the same objects, and 0 before the first list.
func (s *Informer) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced || s.digest != 0 {
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
func (s *Informer) Confirm(digest uint64, confirmedAt time.Time) {
	if digest == 0 || digest != s.Digest() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(confirmedAt)
}

// confirm takes in that the copy has all changes up to a time; the caller holds
// the lock.
func (s *Informer) confirm(confirmedAt time.Time) {
	if !confirmedAt.After(s.confirmedAt) {
		return
	}
	if !s.confirmedAt.IsZero() && confirmedAt.Sub(s.confirmedAt) >= minOutage {
		s.outageEndedAt = confirmedAt
		s.logger.WithField("away", confirmedAt.Sub(s.confirmedAt).String()).Warn("inform: platform had not confirmed the copy for a while")
	}
	s.confirmedAt = confirmedAt
}

// Age returns how long ago the copy had all changes for certain, and false
// before the first list.
func (s *Informer) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt), !s.confirmedAt.IsZero()
}

// ConfirmedBeforeChange returns up to when the copy had all changes before the newest one was
// taken in.
func (s *Informer) ConfirmedBeforeChange() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedBeforeChange
}

// Outage says whether the platform has been away long enough for entries to
// lapse, and is still, and when it was last back after such a time.
func (s *Informer) Outage() (ongoing bool, endedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := !s.unavailableSince.IsZero() && s.recoveredAt.IsZero()
	return l && time.Since(s.confirmedAt) >= minOutage, s.outageEndedAt
}
