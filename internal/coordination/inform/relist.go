package inform

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// Least time between two lists that Refresh requests.
const minRefreshInterval = 250 * time.Millisecond

const (
	// Age of the copy at which the front of rank 0 lists the kind.
	relistAge = time.Second
	// Added for each further rank. Meanwhile the datagrams of the front that has
	// listed confirm the copies of the others, which then need no list.
	rankDelay = 350 * time.Millisecond
	// Age at which a front of any rank lists. Including the time of the list
	// itself, every front gets a change within two seconds, whatever else fails.
	maxRelistAge = 1500 * time.Millisecond
)

// relistAgeOf returns the age of the copy at which the front of a rank lists the
// kind.
func relistAgeOf(rank int) time.Duration {
	return min(relistAge+time.Duration(rank)*rankDelay, maxRelistAge)
}

// Relist lists the kind whenever the copy has not been confirmed for a while,
// and when Refresh requests it, until ctx ends. An open watch may miss changes
// without an error, which only a new list detects. The rank is the position of
// this front among the live ones; those with the lowest ranks list on behalf of
// all. onRelist is called after each attempt that Refresh has not requested, so
// that the state is sent to the other fronts.
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
			if s.recovering() && s.fallback == nil {
				continue
			}
			s.refresh(ctx)
			select {
			case <-time.After(minRefreshInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

// refresh lists the kind because another front has other objects, through the fallback
// while the platform is unavailable. It is not counted and not announced: that front
// already has what the list returns.
func (s *Informer) refresh(ctx context.Context) {
	if !s.recovering() {
		s.relist(ctx)
		return
	}
	d := s.Digest()
	e := s.ListThrough(ctx, s.fallback)
	s.logger.WithFields(log.Fields{"changed": d != s.Digest(), "failed": e != nil}).Info("inform: listed through another front")
}

// relistIfStale lists the kind if its copy is too old. It returns the time until
// the next check.
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
	if s.Unavailable() {
		return maxBackoff
	}
	return relistAge
}

// recovering reports whether the platform is unavailable and listAndWatch
// retries the list that ends this. It does not retry while a watch is open: then
// a periodic list has failed, and the next one must end the unavailability.
func (s *Informer) recovering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.watching && !s.unavailableSince.IsZero() && s.recoveredAt.IsZero()
}

// relist lists the kind. It returns whether the list has changes that the watch
// has not delivered.
func (s *Informer) relist(ctx context.Context) bool {
	if !s.HasSynced() {
		// listAndWatch makes the first list.
		return false
	}
	d := s.Digest()
	a := s.list(ctx)
	if a.err != nil {
		s.logger.WithError(a.err).WithField("ms", time.Since(a.sentAt).Milliseconds()).Info("inform: periodic list failed")
		s.noteListError(ctx, a.err)
		return false
	}
	s.replaceAll(a.objects, a.version, s.Relayed(), a.sentAt)
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

// Refresh requests a new list from Relist. It does not wait for it.
func (s *Informer) Refresh() {
	select {
	case s.refreshRequests <- struct{}{}:
	default:
	}
}

// Digest returns a hash of the names and versions of all objects. It is equal
// in all processes that hold the same objects, and 0 before the first list.
func (s *Informer) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced || s.digest != 0 {
		return s.digest
	}
	d := uint64(1)
	for n, o := range s.objects {
		// Addition is commutative, so the iteration order does not matter.
		d += xxhash.Sum64String(n) ^ uint64(o.Version())*0x9e3779b97f4a7c15
	}
	s.digest = d
	return d
}

// Confirm records that another process, whose copy has this digest, has all
// changes that the platform had acknowledged by confirmedAt. If the digest of
// this copy is the same, that holds for this copy too; otherwise the call has no
// effect.
func (s *Informer) Confirm(digest uint64, confirmedAt time.Time) {
	if digest == 0 || digest != s.Digest() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(confirmedAt)
}

// confirm records that the copy has all changes up to a time. The caller holds
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

// Age returns the time since the copy was last known to have all changes, and
// false before the first list.
func (s *Informer) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt), !s.confirmedAt.IsZero()
}

// ConfirmedBeforeChange returns the time up to which the copy had all changes
// before the latest change was applied.
func (s *Informer) ConfirmedBeforeChange() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedBeforeChange
}

// Outage reports whether the platform is unavailable and has been for long
// enough that entries may lapse, and when the last such outage ended.
func (s *Informer) Outage() (ongoing bool, endedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := !s.unavailableSince.IsZero() && s.recoveredAt.IsZero()
	return l && time.Since(s.confirmedAt) >= minOutage, s.outageEndedAt
}
