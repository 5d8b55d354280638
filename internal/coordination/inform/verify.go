package inform

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Least time between two lists that Refresh has asked for.
const refreshPause = 250 * time.Millisecond

// Verify lists the kind at an interval while due returns true, and each time
// that Refresh asks for it, until c ends. A watch can stay silent while changes
// are made, and only a new list tells.
func (s *Informer) Verify(c context.Context, interval time.Duration, due func() bool) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			if due() && s.verify(c) {
				s.miss()
			}
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

// verify lists the kind. It returns whether the list has changes that the watch
// has not told.
func (s *Informer) verify(c context.Context) bool {
	if !s.Known() {
		// The first list is on its way.
		return false
	}
	d := s.Digest()
	l, v, e := s.store.List(c, s.kind)
	if e != nil {
		if c.Err() == nil {
			s.lost(e)
		}
		return false
	}
	s.replace(l, v, s.Relayed())
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
