package claim

import (
	"time"

	"golang.org/x/time/rate"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// A claim that is not granted within this time is refused. Callers wait for
	// it, and the platform normally responds in milliseconds.
	claimTimeout = 2 * time.Second
	// Exponential backoff of a shard while platform calls fail. At the maximum,
	// all 64 shards together make 64 of the about 2,000 reads per second that
	// the platform takes.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// Claims that arrive within this time after a failed platform call are
	// answered without another call.
	platformDownPeriod = time.Second
	// Retry-After of refusals for causes other than an outage or a full shard.
	defaultRetryAfter = time.Second
	// A full shard has no room until entries expire or are settled as not run.
	fullRetryAfter = time.Minute
	// Update rate of one shard. All 64 shards together use at most 200 of the
	// several hundred writes per second that the platform takes; batch jobs may
	// use 100.
	shardWritesPerSecond = 200.0 / shardCount
	shardWriteBurst      = 4
	schedRole            = "sched"
	// Error code of the store when the platform limits the call rate.
	codeRateLimited = "platform-rate-limited"
)

// loadAction asks the task to read a shard's object.
type loadAction struct{ shard uint32 }

// writeAction asks the task to update a shard's object on condition that it
// still has the given version, or to create it if the version is 0.
type writeAction struct {
	shard   uint32
	version int64
	// Must not be modified after the action is emitted.
	content *shardContent
	// Number of claims and settlements in the update.
	operations int
}

// replyAction asks the task to send the result of an operation to its caller.
type replyAction struct {
	operation *operation
	result    result
}

// revokedAction reports that a refused attempt can no longer hold its key.
type revokedAction struct{ claim *wire.Claim }

// stateMachine holds all shards and the availability of the platform. Its
// methods handle an event at a given time and queue the resulting actions.
type stateMachine struct {
	id     string
	shards [shardCount]*shard
	// The platform is considered unavailable until this time.
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

// takeActions returns the actions queued since the last call.
func (b *stateMachine) takeActions() []any {
	l := b.actions
	b.actions = nil
	return l
}

func (b *stateMachine) emit(action any) { b.actions = append(b.actions, action) }

func (b *stateMachine) platformDown(now time.Time) bool { return now.Before(b.platformDownUntil) }

// accept starts a new operation.
func (b *stateMachine) accept(op *operation, now time.Time) {
	op.arrived = now
	op.deadline = now.Add(claimTimeout)
	b.shards[op.shard()].accept(op, now)
}

// cancel ends a claim whose caller has stopped waiting. It counts as refused,
// even if the grant was already sent, because the caller did not receive it.
// Settlements continue.
func (b *stateMachine) cancel(op *operation, now time.Time) {
	if op.claim == nil {
		return
	}
	b.shards[op.shard()].cancel(op, now)
}

// handleLoaded handles the result of a loadAction.
func (b *stateMachine) handleLoaded(shard uint32, stored object.Object, err error, now time.Time) {
	b.shards[shard].handleLoaded(stored, err, now)
}

// handleWritten handles the result of a writeAction.
func (b *stateMachine) handleWritten(shard uint32, stored object.Object, err error, now time.Time) {
	b.shards[shard].handleWritten(stored, err, now)
}

// tick handles deadlines and retry times that have passed.
func (b *stateMachine) tick(now time.Time) {
	for _, s := range b.shards {
		s.advance(now)
	}
}

// nextDeadline returns the next time at which tick must be called, zero if
// there is none.
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

// setMembers updates the preferred owners of the shards. The content of an idle
// shard that another scheduler owns is dropped, because normally only the owner
// needs it.
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

// idle reports whether no shard has an operation, a call or a revocation in
// progress.
func (b *stateMachine) idle() bool {
	for _, s := range b.shards {
		if !s.idle() {
			return false
		}
	}
	return true
}
