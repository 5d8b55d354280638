package claim

import (
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Age of the content from which a claim of a held key without a final
	// outcome causes a new read, because the outcome may have been settled
	// through another scheduler.
	heldStaleAfter = time.Second
	// Base version of a revocation whose update is known to be committed. No
	// object has this version.
	noBaseVersion = -1
)

// decide applies the pending operations and revocations to the current content
// and starts an update if any of them needs one. An operation stays pending if
// another operation or revocation of the same key is part of the update.
func (s *shard) decide(now time.Time) {
	s.refuseRevoked()
	s.candidate = s.content.clone()
	s.candidate.prune(now)
	t := map[entryKey]bool{}
	w := s.applyRevocations(t, now)
	l := s.pending
	s.pending = nil
	for _, o := range l {
		k := o.key()
		switch {
		case t[k]:
			s.pending = append(s.pending, o)
		case s.apply(o, now):
			t[k] = true
			s.inFlight = append(s.inFlight, o)
		}
	}
	if len(s.inFlight) == 0 && !w {
		return
	}
	if r := s.writeLimiter.ReserveN(now, 1); r.DelayFrom(now) > 0 {
		s.retryAt = now.Add(r.DelayFrom(now))
		r.CancelAt(now)
		s.requeue(s.inFlight)
		s.inFlight = nil
		return
	}
	s.phase = phaseWriting
	s.callStartedAt = now
	s.machine.emit(writeAction{s.number, s.version, s.candidate, len(s.inFlight)})
}

// refuseRevoked refuses claims of attempts that were refused before, so that
// the decision about an attempt never changes.
func (s *shard) refuseRevoked() {
	s.pending = slices.DeleteFunc(s.pending, func(o *operation) bool {
		if o.claim == nil || !s.isRevoked(o.claim) {
			return false
		}
		s.refuse(o, "attempt-refused", "attempt was refused before", defaultRetryAfter)
		return true
	})
}

// apply decides one operation: it either replies from the content, or changes
// the candidate and returns true.
func (s *shard) apply(op *operation, now time.Time) bool {
	if op.claim == nil {
		return s.applySettle(op, now)
	}
	return s.applyClaim(op, now)
}

func (s *shard) applyClaim(op *operation, now time.Time) bool {
	c := op.claim
	n := s.content.find(c.GetCaller(), c.GetKey(), now)
	switch {
	case n == nil:
	case n.GetAttemptId() == c.GetAttemptId() && isNotRun(n):
		s.refuse(op, "attempt-refused", "attempt was refused before", defaultRetryAfter)
		return false
	case n.GetAttemptId() == c.GetAttemptId() && op.resultUnknown && unresolved(n):
		s.replyGranted(op, "found after a lost answer")
		return false
	case n.GetDigest() != c.GetDigest():
		s.replyMismatch(op, n)
		return false
	case !isNotRun(n):
		s.replyHeld(op, n, now)
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
		if op.resultUnknown {
			s.revoke(c, op.baseVersion)
		}
		s.refuse(op, "claims-full", "claim shard has no room", fullRetryAfter)
		return false
	}
	s.candidate.put(m)
	return true
}

func (s *shard) applySettle(op *operation, now time.Time) bool {
	r := op.settle
	n := s.content.find(r.GetCaller(), r.GetKey(), now)
	switch {
	case n == nil || n.GetAttemptId() != r.GetAttemptId():
		s.replyNotSettled(op, "claim-missing", "attempt holds no claim")
		return false
	case n.GetOutcome().GetVerdict() == r.GetOutcome().GetVerdict():
		s.replySettled(op, "settled before")
		return false
	case !unresolved(n):
		s.replyNotSettled(op, "outcome-differs", "attempt was settled with another outcome")
		return false
	}
	s.candidate.put(withOutcome(n, r.GetOutcome()))
	if s.candidate.sizeBound > maxContentBytes {
		s.candidate.put(n)
		s.replyNotSettled(op, "claims-full", "claim shard has no room for the outcome")
		return false
	}
	return true
}

// applyRevocations records the refused attempts as not run in the candidate and
// reports whether an update is needed. A revocation is dropped once its attempt
// can no longer hold the key. The keys it changes are added to touched.
func (s *shard) applyRevocations(touched map[entryKey]bool, now time.Time) bool {
	w := false
	var k []revocation
	for _, m := range s.revocations {
		n := s.content.find(m.claim.GetCaller(), m.claim.GetKey(), now)
		i := entryKey{m.claim.GetCaller(), m.claim.GetKey()}
		switch {
		case n != nil && n.GetAttemptId() == m.claim.GetAttemptId() && unresolved(n):
			s.candidate.put(withOutcome(n, notRunOutcome()))
			touched[i] = true
		case n == nil:
			s.candidate.put(notRunEntry(m.claim, now))
			touched[i] = true
		case s.version == m.baseVersion:
			// Any committed update makes the one still in flight fail with a
			// version conflict.
		default:
			s.machine.emit(revokedAction{m.claim})
			continue
		}
		w = true
		k = append(k, m)
	}
	s.revocations = k
	return w
}

func notRunOutcome() *wire.Outcome {
	return wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build()
}

func notRunEntry(claim *wire.Claim, now time.Time) *wire.ClaimEntry {
	return wire.ClaimEntry_builder{
		Caller:      new(claim.GetCaller()),
		Key:         new(claim.GetKey()),
		AttemptId:   new(claim.GetAttemptId()),
		Digest:      new(claim.GetDigest()),
		Outcome:     notRunOutcome(),
		TakenUnixMs: new(now.UnixMilli()),
	}.Build()
}

// needsRefresh reports whether a decision depends on an entry that may have
// changed at the platform since it was read. Each operation causes at most one
// such read.
func (s *shard) needsRefresh(now time.Time) bool {
	for _, o := range s.pending {
		k := o.key()
		n := s.content.find(k.caller, k.key, now)
		a := o.arrived.Sub(s.contentAsOf)
		if o.claim != nil && n != nil && unresolved(n) && a >= heldStaleAfter {
			return true
		}
		// The claim may have been granted by another scheduler.
		if o.settle != nil && a > 0 && (n == nil || n.GetAttemptId() != o.attempt()) {
			return true
		}
	}
	return false
}
