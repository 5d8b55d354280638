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
	// A long call is not passed by shorter ones that came later once it has
	// waited so long.
	maxOvertakenWait = 2 * time.Second
	// A batch call with less slack to its deadline goes before fairness.
	urgentSlack = time.Minute
	// Assumed time per token of cost, for the slack of batch calls. It is the
	// target for the time between tokens.
	timePerToken = 27 * time.Millisecond
	// A call without an estimate counts as short.
	defaultCost = 256
)

// noDeadline sorts batch calls without a deadline last.
var noDeadline = time.Unix(1<<40, 0)

// fairQueue serves the callers by start-time fair queueing with cost in
// tokens. Within a caller, short online calls come before long ones and batch
// calls are ordered by slack.
type fairQueue struct {
	class   wire.Class
	shares  map[string]*callerShare
	entries map[uint64]*entry
	// Tokens of service that a caller has received which was always waiting.
	// Never decreases while calls are queued.
	virtualTime float64
}

// callerShare is one caller's part of a queue.
type callerShare struct {
	caller string
	// Tokens of service at which the caller's next call starts.
	startTag float64
	// By rank, the first to serve first.
	byRank []*entry
	// By key, the oldest first.
	byArrival []*entry
}

type entry struct {
	trail.Queued
	share *callerShare
	cost  float64
	// Order within the caller, smaller first: the cost of an online call, the
	// latest start of a batch call in Unix seconds.
	rank float64
	// Only for batch calls.
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
	// The best call in order, and the best of those that have waited long.
	var m, o *entry
	var l float64
	// Least start of a caller whose first call has not, and least cost of all.
	f, c := math.Inf(1), math.Inf(1)
	for _, s := range q.shares {
		if len(s.byArrival) == 0 {
			if s.startTag <= q.virtualTime {
				// The caller would start at the same tag without its share.
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
	// Whatever it costs, an overdue call is passed only by callers that have had
	// less service by a call.
	if o != nil && o.share.startTag <= f+c {
		m = o
	}
	if m == nil {
		return 0, false
	}
	return m.Key(), true
}

// hasOverdue says whether the caller's oldest call has waited for so long that no
// shorter one may pass it.
func (q *fairQueue) hasOverdue(now time.Time, share *callerShare) bool {
	return q.class == wire.Class_CLASS_ONLINE && now.Sub(share.byArrival[0].Arrived()) >= maxOvertakenWait
}

// nextOf returns the caller's next call and its tag; the smallest tag is served.
func (q *fairQueue) nextOf(now time.Time, share *callerShare) (*entry, float64) {
	e := share.byRank[0]
	if q.class == wire.Class_CLASS_BATCH {
		if k := e.latestStart.Sub(now); k < urgentSlack {
			// Below every tag of a caller, and the least slack first.
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
		// With nothing waiting, earlier service gives no caller a claim.
		clear(q.shares)
		return true
	}
	if len(s.byArrival) == 0 && s.startTag <= q.virtualTime {
		delete(q.shares, s.caller)
	}
	return true
}

func (q *fairQueue) Len() int { return len(q.entries) }

// Ahead assumes that the callers take turns.
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

// Displaced returns the newest call of the caller with the most queued calls.
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
