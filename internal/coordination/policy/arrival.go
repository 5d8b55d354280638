package policy

import (
	"cmp"
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
)

// arrivalQueue is a first-in, first-out queue: it serves calls in the order of
// their keys.
type arrivalQueue struct {
	// In ascending order.
	keys []uint64
}

func newArrivalQueue() *arrivalQueue { return &arrivalQueue{} }

func (q *arrivalQueue) Push(_ time.Time, queued trail.Queued) {
	i, _ := slices.BinarySearch(q.keys, queued.Key())
	q.keys = slices.Insert(q.keys, i, queued.Key())
}

func (q *arrivalQueue) Next(time.Time) (uint64, bool) {
	if len(q.keys) == 0 {
		return 0, false
	}
	return q.keys[0], true
}

func (q *arrivalQueue) Remove(key uint64, _ bool) bool {
	i, k := slices.BinarySearchFunc(q.keys, key, cmp.Compare[uint64])
	if !k {
		return false
	}
	q.keys = slices.Delete(q.keys, i, i+1)
	return true
}

func (q *arrivalQueue) Len() int { return len(q.keys) }

func (q *arrivalQueue) Ahead(string) int { return len(q.keys) }

func (q *arrivalQueue) Displaced(string) (uint64, bool) { return 0, false }
