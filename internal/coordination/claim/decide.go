package claim

import (
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A held key whose outcome is not known is read again for a claim that
	// arrives later: the outcome may have been settled through another
	// scheduler.
	freshTime = time.Second
	// Base of a mark whose update has taken effect; no object has it.
	neverBase = -1
)

// decide runs through the waiting operations with the known content and starts
// an update when one of them, or a mark, needs it. An operation that depends
// on another one in the update waits for its result.
func (s *shard) decide(now time.Time) {
	s.refuseMarked()
	s.candidate = s.content.clone()
	s.candidate.prune(now)
	t := map[ledgerKey]bool{}
	w := s.applyMarks(t, now)
	l := s.waiting
	s.waiting = nil
	for _, o := range l {
		k := o.key()
		switch {
		case t[k]:
			s.waiting = append(s.waiting, o)
		case s.apply(o, now):
			t[k] = true
			s.carried = append(s.carried, o)
		}
	}
	if len(s.carried) == 0 && !w {
		return
	}
	if r := s.budget.ReserveN(now, 1); r.DelayFrom(now) > 0 {
		s.retryAt = now.Add(r.DelayFrom(now))
		r.CancelAt(now)
		s.requeue(s.carried)
		s.carried = nil
		return
	}
	s.phase = writing
	s.beganAt = now
	s.b.act(writeAction{s.number, s.version, s.candidate, len(s.carried)})
}

// refuseMarked refuses claims of attempts that were refused before, so that an
// attempt has one answer only.
func (s *shard) refuseMarked() {
	s.waiting = slices.DeleteFunc(s.waiting, func(o *operation) bool {
		if o.claim == nil || !s.isMarked(o.claim) {
			return false
		}
		s.refuse(o, "attempt-refused", "attempt was refused before", defaultRetryAfter)
		return true
	})
}

// apply decides one operation: it answers it from the content, or changes the
// candidate and returns true.
func (s *shard) apply(o *operation, now time.Time) bool {
	if o.claim == nil {
		return s.applySettle(o, now)
	}
	return s.applyClaim(o, now)
}

func (s *shard) applyClaim(o *operation, now time.Time) bool {
	c := o.claim
	n := s.content.find(c.GetCaller(), c.GetKey(), now)
	switch {
	case n == nil:
	case n.GetAttemptId() == c.GetAttemptId() && notRun(n):
		s.refuse(o, "attempt-refused", "attempt was refused before", defaultRetryAfter)
		return false
	case n.GetAttemptId() == c.GetAttemptId() && o.doubtful && open(n):
		s.grant(o, "found after a lost answer")
		return false
	case n.GetDigest() != c.GetDigest():
		s.mismatch(o, n)
		return false
	case !notRun(n):
		s.held(o, n, now)
		return false
	}
	m := wire.ClaimEntry_builder{
		Caller:      new(c.GetCaller()),
		Key:         new(c.GetKey()),
		AttemptId:   new(c.GetAttemptId()),
		Digest:      new(c.GetDigest()),
		TakenUnixMs: new(now.UnixMilli()),
	}.Build()
	if !s.candidate.makeRoom(m) {
		if o.doubtful {
			s.mark(c, o.base)
		}
		s.refuse(o, "claims-full", "claim shard has no room", fullRetryAfter)
		return false
	}
	s.candidate.put(m)
	return true
}

func (s *shard) applySettle(o *operation, now time.Time) bool {
	r := o.settle
	n := s.content.find(r.GetCaller(), r.GetKey(), now)
	switch {
	case n == nil || n.GetAttemptId() != r.GetAttemptId():
		s.unsettled(o, "claim-missing", "attempt holds no claim")
		return false
	case n.GetOutcome().GetVerdict() == r.GetOutcome().GetVerdict():
		s.settledWith(o, "settled before")
		return false
	case !open(n):
		s.unsettled(o, "outcome-differs", "attempt was settled with another outcome")
		return false
	}
	s.candidate.put(settled(n, r.GetOutcome()))
	if s.candidate.bytes > limitBytes {
		s.candidate.put(n)
		s.unsettled(o, "claims-full", "claim shard has no room for the outcome")
		return false
	}
	return true
}

// applyMarks voids the refused attempts in the candidate and says whether an
// update is needed. A mark is dropped once its attempt can't be in force.
func (s *shard) applyMarks(touched map[ledgerKey]bool, now time.Time) bool {
	w := false
	var k []mark
	for _, m := range s.marks {
		n := s.content.find(m.c.GetCaller(), m.c.GetKey(), now)
		i := ledgerKey{m.c.GetCaller(), m.c.GetKey()}
		switch {
		case n != nil && n.GetAttemptId() == m.c.GetAttemptId() && open(n):
			s.candidate.put(settled(n, outcomeNotRun()))
			touched[i] = true
		case n == nil:
			s.candidate.put(voidEntry(m.c, now))
			touched[i] = true
		case s.version == m.base:
			// Any update makes the one on its way fail.
		default:
			s.b.act(voidAction{m.c})
			continue
		}
		w = true
		k = append(k, m)
	}
	s.marks = k
	return w
}

func outcomeNotRun() *wire.Outcome {
	return wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build()
}

func voidEntry(c *wire.Claim, now time.Time) *wire.ClaimEntry {
	return wire.ClaimEntry_builder{
		Caller:      new(c.GetCaller()),
		Key:         new(c.GetKey()),
		AttemptId:   new(c.GetAttemptId()),
		Digest:      new(c.GetDigest()),
		Outcome:     outcomeNotRun(),
		TakenUnixMs: new(now.UnixMilli()),
	}.Build()
}

// needsRefresh says whether an answer would rest on an entry that may be newer
// at the platform. Each operation causes one read at most.
func (s *shard) needsRefresh(now time.Time) bool {
	for _, o := range s.waiting {
		k := o.key()
		n := s.content.find(k.caller, k.key, now)
		a := o.arrived.Sub(s.freshAt)
		if o.claim != nil && n != nil && open(n) && a >= freshTime {
			return true
		}
		// The claim may have been granted by another scheduler.
		if o.settle != nil && a > 0 && (n == nil || n.GetAttemptId() != o.attempt()) {
			return true
		}
	}
	return false
}
