package depot

import (
	"cmp"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	role = "depot"
	// lossDelay gives a restarted depot time to rejoin before its data is
	// copied, and gives all processes time to receive a membership change.
	lossDelay = 60 * time.Second
)

// Reasons for a check of second copies.
const (
	reasonGone      = "gone"
	reasonRestarted = "new-incarnation"
	// Losses during this depot's downtime are unknown, and a check that the
	// previous process had started may be unfinished.
	reasonStarted = "own-start"
)

// loss describes a depot that may have lost its data.
type loss struct {
	depot  string
	reason string
	// Time of the last membership change of the depot.
	since time.Time
	// Whether a check is due even if the depot rejoins with its previous
	// incarnation.
	checkDue bool
}

// lossTracker decides when second copies must be checked. It is used by one
// goroutine only.
type lossTracker struct {
	self string
	// Incarnations of the other depots that are members, or that have left and
	// have a pending loss.
	incarnations map[string]uint64
	pending      map[string]loss
	// Whether the last observation had another depot as a member.
	hasPeers bool
	started  bool
}

func newLossTracker(self string) *lossTracker {
	return &lossTracker{self: self, incarnations: map[string]uint64{}, pending: map[string]loss{}}
}

// observe compares the members with those of earlier observations. A view that
// does not include this depot is incomplete and is ignored.
func (s *lossTracker) observe(members []*wire.Member, now time.Time) {
	p := map[string]uint64{}
	for _, m := range members {
		if m.GetRole() == role {
			p[m.GetId()] = m.GetIncarnation()
		}
	}
	if _, o := p[s.self]; !o {
		return
	}
	delete(p, s.self)
	if !s.started {
		s.started = true
		s.pending[s.self] = loss{s.self, reasonStarted, now, true}
	}
	s.hasPeers = len(p) > 0
	for d := range s.incarnations {
		if _, o := p[d]; !o && s.pending[d].reason != reasonGone {
			s.pending[d] = loss{d, reasonGone, now, s.pending[d].checkDue}
		}
	}
	for d, i := range p {
		s.observePresent(d, i, now)
	}
}

// observePresent records the incarnation of a depot that is a member. A new
// incarnation is a loss; a return with the previous incarnation cancels a
// pending loss unless its check is due in any case.
func (s *lossTracker) observePresent(id string, incarnation uint64, now time.Time) {
	k, o := s.incarnations[id]
	s.incarnations[id] = incarnation
	w := s.pending[id]
	switch {
	case o && k != incarnation, w.reason == reasonGone && w.checkDue:
		s.pending[id] = loss{id, reasonRestarted, now, true}
	case w.reason == reasonGone:
		delete(s.pending, id)
	}
}

// takeDue removes and returns the losses whose delay has passed, sorted by
// depot. No loss is due while there is no other depot to copy to.
func (s *lossTracker) takeDue(now time.Time) []loss {
	var l []loss
	if !s.hasPeers {
		return nil
	}
	for d, w := range s.pending {
		if now.Sub(w.since) < lossDelay {
			continue
		}
		l = append(l, w)
		delete(s.pending, d)
		if w.reason == reasonGone {
			delete(s.incarnations, d)
		}
	}
	slices.SortFunc(l, func(a, b loss) int { return cmp.Compare(a.depot, b.depot) })
	return l
}

// retry makes failed losses pending again with a new delay, except for depots
// that have a more recent pending loss.
func (s *lossTracker) retry(failed []loss, now time.Time) {
	for _, w := range failed {
		if _, o := s.pending[w.depot]; o {
			continue
		}
		w.since, w.checkDue = now, true
		s.pending[w.depot] = w
	}
}
