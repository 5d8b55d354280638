package trail

import (
	"context"
	"io"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Policy chooses the backend server of a call and the order of a queue. It is
// used by one task; its methods are not called at the same time.
type Policy interface {
	// Name returns the name of the policy in kebab case.
	Name() string
	// Queue returns an empty queue for the calls of one service and class.
	Queue(class wire.Class) Queue
	// Choose returns the index of the backend server that takes the call, and
	// the reason in kebab case. It is given at least one candidate, and each
	// may take the call. The mean is the load per backend server of the
	// service with the new call, over those with and without a free slot.
	Choose(call *wire.Call, candidates []Candidate, meanLoad float64) (int, string)
}

// Queue orders the calls of one service and class that wait for a slot.
type Queue interface {
	// Push adds a call.
	Push(now time.Time, call Queued)
	// Next returns the key of the call that is dispatched next and leaves it
	// in the queue. It returns false when the queue is empty.
	Next(now time.Time) (uint64, bool)
	// Remove takes a call out. Only a dispatched call counts as service to its
	// caller. It returns false when the call is not queued.
	Remove(key uint64, dispatched bool) bool
	// Len returns the number of queued calls.
	Len() int
	// Ahead estimates how many queued calls are dispatched before a new call
	// of the caller.
	Ahead(caller string) int
	// Displaced returns the queued call that gives up its place in a full
	// queue to a new call of the caller, false when it is the new call itself.
	Displaced(caller string) (uint64, bool)
}

// Queued is a call in a queue.
type Queued struct {
	key     uint64
	call    *wire.Call
	arrived time.Time
}

// NewQueued returns a queue entry for a call. Keys grow with the order of
// arrival; a preempted call keeps its key and time.
func NewQueued(key uint64, call *wire.Call, arrived time.Time) Queued {
	return Queued{key: key, call: call, arrived: arrived}
}

// Key identifies the call at its scheduler.
func (q Queued) Key() uint64 { return q.key }

// Call returns the request, which must not be changed.
func (q Queued) Call() *wire.Call { return q.call }

// Arrived returns when the call reached the scheduler.
func (q Queued) Arrived() time.Time { return q.arrived }

// Candidate is a backend server that may take a call.
type Candidate struct {
	name            string
	load            int
	limit           int
	matchedPrefixes int
	preempts        bool
	workShare       float64
}

// NewCandidate returns a candidate. The load counts the calls in flight that
// stay when the call is dispatched there, the limit those that the backend
// server takes at once, matched the leading prefix hashes of the call that it
// probably has in its cache. A candidate that preempts has no free slot; a
// batch call gives up its own.
func NewCandidate(name string, load, limit, matchedPrefixes int, preempts bool) Candidate {
	return Candidate{name: name, load: load, limit: limit, matchedPrefixes: matchedPrefixes, preempts: preempts}
}

// Name returns the host name.
func (c Candidate) Name() string { return c.name }

// Load returns the number of calls in flight that stay. For an online call
// these are the online calls and those of other schedulers.
func (c Candidate) Load() int { return c.load }

// Limit returns the number of calls that the backend server takes at once.
func (c Candidate) Limit() int { return c.limit }

// MatchedPrefixes returns the number of leading prefix hashes that are probably cached.
func (c Candidate) MatchedPrefixes() int { return c.matchedPrefixes }

// WithWorkShare returns the candidate with its part of the recent online work of
// the service, relative to the mean of the backend servers. It is 0 when not
// known.
func (c Candidate) WithWorkShare(share float64) Candidate {
	c.workShare = share
	return c
}

// WorkShare returns the part of the recent online work, 1 for the mean.
func (c Candidate) WorkShare() float64 { return c.workShare }

// Preempts returns whether a batch call gives up its slot to the call.
func (c Candidate) Preempts() bool { return c.preempts }

// Metrics reads what backend servers say about their own load.
type Metrics interface {
	// Fetch returns the answer to GET /metrics in Prometheus text format. The
	// address is IP and port. The reader of the answer closes it.
	Fetch(ctx context.Context, address string) (io.ReadCloser, error)
}
