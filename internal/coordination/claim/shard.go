package claim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// maxPendingOperations limits the undecided operations of one shard, to bound
// memory use.
const maxPendingOperations = 4096

type phase int

const (
	phaseIdle phase = iota
	phaseLoading
	phaseWriting
)

// revocation is an attempt that was refused although an update that contains its
// claim was, or may still be, committed.
type revocation struct {
	claim *wire.Claim
	// Object version on which the latest such update was conditional. While the
	// object has this version, the update can still be committed. It is
	// noBaseVersion if the update is known to be committed.
	baseVersion int64
}

// shard is the state of one claim shard.
type shard struct {
	machine *stateMachine
	number  uint32
	phase   phase
	// Whether version and content are the latest that this process has read or
	// written. If false, they may be stale and only serve replyFromStale.
	current bool
	version int64
	content *shardContent
	// Start times of the call in flight and of the call that returned the
	// content. The content includes all changes committed before contentAsOf.
	callStartedAt time.Time
	contentAsOf   time.Time
	// Undecided operations that are not in flight, oldest first.
	pending []*operation
	// Operations in the update in flight, and the content it writes.
	inFlight    []*operation
	candidate   *shardContent
	revocations []revocation
	// No call is made before retryAt, after a failure or when writeLimiter
	// has no token.
	retryAt      time.Time
	retryDelay   time.Duration
	preferred    bool
	writeLimiter *rate.Limiter
}

func (s *shard) idle() bool {
	return s.phase == phaseIdle && len(s.pending) == 0 && len(s.revocations) == 0
}

func (s *shard) accept(op *operation, now time.Time) {
	f := op.invalidReason()
	switch {
	case f != "":
		s.refuse(op, "claim-invalid", f, 0)
		return
	case op.claim != nil && s.machine.draining:
		s.refuse(op, "draining", "scheduler is shutting down", defaultRetryAfter)
		return
	case len(s.pending)+len(s.inFlight) >= maxPendingOperations:
		s.refuse(op, "claims-busy", "too many claims are waiting", defaultRetryAfter)
		return
	case op.claim != nil && s.machine.platformDown(now):
		s.replyFromStale(op, now)
		return
	}
	s.pending = append(s.pending, op)
	s.advance(now)
}

func (s *shard) cancel(op *operation, now time.Time) {
	switch i := slices.Index(s.pending, op); {
	case i >= 0:
		s.pending = slices.Delete(s.pending, i, i+1)
		if op.resultUnknown {
			s.revoke(op.claim, op.baseVersion)
		}
	case slices.Contains(s.inFlight, op):
		s.inFlight = slices.DeleteFunc(s.inFlight, func(p *operation) bool { return p == op })
		s.revoke(op.claim, s.version)
	case op.granted:
		s.revoke(op.claim, noBaseVersion)
	}
	s.advance(now)
}

func (s *shard) handleLoaded(stored object.Object, err error, now time.Time) {
	s.phase = phaseIdle
	if errors.Is(err, trail.ErrNotFound) {
		s.setContent(0, newShardContent())
		s.advance(now)
		return
	}
	var l *shardContent
	if err == nil {
		l, err = decodeContent(stored)
	}
	if err != nil {
		s.handleFailure(err, now)
		s.advance(now)
		return
	}
	s.setContent(stored.Version(), l)
	s.advance(now)
}

func (s *shard) handleWritten(stored object.Object, err error, now time.Time) {
	s.phase = phaseIdle
	l := s.inFlight
	s.inFlight = nil
	if err == nil {
		s.setContent(stored.Version(), s.candidate)
		s.completeUpdate(l, now)
		s.advance(now)
		return
	}
	s.requeue(l)
	switch {
	case errors.Is(err, trail.ErrConflict), errors.Is(err, trail.ErrExists), errors.Is(err, trail.ErrNotFound):
		s.current = false
	case trail.VerdictOf(err) == trail.NotRun:
		s.handleFailure(err, now)
	default:
		for _, p := range l {
			p.resultUnknown = true
			p.baseVersion = s.version
		}
		s.current = false
	}
	s.advance(now)
}

// requeue adds operations to the pending ones, in order of arrival.
func (s *shard) requeue(operations []*operation) {
	s.pending = append(s.pending, operations...)
	slices.SortStableFunc(s.pending, func(a, b *operation) int { return a.arrived.Compare(b.arrived) })
}

// setContent records the version and content that the platform holds, and that
// the platform is available.
func (s *shard) setContent(version int64, content *shardContent) {
	s.version = version
	s.content = content
	s.current = true
	s.contentAsOf = s.callStartedAt
	s.retryAt = time.Time{}
	s.retryDelay = 0
	s.machine.platformDownUntil = time.Time{}
}

// completeUpdate replies to the operations of a committed update.
func (s *shard) completeUpdate(operations []*operation, now time.Time) {
	for _, o := range operations {
		switch {
		case o.claim == nil:
			s.replySettled(o, "committed")
		case now.Before(o.deadline):
			s.replyGranted(o, "committed")
		default:
			// The deadline passed before the response was handled, for example
			// because the process was paused.
			s.revoke(o.claim, noBaseVersion)
			s.refuse(o, "claim-timeout", "claim was not committed in time", defaultRetryAfter)
		}
	}
}

// handleFailure handles a call that had no effect. Unless the platform only
// limits the call rate, it replies to the claims that no update can have
// committed.
func (s *shard) handleFailure(err error, now time.Time) {
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.retryAt = now.Add(s.retryDelay)
	var f *trail.Error
	if errors.As(err, &f) && f.Code() == codeRateLimited {
		// The platform is available: the claims stay pending and are batched
		// into a later update.
		s.retryAt = now.Add(f.RetryAfter())
		return
	}
	s.machine.platformDownUntil = now.Add(platformDownPeriod)
	var k []*operation
	for _, o := range s.pending {
		if o.claim == nil || o.resultUnknown {
			k = append(k, o)
			continue
		}
		s.replyFromStale(o, now)
	}
	s.pending = k
}

// advance expires operations past their deadline, and starts the next call if
// one is needed and none is in flight.
func (s *shard) advance(now time.Time) {
	s.expire(now)
	if s.phase != phaseIdle || now.Before(s.retryAt) {
		return
	}
	if len(s.pending) == 0 && len(s.revocations) == 0 {
		return
	}
	if !s.current || s.needsRefresh(now) {
		s.phase = phaseLoading
		s.callStartedAt = now
		s.machine.emit(loadAction{s.number})
		return
	}
	s.decide(now)
	if s.phase == phaseIdle && len(s.revocations) > 0 && !now.Before(s.retryAt) {
		// decide refused a claim that an earlier update may have committed, and
		// so added a revocation.
		s.decide(now)
	}
}

// expire handles the operations whose deadline has passed.
func (s *shard) expire(now time.Time) {
	w, k := firstDeadline(s.pending), firstDeadline(s.inFlight)
	if (w.IsZero() || now.Before(w)) && (k.IsZero() || now.Before(k)) {
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(o *operation) bool {
		if now.Before(o.deadline) {
			return false
		}
		return s.expireOperation(o, o.resultUnknown, o.baseVersion)
	})
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *operation) bool {
		if now.Before(o.deadline) {
			return false
		}
		return s.expireOperation(o, true, s.version)
	})
}

// expireOperation replies to an operation whose deadline has passed and reports
// whether the operation ends. A settlement continues.
func (s *shard) expireOperation(op *operation, resultUnknown bool, baseVersion int64) bool {
	if op.claim == nil {
		s.replyPostponed(op)
		return false
	}
	if resultUnknown {
		s.revoke(op.claim, baseVersion)
	}
	s.refuse(op, "claim-timeout", "claim was not committed in time", defaultRetryAfter)
	return true
}

// nextDeadline returns the next time at which advance must be called, zero if
// there is none.
func (s *shard) nextDeadline() time.Time {
	var t time.Time
	for _, l := range [][]*operation{s.pending, s.inFlight} {
		d := firstDeadline(l)
		if !d.IsZero() && (t.IsZero() || d.Before(t)) {
			t = d
		}
	}
	if s.phase == phaseIdle && !s.idle() && !s.retryAt.IsZero() && (t.IsZero() || s.retryAt.Before(t)) {
		t = s.retryAt
	}
	return t
}

// firstDeadline returns the earliest deadline of the operations without a
// reply, zero if there are none. The operations are in order of arrival.
func firstDeadline(operations []*operation) time.Time {
	for _, o := range operations {
		if !o.replied {
			return o.deadline
		}
	}
	return time.Time{}
}

func (s *shard) revoke(claim *wire.Claim, baseVersion int64) {
	s.revocations = append(s.revocations, revocation{claim, baseVersion})
}

func (s *shard) isRevoked(claim *wire.Claim) bool {
	return slices.ContainsFunc(s.revocations, func(m revocation) bool { return m.claim.GetAttemptId() == claim.GetAttemptId() })
}
