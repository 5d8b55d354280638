package claim

import (
	"time"

	"golang.org/x/time/rate"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// An attempt is granted within this time of its arrival or not at all.
	// Callers wait for it, and a platform that is up answers in milliseconds.
	claimTimeout = 2 * time.Second
	// Wait between tries of a shard while the platform fails, doubled each
	// time: 64 shards at the longest one cost 64 of about 2,000 reads a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// Claims that arrive so soon after a failure are refused without a call.
	platformDownPeriod = time.Second
	// Retry-After of a refusal for another cause than an outage.
	defaultRetryAfter = time.Second
	// A shard has no room until entries expire or are settled as not run.
	fullRetryAfter = time.Minute
	// Updates of one shard. All 64 together use at most 200 of the several
	// hundred writes a second that the platform takes; jobs have 100.
	shardWritesPerSecond = 200.0 / shardCount
	shardWriteBurst      = 4
	schedRole            = "sched"
	// Code of an error of the store that asks for fewer calls.
	codeRateLimited = "platform-rate-limited"
)

// loadAction asks the task to read a shard's object.
type loadAction struct{ shard uint32 }

// writeAction asks the task for a conditional update, or a conditional create
// when the object has no version.
type writeAction struct {
	shard uint32
	// Version to be replaced, 0 for none.
	version int64
	// Not changed any more.
	content *shardContent
	// Claims and settlements that it carries.
	operations int
}

// replyAction asks the task to answer an operation.
type replyAction struct {
	operation *operation
	result    result
}

// revokedAction tells the task that a refused attempt can't be in force any more.
type revokedAction struct{ claim *wire.Claim }

// stateMachine is the decision module: all shards and what is known of the platform.
// Its methods take an event and the time, and collect actions.
type stateMachine struct {
	id     string
	shards [shardCount]*shard
	// The platform counts as down before this time.
	platformDownUntil time.Time
	draining          bool
	actions           []any
}

func newStateMachine(id string) *stateMachine {
	b := &stateMachine{id: id}
	for n := range b.shards {
		b.shards[n] = &shard{machine: b, number: uint32(n), content: newShardContent(), preferred: true, writeLimiter: rate.NewLimiter(shardWritesPerSecond, shardWriteBurst)}
	}
	return b
}

// takeActions returns the actions since the last call.
func (b *stateMachine) takeActions() []any {
	l := b.actions
	b.actions = nil
	return l
}

func (b *stateMachine) emit(action any) { b.actions = append(b.actions, action) }

func (b *stateMachine) platformDown(now time.Time) bool { return now.Before(b.platformDownUntil) }

// accept takes a new operation.
func (b *stateMachine) accept(op *operation, now time.Time) {
	op.arrived = now
	op.deadline = now.Add(claimTimeout)
	b.shards[op.shard()].accept(op, now)
}

// cancel ends an operation whose caller has left. A claim counts as refused,
// even when its grant is already on the way: its caller did not take it.
func (b *stateMachine) cancel(op *operation, now time.Time) {
	if op.claim == nil {
		return
	}
	b.shards[op.shard()].cancel(op, now)
}

// handleLoaded takes the result of a loadAction.
func (b *stateMachine) handleLoaded(shard uint32, stored object.Object, err error, now time.Time) {
	b.shards[shard].handleLoaded(stored, err, now)
}

// handleWritten takes the result of a writeAction.
func (b *stateMachine) handleWritten(shard uint32, stored object.Object, err error, now time.Time) {
	b.shards[shard].handleWritten(stored, err, now)
}

// tick takes the passage of time.
func (b *stateMachine) tick(now time.Time) {
	for _, s := range b.shards {
		s.advance(now)
	}
}

// nextDeadline returns when tick has something to do, zero when nothing waits.
func (b *stateMachine) nextDeadline() time.Time {
	var t time.Time
	for _, s := range b.shards {
		n := s.nextDeadline()
		if !n.IsZero() && (t.IsZero() || n.Before(t)) {
			t = n
		}
	}
	return t
}

// setMembers takes a new view. A shard that another scheduler owns is forgotten
// once nothing waits for it, because only the owner needs its content.
func (b *stateMachine) setMembers(members []*wire.Member) {
	for _, s := range b.shards {
		m := owner.First(members, schedRole, OwnerKey(s.number), "")
		s.preferred = m == nil || m.GetId() == b.id
		if !s.preferred && s.idle() {
			s.current = false
			s.content = newShardContent()
		}
	}
}

// idle says whether nothing is in progress.
func (b *stateMachine) idle() bool {
	for _, s := range b.shards {
		if !s.idle() {
			return false
		}
	}
	return true
}
