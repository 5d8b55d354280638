package agenda

import (
	"slices"
	"time"
)

const (
	// Assumed mean run time of items before any has completed, as a share of the
	// job's completion window.
	initialRunShare = 0.25
	// Weight of the newest sample in the moving average of the run time.
	runTimeWeight = 0.1
	// Minimum time that an item is assumed to need until it completes, even if it
	// has already run for longer than the mean.
	minRemainingTime = 200 * time.Millisecond
	// Backoff of an item after a run that was refused or broke off.
	brokenBackoff = 100 * time.Millisecond
	// An item whose runs are repeatedly lost without an event may be what crashes
	// the backend servers. Its backoff grows by this factor with each lost run, up
	// to maxLostBackoff, since an item must not stay idle for longer than that.
	lostBackoffFactor = 4
	maxLostBackoff    = 4 * time.Second
	// Least time between the starts of two items that were rejected. All items of a job
	// may be too large, and each start delays those that can run.
	rejectedInterval = 100 * time.Millisecond
	// Backoff after a run that the backend server answered with a failure.
	failedBackoff = 300 * time.Millisecond
)

// Agenda holds the jobs that a front runs. It is not safe for concurrent use.
type Agenda struct {
	// Sorted by due time.
	jobs []*job
	// Moving average of the run time of completed items, 0 before the first.
	meanRunTime time.Duration
	// No item that was rejected is started before.
	rejectedNotBefore time.Time
	// Returns which items of a job some backend servers can't take, nil for none;
	// never nil itself.
	particular func(job string) func(index int) bool
}

type job struct {
	id  string
	due time.Time
	// Time from the acceptance of the job until it is due.
	completionWindow time.Duration
	items            []item
	// Number of items that are waiting or running.
	unfinished int
}

type state int

const (
	waiting state = iota
	running
	closed
)

type item struct {
	id    string
	state state
	// Number of runs that the backend server answered with a failure.
	failures int
	// End of the last of them, or when the item was suspended.
	failedAt time.Time
	// End of the backoff.
	notBefore time.Time
	// The item has been started at least once by this front.
	started bool
	// Total time of its runs so far.
	runTime time.Duration
	// Number of consecutive runs that were lost without an event.
	consecutiveLosses int
	// Number of consecutive runs that were rejected, maybe for the item's size.
	rejections int
	// The last run was refused, broke off or failed.
	broken bool
	// The item does not run again.
	suspended bool
}

// New returns an empty agenda.
func New() *Agenda {
	return &Agenda{particular: func(string) func(int) bool { return nil }}
}

// SetParticular sets how to tell the items of a job that not all backend servers can
// take, by a function that may be nil if there are none. Next tries each of these items,
// so that one without a slot does not hold the others of its job up.
func (a *Agenda) SetParticular(particular func(job string) func(index int) bool) {
	a.particular = particular
}

// Add adds a job that is due at the given time; completionWindow is the time from
// its acceptance until then. Items whose id is in withResult already have a
// result and are not run. A job that is already known is ignored.
func (a *Agenda) Add(id string, due time.Time, completionWindow time.Duration, items []string, withResult map[string]bool) {
	if a.find(id) != nil {
		return
	}
	j := &job{id: id}
	for _, i := range items {
		s := waiting
		if withResult[i] {
			s = closed
		} else {
			j.unfinished++
		}
		j.items = append(j.items, item{id: i, state: s})
	}
	a.insert(j, due, completionWindow)
}

// insert adds a job to the list, which is sorted by due time.
func (a *Agenda) insert(job *job, due time.Time, completionWindow time.Duration) {
	job.due, job.completionWindow = due, completionWindow
	n := len(a.jobs)
	for n > 0 && a.jobs[n-1].due.After(due) {
		n--
	}
	a.jobs = slices.Insert(a.jobs, n, job)
}

// SetDue changes when a job is due, with the time from its acceptance until then. An
// unknown id is ignored.
func (a *Agenda) SetDue(id string, due time.Time, completionWindow time.Duration) {
	j := a.find(id)
	if j == nil {
		return
	}
	a.Remove(id)
	a.insert(j, due, completionWindow)
}

// Remove removes a job with its items. An unknown id is ignored.
func (a *Agenda) Remove(id string) {
	for n, j := range a.jobs {
		if j.id == id {
			a.jobs = append(a.jobs[:n], a.jobs[n+1:]...)
			return
		}
	}
}

func (a *Agenda) find(id string) *job {
	for _, j := range a.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

// Next returns the job and the index of the item that runs next, and marks the
// item as running. It calls acquireSlot for the items of each job in turn, and
// chooses the first one for which that returns true. Items that were started
// before may need a slot of their own kind, as may the particular ones; of the others,
// one of each job is tried. Next returns false if there is none.
//
// Items that can no longer complete on time run after all that can: when there
// is more work than slots, running them first would make all items late.
func (a *Agenda) Next(now time.Time, acquireSlot func(job string, index int) bool) (string, int, bool) {
	for _, t := range []bool{true, false} {
		for _, j := range a.jobs {
			if j.unfinished == 0 {
				continue
			}
			for _, n := range a.candidates(now, j, t) {
				if acquireSlot(j.id, n) {
					if j.items[n].rejections > 0 {
						a.rejectedNotBefore = now.Add(rejectedInterval)
					}
					j.items[n].state = running
					j.items[n].started = true
					return j.id, n, true
				}
			}
		}
	}
	return "", 0, false
}

// candidates returns the indexes of the items that may run next, best first, among
// those that can complete on time, or among those that cannot if onTime is false:
// all that were started before and the particular ones, then the first other one, then
// those that were rejected.
func (a *Agenda) candidates(now time.Time, job *job, onTime bool) []int {
	// r holds those that were rejected.
	var l, r []int
	f := -1
	m := a.particular(job.id)
	for n := range job.items {
		i := &job.items[n]
		switch {
		case i.state != waiting || i.suspended || now.Before(i.notBefore) || onTime != job.onTime(now, i, a.meanRunTime):
		case i.rejections > 0:
			if !now.Before(a.rejectedNotBefore) {
				r = append(r, n)
			}
		case i.started, m != nil && m(n):
			l = append(l, n)
		case f < 0:
			f = n
		}
	}
	if f >= 0 {
		l = append(l, f)
	}
	return append(l, r...)
}

// onTime reports whether an item started now is expected to complete before its
// job is due.
func (j *job) onTime(now time.Time, item *item, meanRunTime time.Duration) bool {
	if meanRunTime == 0 {
		meanRunTime = time.Duration(initialRunShare * float64(j.completionWindow))
	}
	return !now.Add(max(meanRunTime-item.runTime, minRemainingTime)).After(j.due)
}

// RecordRun adds the duration of a run to the run time of an item. If the item is
// complete, its run time is added to the moving average.
func (a *Agenda) RecordRun(id string, index int, duration time.Duration, complete bool) {
	j := a.find(id)
	if j == nil {
		return
	}
	i := &j.items[index]
	i.runTime += duration
	if !complete {
		return
	}
	if a.meanRunTime == 0 {
		a.meanRunTime = i.runTime
	}
	a.meanRunTime += time.Duration(runTimeWeight * float64(i.runTime-a.meanRunTime))
}

// HasWaiting reports whether any item is waiting to run.
func (a *Agenda) HasWaiting() bool {
	for _, j := range a.jobs {
		for n := range j.items {
			if j.items[n].state == waiting && !j.items[n].suspended {
				return true
			}
		}
	}
	return false
}

// RequeuePreempted requeues an item that was preempted, without a backoff.
func (a *Agenda) RequeuePreempted(id string, index int) {
	j := a.find(id)
	if j == nil {
		return
	}
	j.items[index].broken = false
	j.items[index].rejections = 0
	a.requeue(id, index, time.Time{})
}

// RequeueBroken requeues an item whose run was refused or broke off. lost says
// that the run may have started but produced no event.
func (a *Agenda) RequeueBroken(now time.Time, id string, index int, lost bool) {
	j := a.find(id)
	if j == nil {
		return
	}
	d := brokenBackoff
	i := &j.items[index]
	i.broken = true
	i.rejections = 0
	if !lost {
		i.consecutiveLosses = 0
	} else {
		d = growingBackoff(i.consecutiveLosses)
		i.consecutiveLosses++
	}
	a.requeue(id, index, now.Add(d))
}

// RequeueRejected requeues an item that a backend server rejected, maybe because it is
// too large. It may be so for all servers, so its backoff grows with each rejection, and
// items that were not rejected go first.
func (a *Agenda) RequeueRejected(now time.Time, id string, index int) {
	j := a.find(id)
	if j == nil {
		return
	}
	i := &j.items[index]
	i.broken = true
	d := growingBackoff(i.rejections)
	i.rejections++
	a.requeue(id, index, now.Add(d))
}

// growingBackoff returns the backoff after a number of runs without an event.
func growingBackoff(before int) time.Duration {
	d := brokenBackoff
	for range before {
		d = min(d*lostBackoffFactor, maxLostBackoff)
	}
	return d
}

func (a *Agenda) requeue(id string, index int, notBefore time.Time) {
	j := a.find(id)
	if j == nil || j.items[index].state != running {
		return
	}
	j.items[index].state = waiting
	j.items[index].notBefore = notBefore
}

// Close ends an item that has a result or is given up.
func (a *Agenda) Close(id string, index int) {
	j := a.find(id)
	if j == nil || j.items[index].state == closed {
		return
	}
	j.items[index].state = closed
	j.unfinished--
}

// Waiting returns the indexes of the waiting items of a job, or only of those whose
// last run was refused, broke off or failed.
func (a *Agenda) Waiting(id string, onlyBroken bool) []int {
	j := a.find(id)
	if j == nil {
		return nil
	}
	var l []int
	for n, i := range j.items {
		if i.state == waiting && (i.broken || !onlyBroken) {
			l = append(l, n)
		}
	}
	return l
}

// Unfinished returns the number of items of a job that are not closed.
func (a *Agenda) Unfinished(id string) int {
	j := a.find(id)
	if j == nil {
		return 0
	}
	return j.unfinished
}
