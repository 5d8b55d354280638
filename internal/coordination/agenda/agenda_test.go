package agenda_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/agenda"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func always(string, int) bool { return true }

func next(queue *agenda.Agenda, now time.Time) string {
	j, n, o := queue.Next(now, always)
	if !o {
		return "none"
	}
	return fmt.Sprint(j, n)
}

// Guards against a small job that waits behind a large one with a later due time.
func TestEarliestDueFirst(t *testing.T) {
	a := agenda.New()
	a.Add("large", start.Add(time.Minute), time.Minute, []string{"a", "b", "c"}, nil)
	a.Add("small", start.Add(20*time.Second), time.Minute, []string{"d"}, nil)
	g := []string{next(a, start), next(a, start), next(a, start), next(a, start), next(a, start)}
	w := []string{"small0", "large0", "large1", "large2", "none"}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against work lost by preemption: a preempted item must be resumed before
// other items of its job are started.
func TestPreemptedItemResumesFirst(t *testing.T) {
	a := agenda.New()
	a.Add("j", start.Add(time.Minute), time.Minute, []string{"a", "b", "c"}, nil)
	g := []string{next(a, start), next(a, start)}
	a.RequeuePreempted("j", 1)
	g = append(g, next(a, start))
	if d := cmp.Diff([]string{"j0", "j1", "j1"}, g); d != "" {
		t.Error(d)
	}
}

// Guards against an item that is sent again at once to a backend server that has
// just refused it.
func TestBrokenItemBacksOff(t *testing.T) {
	a := agenda.New()
	a.Add("j", start.Add(time.Minute), time.Minute, []string{"a"}, nil)
	next(a, start)
	a.RequeueBroken(start, "j", 0, false)
	g := []string{next(a, start), next(a, start.Add(time.Second))}
	if d := cmp.Diff([]string{"none", "j0"}, g); d != "" {
		t.Error(d)
	}
}

// Guards against an item that fails in every run and is retried for ever, and
// against one that is given up before its last attempt.
func TestGivenUpAfterAttempts(t *testing.T) {
	a := agenda.New()
	a.Add("j", start.Add(time.Minute), time.Minute, []string{"a"}, nil)
	var g [][]int
	var q []bool
	for k := range 3 {
		n := start.Add(time.Duration(k) * time.Second)
		next(a, n)
		a.RequeueFailed(n, "j", 0)
		for _, b := range []time.Time{n, n.Add(time.Millisecond)} {
			l, o := a.Spent("j", 3, false, b)
			g, q = append(g, l), append(q, o)
		}
	}
	if d := cmp.Diff([][]int{nil, nil, nil, nil, nil, {0}}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]bool{false, false, false, false, true, false}, q); d != "" {
		t.Error(d)
	}
	a.Close("j", 0)
	if d := cmp.Diff(0, a.Unfinished("j")); d != "" {
		t.Error(d)
	}
}

// Guards against items with a result that run again after another front has taken
// over their job.
func TestItemsWithResultDoNotRunAgain(t *testing.T) {
	a := agenda.New()
	a.Add("j", start.Add(time.Minute), time.Minute, []string{"a", "b"}, map[string]bool{"a": true})
	g := []string{next(a, start), next(a, start)}
	if d := cmp.Diff([]string{"j1", "none"}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a job without a free slot that blocks the jobs after it.
func TestJobWithoutSlotDoesNotBlockOthers(t *testing.T) {
	a := agenda.New()
	a.Add("blocked", start.Add(time.Minute), time.Minute, []string{"a"}, nil)
	a.Add("free", start.Add(2*time.Minute), time.Minute, []string{"b"}, nil)
	j, _, _ := a.Next(start, func(id string, _ int) bool { return id == "free" })
	if d := cmp.Diff("free", j); d != "" {
		t.Error(d)
	}
}

// Guards against jobs that can no longer be on time and make all others late, as
// after a restart of all fronts, when more items are waiting than can complete on
// time.
func TestItemsThatCannotBeOnTimeRunLast(t *testing.T) {
	a := agenda.New()
	a.Add("late", start.Add(3*time.Second), 18*time.Second, []string{"a", "b"}, nil)
	a.Add("timely", start.Add(9*time.Second), 18*time.Second, []string{"c"}, nil)
	a.Add("done", start.Add(time.Hour), time.Hour, []string{"d"}, nil)
	g := []string{next(a, start)}
	// An item of the late job that is nearly complete can be on time.
	a.RecordRun("late", 0, 4*time.Second, false)
	g = append(g, next(a, start), next(a, start), next(a, start))
	w := []string{"timely0", "late0", "done0", "late1"}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against an item that crashes one backend server after another. After its
// fourth lost run it is run only every four seconds.
func TestLostItemBacksOffExponentially(t *testing.T) {
	a := agenda.New()
	a.Add("j", start.Add(time.Minute), time.Minute, []string{"a"}, nil)
	var g []time.Duration
	for d := time.Duration(0); d < 15*time.Second; d += 100 * time.Millisecond {
		_, _, k := a.Next(start.Add(d), always)
		if k {
			g = append(g, d)
			a.RequeueBroken(start.Add(d), "j", 0, true)
		}
	}
	w := []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 2100 * time.Millisecond, 6100 * time.Millisecond, 10100 * time.Millisecond, 14100 * time.Millisecond}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}
