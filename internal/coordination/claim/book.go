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
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// Claims that arrive so soon after a failure are refused without a call.
	downTime = time.Second
	// Retry-After of a refusal for another cause than an outage.
	defaultRetryAfter = time.Second
	// A shard has no room until entries expire or are settled as not run.
	fullRetryAfter = time.Minute
	// Updates of one shard. All 64 together use at most 200 of the several
	// hundred writes a second that the platform takes; jobs have 100.
	writesPerSecond = 200.0 / shardCount
	writeBurst      = 4
	schedRole       = "sched"
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
	content *ledger
	// Claims and settlements that it carries.
	operations int
}

// answerAction asks the task to answer an operation.
type answerAction struct {
	o *operation
	r result
}

// voidAction tells the task that a refused attempt can't be in force any more.
type voidAction struct{ c *wire.Claim }

// book is the decision module: all shards and what is known of the platform.
// Its methods take an event and the time, and collect actions.
type book struct {
	id     string
	shards [shardCount]*shard
	// The platform counts as down before this time.
	downUntil time.Time
	draining  bool
	actions   []any
}

func newBook(id string) *book {
	b := &book{id: id}
	for n := range b.shards {
		b.shards[n] = &shard{b: b, number: uint32(n), content: newLedger(), preferred: true, budget: rate.NewLimiter(writesPerSecond, writeBurst)}
	}
	return b
}

// take returns the actions since the last call.
func (b *book) take() []any {
	l := b.actions
	b.actions = nil
	return l
}

func (b *book) act(a any) { b.actions = append(b.actions, a) }

func (b *book) down(now time.Time) bool { return now.Before(b.downUntil) }

// accept takes a new operation.
func (b *book) accept(o *operation, now time.Time) {
	o.arrived = now
	o.deadline = now.Add(claimTimeout)
	b.shards[o.shard()].accept(o, now)
}

// cancel ends an operation whose caller has left. A claim counts as refused,
// even when its grant is already on the way: its caller did not take it.
func (b *book) cancel(o *operation, now time.Time) {
	if o.claim == nil {
		return
	}
	b.shards[o.shard()].cancel(o, now)
}

// loaded takes the result of a loadAction.
func (b *book) loaded(shard uint32, o object.Object, e error, now time.Time) {
	b.shards[shard].loaded(o, e, now)
}

// written takes the result of a writeAction.
func (b *book) written(shard uint32, o object.Object, e error, now time.Time) {
	b.shards[shard].written(o, e, now)
}

// tick takes the passage of time.
func (b *book) tick(now time.Time) {
	for _, s := range b.shards {
		s.step(now)
	}
}

// next returns when tick has something to do, zero when nothing waits.
func (b *book) next() time.Time {
	var t time.Time
	for _, s := range b.shards {
		n := s.next()
		if !n.IsZero() && (t.IsZero() || n.Before(t)) {
			t = n
		}
	}
	return t
}

// members takes a new view. A shard that another scheduler owns is forgotten
// once nothing waits for it, because only the owner needs its content.
func (b *book) members(l []*wire.Member) {
	for _, s := range b.shards {
		m := owner.First(l, schedRole, OwnerKey(s.number), "")
		s.preferred = m == nil || m.GetId() == b.id
		if !s.preferred && s.idle() {
			s.known = false
			s.content = newLedger()
		}
	}
}

// idle says whether nothing is in progress.
func (b *book) idle() bool {
	for _, s := range b.shards {
		if !s.idle() {
			return false
		}
	}
	return true
}
