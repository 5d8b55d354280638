package replay

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times, and of their creation at the
// same time.
type clock struct {
	now time.Time
	due events
	n   uint64
}

type event struct {
	at time.Time
	n  uint64
	f  func()
}

func newClock() *clock { return &clock{now: time.UnixMilli(0)} }

func (c *clock) after(d time.Duration, f func()) {
	c.n++
	heap.Push(&c.due, event{c.now.Add(max(d, 0)), c.n, f})
}

// every calls f after each period for good.
func (c *clock) every(period time.Duration, f func()) {
	c.after(period, func() {
		f()
		c.every(period, f)
	})
}

// run runs the events up to a time since the start.
func (c *clock) run(until time.Duration) {
	u := time.UnixMilli(0).Add(until)
	for len(c.due) > 0 && !c.due[0].at.After(u) {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.f()
	}
	c.now = u
}

func (c *clock) since() time.Duration { return c.now.Sub(time.UnixMilli(0)) }

type events []event

func (l events) Len() int { return len(l) }

func (l events) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].n < l[j].n
	}
	return l[i].at.Before(l[j].at)
}

func (l events) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l *events) Push(e any) { *l = append(*l, e.(event)) }

func (l *events) Pop() any {
	n := len(*l) - 1
	e := (*l)[n]
	*l = (*l)[:n]
	return e
}
