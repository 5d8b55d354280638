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
	maxShortFirstWait = 2 * time.Second
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
	callers map[string]*share
	entries map[uint64]*entry
	// Tokens of service that a caller has received which was always waiting.
	// Never decreases while calls are queued.
	virtual float64
}

// share is one caller's part of a queue.
type share struct {
	caller string
	// Tokens of service at which the caller's next call starts.
	start float64
	// By rank, the first to serve first.
	ranked []*entry
	// By key, the oldest first.
	arrived []*entry
}

type entry struct {
	trail.Queued
	s    *share
	cost float64
	// Order within the caller, smaller first: the cost of an online call, the
	// latest start of a batch call in Unix seconds.
	rank float64
	// Only for batch calls.
	latestStart time.Time
}

func newFairQueue(class wire.Class) *fairQueue {
	return &fairQueue{class: class, callers: map[string]*share{}, entries: map[uint64]*entry{}}
}

func (q *fairQueue) Push(_ time.Time, a trail.Queued) {
	r := a.Call()
	s := q.callers[r.GetCaller()]
	if s == nil {
		s = &share{caller: r.GetCaller(), start: q.virtual}
		q.callers[s.caller] = s
	}
	if len(s.arrived) == 0 {
		s.start = max(s.start, q.virtual)
	}
	e := &entry{Queued: a, s: s, cost: float64(cmp.Or(r.GetCostTokens(), defaultCost))}
	e.rank = e.cost
	if q.class == wire.Class_CLASS_BATCH {
		e.latestStart = latestStart(r)
		e.rank = float64(e.latestStart.Unix())
	}
	q.entries[a.Key()] = e
	i, _ := slices.BinarySearchFunc(s.ranked, e, byRank)
	s.ranked = slices.Insert(s.ranked, i, e)
	i, _ = slices.BinarySearchFunc(s.arrived, e, byKey)
	s.arrived = slices.Insert(s.arrived, i, e)
}

func latestStart(r *wire.Call) time.Time {
	if r.GetDeadlineUnixMs() == 0 {
		return noDeadline
	}
	return time.UnixMilli(r.GetDeadlineUnixMs()).Add(-time.Duration(r.GetCostTokens()) * timePerToken)
}

func byRank(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Key(), b.Key()))
}

func byKey(a, b *entry) int { return cmp.Compare(a.Key(), b.Key()) }

func (q *fairQueue) Next(now time.Time) (uint64, bool) {
	// The best call in order, and the best of those that have waited long.
	var m, o *entry
	var l float64
	// Least start of a caller whose first call has not, and least cost of all.
	f, c := math.Inf(1), math.Inf(1)
	for _, s := range q.callers {
		if len(s.arrived) == 0 {
			if s.start <= q.virtual {
				// The caller would start at the same tag without its share.
				delete(q.callers, s.caller)
			}
			continue
		}
		c = min(c, s.ranked[0].cost)
		if q.overdue(now, s) {
			if a := s.arrived[0]; o == nil || s.start < o.s.start || s.start == o.s.start && a.Key() < o.Key() {
				o = a
			}
			continue
		}
		f = min(f, s.start)
		e, t := q.head(now, s)
		if m == nil || t < l || t == l && e.Key() < m.Key() {
			m, l = e, t
		}
	}
	// Whatever it costs, an overdue call is passed only by callers that have had
	// less service by a call.
	if o != nil && o.s.start <= f+c {
		m = o
	}
	if m == nil {
		return 0, false
	}
	return m.Key(), true
}

// overdue says whether the caller's oldest call has waited for so long that no
// shorter one may pass it.
func (q *fairQueue) overdue(now time.Time, s *share) bool {
	return q.class == wire.Class_CLASS_ONLINE && now.Sub(s.arrived[0].Arrived()) >= maxShortFirstWait
}

// head returns the caller's next call and its tag; the smallest tag is served.
func (q *fairQueue) head(now time.Time, s *share) (*entry, float64) {
	e := s.ranked[0]
	if q.class == wire.Class_CLASS_BATCH {
		if k := e.latestStart.Sub(now); k < urgentSlack {
			// Below every tag of a caller, and the least slack first.
			return e, k.Seconds() - urgentSlack.Seconds() - 1e12
		}
		return e, s.start
	}
	return e, s.start + e.cost
}

func (q *fairQueue) Remove(key uint64, dispatched bool) bool {
	e := q.entries[key]
	if e == nil {
		return false
	}
	s := e.s
	delete(q.entries, key)
	i, _ := slices.BinarySearchFunc(s.ranked, e, byRank)
	s.ranked = slices.Delete(s.ranked, i, i+1)
	i, _ = slices.BinarySearchFunc(s.arrived, e, byKey)
	s.arrived = slices.Delete(s.arrived, i, i+1)
	if dispatched {
		q.virtual = max(q.virtual, s.start)
		s.start += e.cost
	}
	if len(q.entries) == 0 {
		// With nothing waiting, earlier service gives no caller a claim.
		clear(q.callers)
		return true
	}
	if len(s.arrived) == 0 && s.start <= q.virtual {
		delete(q.callers, s.caller)
	}
	return true
}

func (q *fairQueue) Len() int { return len(q.entries) }

// Ahead assumes that the callers take turns.
func (q *fairQueue) Ahead(caller string) int {
	n := 0
	w := 0
	if s := q.callers[caller]; s != nil {
		n = len(s.arrived)
	}
	for _, s := range q.callers {
		if s.caller != caller {
			w += min(len(s.arrived), n+1)
		}
	}
	return w + n
}

// Displaced returns the newest call of the caller with the most queued calls.
func (q *fairQueue) Displaced(caller string) (uint64, bool) {
	n := 1
	if s := q.callers[caller]; s != nil {
		n += len(s.arrived)
	}
	var m *share
	for _, s := range q.callers {
		if len(s.arrived) <= n {
			continue
		}
		if m == nil || len(s.arrived) > len(m.arrived) || len(s.arrived) == len(m.arrived) && s.caller < m.caller {
			m = s
		}
	}
	if m == nil {
		return 0, false
	}
	return m.arrived[len(m.arrived)-1].Key(), true
}
