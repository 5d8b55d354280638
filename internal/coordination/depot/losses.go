package depot

import (
	"cmp"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	role = "depot"
	// lossDelay lets a depot that is restarted come back before its data is
	// copied, and lets all processes learn of a change.
	lossDelay = 60 * time.Second
)

// Reasons for a check of second copies.
const (
	reasonGone      = "gone"
	reasonRestarted = "new-incarnation"
	// Losses while this depot was down are not known, and a check that its
	// last process had begun is not finished.
	reasonStarted = "own-start"
)

// loss is a depot that may have lost its data.
type loss struct {
	depot  string
	reason string
	// When the members last changed for the depot.
	since time.Time
	// Whether a check is due even if the depot comes back with the incarnation
	// that it had.
	certain bool
}

// losses decides when the second copies must be checked. It is owned by one
// task.
type losses struct {
	self string
	// Incarnations of the other depots that are members, or were and are
	// pending.
	known   map[string]uint64
	pending map[string]loss
	// Whether another depot was a member at the last observation.
	others  bool
	started bool
}

func newLosses(self string) *losses {
	return &losses{self: self, known: map[string]uint64{}, pending: map[string]loss{}}
}

// observe compares the members with those seen before. A view without this
// depot is not complete yet and is not used.
func (s *losses) observe(members []*wire.Member, now time.Time) {
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
	s.others = len(p) > 0
	for d := range s.known {
		if _, o := p[d]; !o && s.pending[d].reason != reasonGone {
			s.pending[d] = loss{d, reasonGone, now, s.pending[d].certain}
		}
	}
	for d, i := range p {
		s.present(d, i, now)
	}
}

// present notes a depot that is a member.
func (s *losses) present(id string, incarnation uint64, now time.Time) {
	k, o := s.known[id]
	s.known[id] = incarnation
	w := s.pending[id]
	switch {
	case o && k != incarnation, w.reason == reasonGone && w.certain:
		s.pending[id] = loss{id, reasonRestarted, now, true}
	case w.reason == reasonGone:
		delete(s.pending, id)
	}
}

// take returns the losses whose delay has passed, by depot, and forgets them.
// Nothing is due while there is no other depot.
func (s *losses) take(now time.Time) []loss {
	var l []loss
	if !s.others {
		return nil
	}
	for d, w := range s.pending {
		if now.Sub(w.since) < lossDelay {
			continue
		}
		l = append(l, w)
		delete(s.pending, d)
		if w.reason == reasonGone {
			delete(s.known, d)
		}
	}
	slices.SortFunc(l, func(a, b loss) int { return cmp.Compare(a.depot, b.depot) })
	return l
}

// retry makes a loss due again after another delay, unless a later one of the
// same depot is pending.
func (s *losses) retry(l []loss, now time.Time) {
	for _, w := range l {
		if _, o := s.pending[w.depot]; o {
			continue
		}
		w.since, w.certain = now, true
		s.pending[w.depot] = w
	}
}
