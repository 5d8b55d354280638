package trail

import (
	"context"
	"io"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Policy selects the backend server for each call and the order of the queues. It
// is used by one goroutine and need not be safe for concurrent use.
type Policy interface {
	// Name returns the name of the policy in kebab case.
	Name() string
	// Queue returns an empty queue for the calls of one service and class.
	Queue(class wire.Class) Queue
	// Choose returns the index of the candidate that the call is dispatched to
	// and the reason in kebab case. There is at least one candidate, and every
	// one can accept the call. meanLoad is the load per backend server of the
	// service, counting the new call and the servers without a free slot.
	Choose(call *wire.Call, candidates []Candidate, meanLoad float64) (int, string)
}

// Queue orders the calls of one service and class that wait for a slot.
type Queue interface {
	// Push adds a call.
	Push(now time.Time, call Queued)
	// Next returns the key of the call to be dispatched next without removing
	// it. It returns false if the queue is empty.
	Next(now time.Time) (uint64, bool)
	// Remove removes a call. Only a dispatched call counts towards the share of
	// its caller. It returns false if the call is not queued.
	Remove(key uint64, dispatched bool) bool
	// Len returns the number of queued calls.
	Len() int
	// Ahead estimates how many queued calls would be dispatched before a new
	// call of the caller.
	Ahead(caller string) int
	// Displaced returns the queued call that is rejected when a new call of the
	// caller arrives and the queue is full. It returns false if the new call
	// itself is rejected.
	Displaced(caller string) (uint64, bool)
}

// Queued is a call in a queue.
type Queued struct {
	key     uint64
	call    *wire.Call
	arrived time.Time
}

// NewQueued returns a queue entry for a call. Keys increase in the order of
// arrival. A preempted call keeps its key and arrival time.
func NewQueued(key uint64, call *wire.Call, arrived time.Time) Queued {
	return Queued{key: key, call: call, arrived: arrived}
}

// Key returns the key that identifies the call at its scheduler.
func (q Queued) Key() uint64 { return q.key }

// Call returns the call, which must not be modified.
func (q Queued) Call() *wire.Call { return q.call }

// Arrived returns the time at which the call reached the scheduler.
func (q Queued) Arrived() time.Time { return q.arrived }

// Candidate is a backend server that can accept a call.
type Candidate struct {
	name            string
	load            int
	limit           int
	matchedPrefixes int
	preempts        bool
	workShare       float64
}

// NewCandidate returns a candidate. load is the number of calls in flight that
// would continue if the call were dispatched to it, limit the number of calls
// that it runs concurrently, and matchedPrefixes the number of leading prefix
// hashes of the call that are probably in its cache. If preempts is set, it has
// no free slot, and a batch call is preempted to free one.
func NewCandidate(name string, load, limit, matchedPrefixes int, preempts bool) Candidate {
	return Candidate{name: name, load: load, limit: limit, matchedPrefixes: matchedPrefixes, preempts: preempts}
}

// Name returns the host name.
func (c Candidate) Name() string { return c.name }

// Load returns the number of calls in flight that would continue. For an online
// call these are the online calls and the calls of other schedulers.
func (c Candidate) Load() int { return c.load }

// Limit returns the number of calls that the backend server runs concurrently.
func (c Candidate) Limit() int { return c.limit }

// MatchedPrefixes returns the number of leading prefix hashes of the call that
// are probably in the cache of the backend server.
func (c Candidate) MatchedPrefixes() int { return c.matchedPrefixes }

// WithWorkShare returns a copy of the candidate with its share of the recent
// online work of the service, relative to the mean over the backend servers. The
// share is 0 if it is not known.
func (c Candidate) WithWorkShare(share float64) Candidate {
	c.workShare = share
	return c
}

// WorkShare returns the share of the recent online work. 1 is the mean.
func (c Candidate) WorkShare() float64 { return c.workShare }

// Preempts reports whether a batch call must be preempted to free a slot.
func (c Candidate) Preempts() bool { return c.preempts }

// Metrics reads the load metrics that backend servers expose.
type Metrics interface {
	// Fetch returns the body of GET /metrics in Prometheus text format. The
	// address is an IP and port. The caller closes the body.
	Fetch(ctx context.Context, address string) (io.ReadCloser, error)
}
