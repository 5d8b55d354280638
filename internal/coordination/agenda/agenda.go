package agenda

import (
	"time"
)

const (
	// Part of the time until a job is due that an item is taken to run, before
	// any has run to its end.
	initialRunShare = 0.25
	// Weight of the newest item in the average.
	runTimeWeight = 0.1
	// Least time that a begun item is taken to need.
	minRemainingTime = 200 * time.Millisecond
	// Rest of an item after a run that was refused or broken.
	brokenBackoff = 100 * time.Millisecond
	// An item whose runs are lost without an event, one after the other, may
	// be what brings the backend servers down: its rest grows by this factor
	// with each, up to the longest, after which it may not lie any longer.
	lostBackoffFactor = 4
	maxLostBackoff    = 4 * time.Second
	// Rest after a run that the backend server answered with a failure.
	failedBackoff = 300 * time.Millisecond
)

// Agenda holds the jobs that a front runs. It is used by one goroutine at a
// time.
type Agenda struct {
	// In the order in which they are due.
	jobs []*job
	// Average time that an item runs, 0 before the first.
	meanRunTime time.Duration
}

type job struct {
	id  string
	due time.Time
	// Time from acceptance until it is due.
	completionWindow time.Duration
	items            []item
	// Items that wait or run.
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
	// Runs that the backend server answered with a failure.
	failures int
	// Not run before this time.
	notBefore time.Time
	// Has run in part.
	started bool
	// Time that it has run so far.
	runTime time.Duration
	// Runs in a row that were lost without an event.
	consecutiveLosses int
}

// New returns an empty agenda.
func New() *Agenda { return &Agenda{} }

// Add takes in a job that is due at a time, after it was allowed so long. Its
// items with an id in listed have a result already.
func (a *Agenda) Add(id string, due time.Time, completionWindow time.Duration, items []string, withResult map[string]bool) {
	if a.find(id) != nil {
		return
	}
	j := &job{id: id, due: due, completionWindow: completionWindow}
	for _, i := range items {
		s := waiting
		if withResult[i] {
			s = closed
		} else {
			j.unfinished++
		}
		j.items = append(j.items, item{id: i, state: s})
	}
	n := len(a.jobs)
	for n > 0 && a.jobs[n-1].due.After(due) {
		n--
	}
	a.jobs = append(a.jobs, nil)
	copy(a.jobs[n+1:], a.jobs[n:])
	a.jobs[n] = j
}

// Remove drops a job.
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

// Next returns the job and the index of the item that runs next, and marks it as
// running. It asks allowed for each job in turn that has such an item, and takes
// the first one that is. It returns false when there is none now.
//
// Items that can no longer be done in time come after all that can: when there
// is more work than slots, running them first would make all late.
func (a *Agenda) Next(now time.Time, acquireSlot func(job string) bool) (string, int, bool) {
	for _, t := range []bool{true, false} {
		for _, j := range a.jobs {
			if j.unfinished == 0 {
				continue
			}
			n := j.next(now, t, a.meanRunTime)
			if n < 0 || !acquireSlot(j.id) {
				continue
			}
			j.items[n].state = running
			j.items[n].started = true
			return j.id, n, true
		}
	}
	return "", 0, false
}

// next returns the item that runs next among those that can, or cannot, be
// done in time.
func (j *job) next(now time.Time, onTime bool, meanRunTime time.Duration) int {
	b := -1
	for n := range j.items {
		i := &j.items[n]
		if i.state != waiting || now.Before(i.notBefore) || onTime != j.onTime(now, i, meanRunTime) {
			continue
		}
		if i.started {
			return n
		}
		if b < 0 {
			b = n
		}
	}
	return b
}

// onTime says whether an item that starts now is done before its job is due.
func (j *job) onTime(now time.Time, item *item, meanRunTime time.Duration) bool {
	if meanRunTime == 0 {
		meanRunTime = time.Duration(initialRunShare * float64(j.completionWindow))
	}
	return !now.Add(max(meanRunTime-item.runTime, minRemainingTime)).After(j.due)
}

// RecordRun adds to the time that an item has run. An item that is done counts for
// the average.
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

// HasWaiting says whether any item waits for a run.
func (a *Agenda) HasWaiting() bool {
	for _, j := range a.jobs {
		for n := range j.items {
			if j.items[n].state == waiting {
				return true
			}
		}
	}
	return false
}

// RequeuePreempted returns an item that gave up its slot.
func (a *Agenda) RequeuePreempted(id string, index int) { a.requeue(id, index, time.Time{}) }

// RequeueBroken returns an item whose run was refused or broke off. Lost says that the
// run may have begun and gave no event.
func (a *Agenda) RequeueBroken(now time.Time, id string, index int, lost bool) {
	j := a.find(id)
	if j == nil {
		return
	}
	d := brokenBackoff
	i := &j.items[index]
	if !lost {
		i.consecutiveLosses = 0
	} else {
		for range i.consecutiveLosses {
			d = min(d*lostBackoffFactor, maxLostBackoff)
		}
		i.consecutiveLosses++
	}
	a.requeue(id, index, now.Add(d))
}

// RequeueFailed returns an item whose run the backend server answered with a failure.
// An item with so many failures is given up, which closes it; Failed returns
// whether this one is.
func (a *Agenda) RequeueFailed(now time.Time, id string, index, maxAttempts int) bool {
	j := a.find(id)
	if j == nil {
		return false
	}
	i := &j.items[index]
	i.failures++
	if i.failures >= maxAttempts {
		a.Close(id, index)
		return true
	}
	a.requeue(id, index, now.Add(failedBackoff))
	return false
}

func (a *Agenda) requeue(id string, index int, notBefore time.Time) {
	j := a.find(id)
	if j == nil || j.items[index].state != running {
		return
	}
	j.items[index].state = waiting
	j.items[index].notBefore = notBefore
}

// Close ends an item that has a result.
func (a *Agenda) Close(id string, index int) {
	j := a.find(id)
	if j == nil || j.items[index].state == closed {
		return
	}
	j.items[index].state = closed
	j.unfinished--
}

// Unfinished returns the number of items of a job without a result.
func (a *Agenda) Unfinished(id string) int {
	j := a.find(id)
	if j == nil {
		return 0
	}
	return j.unfinished
}
