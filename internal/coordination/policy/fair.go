package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Once a call has waited this long, no later call that is shorter may
	// overtake it.
	maxOvertakenWait = 2 * time.Second
	// A batch call with less slack to its deadline than this takes precedence
	// over fairness.
	urgentSlack = time.Minute
	// Estimated service time per token of cost, from which the slack of batch
	// calls is computed. It is the target for the time between tokens.
	timePerToken = 27 * time.Millisecond
	// Cost in tokens of a call without an estimate. It counts as short.
	defaultCost = 256
)

// noDeadline is the latest start of batch calls without a deadline. It orders
// them last.
var noDeadline = time.Unix(1<<40, 0)

// fairQueue implements start-time fair queueing between callers, with cost in
// tokens. Within a caller, online calls are served shortest first and batch
// calls by least slack.
type fairQueue struct {
	class   wire.Class
	shares  map[string]*callerShare
	entries map[uint64]*entry
	// Virtual time: the tokens of service received by a caller that has always
	// had calls queued. It never decreases while calls are queued.
	virtualTime float64
}

// callerShare holds the queued calls of one caller.
type callerShare struct {
	caller string
	// Virtual time at which the caller's next call starts.
	startTag float64
	// Ordered by rank, the next to serve first.
	byRank []*entry
	// Ordered by key, oldest first.
	byArrival []*entry
}

type entry struct {
	trail.Queued
	share *callerShare
	cost  float64
	// Order within the caller, lowest first: the cost of an online call, the
	// latest start of a batch call in Unix seconds.
	rank float64
	// Latest time at which a batch call can start and still meet its deadline.
	// Not set for online calls.
	latestStart time.Time
}

func newFairQueue(class wire.Class) *fairQueue {
	return &fairQueue{class: class, shares: map[string]*callerShare{}, entries: map[uint64]*entry{}}
}

func (q *fairQueue) Push(_ time.Time, queued trail.Queued) {
	r := queued.Call()
	s := q.shares[r.GetCaller()]
	if s == nil {
		s = &callerShare{caller: r.GetCaller(), startTag: q.virtualTime}
		q.shares[s.caller] = s
	}
	if len(s.byArrival) == 0 {
		s.startTag = max(s.startTag, q.virtualTime)
	}
	e := &entry{Queued: queued, share: s, cost: float64(cmp.Or(r.GetCostTokens(), defaultCost))}
	e.rank = e.cost
	if q.class == wire.Class_CLASS_BATCH {
		e.latestStart = latestStart(r)
		e.rank = float64(e.latestStart.Unix())
	}
	q.entries[queued.Key()] = e
	i, _ := slices.BinarySearchFunc(s.byRank, e, compareRank)
	s.byRank = slices.Insert(s.byRank, i, e)
	i, _ = slices.BinarySearchFunc(s.byArrival, e, compareKey)
	s.byArrival = slices.Insert(s.byArrival, i, e)
}

func latestStart(request *wire.Call) time.Time {
	if request.GetDeadlineUnixMs() == 0 {
		return noDeadline
	}
	return time.UnixMilli(request.GetDeadlineUnixMs()).Add(-time.Duration(request.GetCostTokens()) * timePerToken)
}

func compareRank(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Key(), b.Key()))
}

func compareKey(a, b *entry) int { return cmp.Compare(a.Key(), b.Key()) }

func (q *fairQueue) Next(now time.Time) (uint64, bool) {
	// The call with the lowest tag, and the overdue call of the caller with the
	// lowest start tag.
	var m, o *entry
	var l float64
	// Lowest start tag of the callers without an overdue call, and lowest cost
	// of the callers' next calls.
	f, c := math.Inf(1), math.Inf(1)
	for _, s := range q.shares {
		if len(s.byArrival) == 0 {
			if s.startTag <= q.virtualTime {
				// A new share would get the same start tag.
				delete(q.shares, s.caller)
			}
			continue
		}
		c = min(c, s.byRank[0].cost)
		if q.hasOverdue(now, s) {
			if a := s.byArrival[0]; o == nil || s.startTag < o.share.startTag || s.startTag == o.share.startTag && a.Key() < o.Key() {
				o = a
			}
			continue
		}
		f = min(f, s.startTag)
		e, t := q.nextOf(now, s)
		if m == nil || t < l || t == l && e.Key() < m.Key() {
			m, l = e, t
		}
	}
	// An overdue call is overtaken, whatever its cost, only by callers that
	// have received less service by more than the cost of a call.
	if o != nil && o.share.startTag <= f+c {
		m = o
	}
	if m == nil {
		return 0, false
	}
	return m.Key(), true
}

// hasOverdue returns whether the caller's oldest call has waited so long that
// no shorter call may overtake it.
func (q *fairQueue) hasOverdue(now time.Time, share *callerShare) bool {
	return q.class == wire.Class_CLASS_ONLINE && now.Sub(share.byArrival[0].Arrived()) >= maxOvertakenWait
}

// nextOf returns the caller's next call and its tag. The call with the lowest
// tag is served first.
func (q *fairQueue) nextOf(now time.Time, share *callerShare) (*entry, float64) {
	e := share.byRank[0]
	if q.class == wire.Class_CLASS_BATCH {
		if k := e.latestStart.Sub(now); k < urgentSlack {
			// The large offset places urgent calls before all others; among
			// them the one with the least slack comes first.
			return e, k.Seconds() - urgentSlack.Seconds() - 1e12
		}
		return e, share.startTag
	}
	return e, share.startTag + e.cost
}

func (q *fairQueue) Remove(key uint64, dispatched bool) bool {
	e := q.entries[key]
	if e == nil {
		return false
	}
	s := e.share
	delete(q.entries, key)
	i, _ := slices.BinarySearchFunc(s.byRank, e, compareRank)
	s.byRank = slices.Delete(s.byRank, i, i+1)
	i, _ = slices.BinarySearchFunc(s.byArrival, e, compareKey)
	s.byArrival = slices.Delete(s.byArrival, i, i+1)
	if dispatched {
		q.virtualTime = max(q.virtualTime, s.startTag)
		s.startTag += e.cost
	}
	if len(q.entries) == 0 {
		// Earlier service is not held against a caller once the queue has been
		// empty.
		clear(q.shares)
		return true
	}
	if len(s.byArrival) == 0 && s.startTag <= q.virtualTime {
		delete(q.shares, s.caller)
	}
	return true
}

func (q *fairQueue) Len() int { return len(q.entries) }

// Ahead estimates the number of calls served first on the assumption that the
// callers take turns.
func (q *fairQueue) Ahead(caller string) int {
	n := 0
	w := 0
	if s := q.shares[caller]; s != nil {
		n = len(s.byArrival)
	}
	for _, s := range q.shares {
		if s.caller != caller {
			w += min(len(s.byArrival), n+1)
		}
	}
	return w + n
}

// Displaced returns the newest call of the caller with the most queued calls,
// if these are more than those of the given caller including its new call.
func (q *fairQueue) Displaced(caller string) (uint64, bool) {
	n := 1
	if s := q.shares[caller]; s != nil {
		n += len(s.byArrival)
	}
	var m *callerShare
	for _, s := range q.shares {
		if len(s.byArrival) <= n {
			continue
		}
		if m == nil || len(s.byArrival) > len(m.byArrival) || len(s.byArrival) == len(m.byArrival) && s.caller < m.caller {
			m = s
		}
	}
	if m == nil {
		return 0, false
	}
	return m.byArrival[len(m.byArrival)-1].Key(), true
}
