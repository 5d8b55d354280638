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

// waitingLimit bounds the operations of one shard in memory.
const waitingLimit = 4096

type phase int

const (
	resting phase = iota
	loading
	writing
)

// mark is an attempt that was refused although an update that carried it may
// take effect.
type mark struct {
	c *wire.Claim
	// Version that the latest such update was to replace. While the object
	// has this version the update can still take effect.
	base int64
}

// shard is the state of one claim shard.
type shard struct {
	b      *book
	number uint32
	phase  phase
	// Whether version and content are the latest that this process has read or
	// written. They stay as a hint when it is false.
	known   bool
	version int64
	content *ledger
	// When the call in progress began, and the one that the content is from.
	// The content has all changes that were committed before freshAt.
	beganAt time.Time
	freshAt time.Time
	// Operations without a decision, oldest first.
	waiting []*operation
	// Operations that the update in progress carries, and its content.
	carried   []*operation
	candidate *ledger
	marks     []mark
	// After a failure, or when the budget is used up: no call before retryAt.
	retryAt   time.Time
	retryWait time.Duration
	preferred bool
	// Updates that may begin now.
	budget *rate.Limiter
}

func (s *shard) idle() bool {
	return s.phase == resting && len(s.waiting) == 0 && len(s.marks) == 0
}

func (s *shard) accept(o *operation, now time.Time) {
	f := o.fault()
	switch {
	case f != "":
		s.refuse(o, "claim-invalid", f, 0)
		return
	case o.claim != nil && s.b.draining:
		s.refuse(o, "draining", "scheduler is shutting down", defaultRetryAfter)
		return
	case len(s.waiting)+len(s.carried) >= waitingLimit:
		s.refuse(o, "claims-busy", "too many claims are waiting", defaultRetryAfter)
		return
	case o.claim != nil && s.b.down(now):
		s.answerFromHint(o, now)
		return
	}
	s.waiting = append(s.waiting, o)
	s.step(now)
}

func (s *shard) cancel(o *operation, now time.Time) {
	switch i := slices.Index(s.waiting, o); {
	case i >= 0:
		s.waiting = slices.Delete(s.waiting, i, i+1)
		if o.doubtful {
			s.mark(o.claim, o.base)
		}
	case slices.Contains(s.carried, o):
		s.carried = slices.DeleteFunc(s.carried, func(p *operation) bool { return p == o })
		s.mark(o.claim, s.version)
	case o.granted:
		s.mark(o.claim, neverBase)
	}
	s.step(now)
}

func (s *shard) loaded(o object.Object, e error, now time.Time) {
	s.phase = resting
	if errors.Is(e, trail.ErrNotFound) {
		s.learn(0, newLedger())
		s.step(now)
		return
	}
	var l *ledger
	if e == nil {
		l, e = decode(o)
	}
	if e != nil {
		s.fail(e, now)
		s.step(now)
		return
	}
	s.learn(o.Version(), l)
	s.step(now)
}

func (s *shard) written(o object.Object, e error, now time.Time) {
	s.phase = resting
	l := s.carried
	s.carried = nil
	if e == nil {
		s.learn(o.Version(), s.candidate)
		s.confirm(l, now)
		s.step(now)
		return
	}
	s.requeue(l)
	switch {
	case errors.Is(e, trail.ErrConflict), errors.Is(e, trail.ErrExists), errors.Is(e, trail.ErrNotFound):
		s.known = false
	case trail.VerdictOf(e) == trail.NotRun:
		s.fail(e, now)
	default:
		for _, p := range l {
			p.doubtful = true
			p.base = s.version
		}
		s.known = false
	}
	s.step(now)
}

// requeue returns operations to the waiting ones, in the order of arrival.
func (s *shard) requeue(l []*operation) {
	s.waiting = append(s.waiting, l...)
	slices.SortStableFunc(s.waiting, func(a, b *operation) int { return a.arrived.Compare(b.arrived) })
}

// learn takes what the platform holds.
func (s *shard) learn(version int64, l *ledger) {
	s.version = version
	s.content = l
	s.known = true
	s.freshAt = s.beganAt
	s.retryAt = time.Time{}
	s.retryWait = 0
	s.b.downUntil = time.Time{}
}

// confirm answers the operations of an update that has taken effect.
func (s *shard) confirm(l []*operation, now time.Time) {
	for _, o := range l {
		switch {
		case o.claim == nil:
			s.settledWith(o, "committed")
		case now.Before(o.deadline):
			s.grant(o, "committed")
		default:
			// A paused process: the claim's time was over before the answer.
			s.mark(o.claim, neverBase)
			s.refuse(o, "claim-timeout", "claim was not committed in time", defaultRetryAfter)
		}
	}
}

// fail takes a call that did not take effect and refuses the claims that no
// update can have committed.
func (s *shard) fail(e error, now time.Time) {
	s.retryWait = min(max(2*s.retryWait, firstRetry), lastRetry)
	s.retryAt = now.Add(s.retryWait)
	var f *trail.Error
	if errors.As(e, &f) && f.Code() == codeRateLimited {
		// The platform is up: the claims wait and go together into a later
		// update.
		s.retryAt = now.Add(f.RetryAfter())
		return
	}
	s.b.downUntil = now.Add(downTime)
	var k []*operation
	for _, o := range s.waiting {
		if o.claim == nil || o.doubtful {
			k = append(k, o)
			continue
		}
		s.answerFromHint(o, now)
	}
	s.waiting = k
}

// step ends what has run out of time and starts the next call if one is
// needed and none is in progress.
func (s *shard) step(now time.Time) {
	s.expire(now)
	if s.phase != resting || now.Before(s.retryAt) {
		return
	}
	if len(s.waiting) == 0 && len(s.marks) == 0 {
		return
	}
	if !s.known || s.needsRefresh(now) {
		s.phase = loading
		s.beganAt = now
		s.b.act(loadAction{s.number})
		return
	}
	s.decide(now)
	if s.phase == resting && len(s.marks) > 0 && !now.Before(s.retryAt) {
		// A claim was refused that an earlier update may have committed.
		s.decide(now)
	}
}

// expire refuses the claims whose time is over.
func (s *shard) expire(now time.Time) {
	w, k := firstDeadline(s.waiting), firstDeadline(s.carried)
	if (w.IsZero() || now.Before(w)) && (k.IsZero() || now.Before(k)) {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(o *operation) bool {
		if now.Before(o.deadline) {
			return false
		}
		return s.timeout(o, o.doubtful, o.base)
	})
	s.carried = slices.DeleteFunc(s.carried, func(o *operation) bool {
		if now.Before(o.deadline) {
			return false
		}
		return s.timeout(o, true, s.version)
	})
}

// timeout answers an operation whose time is over and says whether it ends.
func (s *shard) timeout(o *operation, doubtful bool, base int64) bool {
	if o.claim == nil {
		s.postpone(o)
		return false
	}
	if doubtful {
		s.mark(o.claim, base)
	}
	s.refuse(o, "claim-timeout", "claim was not committed in time", defaultRetryAfter)
	return true
}

// next returns when step has something to do, zero when it waits for a call or
// has nothing to do.
func (s *shard) next() time.Time {
	var t time.Time
	for _, l := range [][]*operation{s.waiting, s.carried} {
		d := firstDeadline(l)
		if !d.IsZero() && (t.IsZero() || d.Before(t)) {
			t = d
		}
	}
	if s.phase == resting && !s.idle() && !s.retryAt.IsZero() && (t.IsZero() || s.retryAt.Before(t)) {
		t = s.retryAt
	}
	return t
}

// firstDeadline returns when the first operation without an answer has to have
// one, zero when there is none. Operations are in the order of their arrival.
func firstDeadline(l []*operation) time.Time {
	for _, o := range l {
		if !o.answered {
			return o.deadline
		}
	}
	return time.Time{}
}

func (s *shard) mark(c *wire.Claim, base int64) { s.marks = append(s.marks, mark{c, base}) }

func (s *shard) isMarked(c *wire.Claim) bool {
	return slices.ContainsFunc(s.marks, func(m mark) bool { return m.c.GetAttemptId() == c.GetAttemptId() })
}
