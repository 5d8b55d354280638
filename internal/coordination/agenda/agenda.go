package agenda

import (
	"time"
)

const (
	// Part of the time until a job is due that an item is taken to run, before
	// any has run to its end.
	initialShare = 0.25
	// Weight of the newest item in the average.
	timeWeight = 0.1
	// Least time that a begun item is taken to need.
	leastTime = 200 * time.Millisecond
	// Rest of an item after a run that was refused or broken.
	brokenRest = 100 * time.Millisecond
	// An item whose runs are lost without an event, one after the other, may
	// be what brings the backend servers down: its rest grows by this factor
	// with each, up to the longest, after which it may not lie any longer.
	lostFactor  = 4
	longestRest = 4 * time.Second
	// Rest after a run that the backend server answered with a failure.
	failedRest = 300 * time.Millisecond
)

// Agenda holds the jobs that a front runs. It is used by one goroutine at a
// time.
type Agenda struct {
	// In the order in which they are due.
	jobs []*job
	// Average time that an item runs, 0 before the first.
	itemTime time.Duration
}

type job struct {
	id  string
	due time.Time
	// Time from acceptance until it is due.
	allowed time.Duration
	items   []item
	// Items that wait or run.
	open int
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
	rest time.Time
	// Has run in part.
	begun bool
	// Time that it has run so far.
	ran time.Duration
	// Runs in a row that were lost without an event.
	lost int
}

// New returns an empty agenda.
func New() *Agenda { return &Agenda{} }

// Add takes in a job that is due at a time, after it was allowed so long. Its
// items with an id in listed have a result already.
func (a *Agenda) Add(id string, due time.Time, allowed time.Duration, items []string, listed map[string]bool) {
	if a.find(id) != nil {
		return
	}
	j := &job{id: id, due: due, allowed: allowed}
	for _, i := range items {
		s := waiting
		if listed[i] {
			s = closed
		} else {
			j.open++
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
func (a *Agenda) Next(now time.Time, allowed func(job string) bool) (string, int, bool) {
	for _, t := range []bool{true, false} {
		for _, j := range a.jobs {
			if j.open == 0 {
				continue
			}
			n := j.next(now, t, a.itemTime)
			if n < 0 || !allowed(j.id) {
				continue
			}
			j.items[n].state = running
			j.items[n].begun = true
			return j.id, n, true
		}
	}
	return "", 0, false
}

// next returns the item that runs next among those that can, or cannot, be
// done in time.
func (j *job) next(now time.Time, timely bool, itemTime time.Duration) int {
	b := -1
	for n := range j.items {
		i := &j.items[n]
		if i.state != waiting || now.Before(i.rest) || timely != j.timely(now, i, itemTime) {
			continue
		}
		if i.begun {
			return n
		}
		if b < 0 {
			b = n
		}
	}
	return b
}

// timely says whether an item that starts now is done before its job is due.
func (j *job) timely(now time.Time, i *item, itemTime time.Duration) bool {
	if itemTime == 0 {
		itemTime = time.Duration(initialShare * float64(j.allowed))
	}
	return !now.Add(max(itemTime-i.ran, leastTime)).After(j.due)
}

// Ran adds to the time that an item has run. An item that is done counts for
// the average.
func (a *Agenda) Ran(id string, n int, d time.Duration, done bool) {
	j := a.find(id)
	if j == nil {
		return
	}
	i := &j.items[n]
	i.ran += d
	if !done {
		return
	}
	if a.itemTime == 0 {
		a.itemTime = i.ran
	}
	a.itemTime += time.Duration(timeWeight * float64(i.ran-a.itemTime))
}

// Waiting says whether any item waits for a run.
func (a *Agenda) Waiting() bool {
	for _, j := range a.jobs {
		for n := range j.items {
			if j.items[n].state == waiting {
				return true
			}
		}
	}
	return false
}

// Yielded returns an item that gave up its slot.
func (a *Agenda) Yielded(id string, n int) { a.requeue(id, n, time.Time{}) }

// Broken returns an item whose run was refused or broke off. Lost says that the
// run may have begun and gave no event.
func (a *Agenda) Broken(now time.Time, id string, n int, lost bool) {
	j := a.find(id)
	if j == nil {
		return
	}
	d := brokenRest
	i := &j.items[n]
	if !lost {
		i.lost = 0
	} else {
		for range i.lost {
			d = min(d*lostFactor, longestRest)
		}
		i.lost++
	}
	a.requeue(id, n, now.Add(d))
}

// Failed returns an item whose run the backend server answered with a failure.
// An item with so many failures is given up, which closes it; Failed returns
// whether this one is.
func (a *Agenda) Failed(now time.Time, id string, n, attempts int) bool {
	j := a.find(id)
	if j == nil {
		return false
	}
	i := &j.items[n]
	i.failures++
	if i.failures >= attempts {
		a.Close(id, n)
		return true
	}
	a.requeue(id, n, now.Add(failedRest))
	return false
}

func (a *Agenda) requeue(id string, n int, rest time.Time) {
	j := a.find(id)
	if j == nil || j.items[n].state != running {
		return
	}
	j.items[n].state = waiting
	j.items[n].rest = rest
}

// Close ends an item that has a result.
func (a *Agenda) Close(id string, n int) {
	j := a.find(id)
	if j == nil || j.items[n].state == closed {
		return
	}
	j.items[n].state = closed
	j.open--
}

// Open returns the number of items of a job without a result.
func (a *Agenda) Open(id string) int {
	j := a.find(id)
	if j == nil {
		return 0
	}
	return j.open
}
