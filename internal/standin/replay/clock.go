package replay

import (
	"container/heap"
	"time"
)

// clock is a simulated clock. It runs events in time order; events due at the
// same time run in the order of their creation.
type clock struct {
	now     time.Time
	pending eventHeap
	created uint64
}

type event struct {
	at     time.Time
	number uint64
	action func()
}

func newClock() *clock { return &clock{now: time.UnixMilli(0)} }

func (c *clock) after(delay time.Duration, action func()) {
	c.created++
	heap.Push(&c.pending, event{c.now.Add(max(delay, 0)), c.created, action})
}

// every runs an action after each period, until the simulation ends.
func (c *clock) every(period time.Duration, action func()) {
	c.after(period, func() {
		action()
		c.every(period, action)
	})
}

// run runs all events due up to and including a time since the start.
func (c *clock) run(until time.Duration) {
	u := time.UnixMilli(0).Add(until)
	for len(c.pending) > 0 && !c.pending[0].at.After(u) {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.action()
	}
	c.now = u
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(time.UnixMilli(0)) }

type eventHeap []event

func (l eventHeap) Len() int { return len(l) }

func (l eventHeap) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].number < l[j].number
	}
	return l[i].at.Before(l[j].at)
}

func (l eventHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l *eventHeap) Push(added any) { *l = append(*l, added.(event)) }

func (l *eventHeap) Pop() any {
	n := len(*l) - 1
	e := (*l)[n]
	*l = (*l)[:n]
	return e
}
