package agenda

import (
	"time"
)

const (
	// Rest of an item after a run that was refused or broken.
	brokenRest = 100 * time.Millisecond
	// Rest after a run that the backend server answered with a failure.
	failedRest = 300 * time.Millisecond
)

// Agenda holds the jobs that a front runs. It is used by one goroutine at a
// time.
type Agenda struct {
	// In the order in which they are due.
	jobs []*job
}

type job struct {
	id  string
	due time.Time
	// Failures after which an item is given up.
	attempts int
	items    []item
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
}

// New returns an empty agenda.
func New() *Agenda { return &Agenda{} }

// Add takes in a job whose items with an id in listed have a result already.
// An item is given up after so many failures.
func (a *Agenda) Add(id string, due time.Time, attempts int, items []string, listed map[string]bool) {
	if a.find(id) != nil {
		return
	}
	j := &job{id: id, due: due, attempts: max(attempts, 1)}
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
func (a *Agenda) Next(now time.Time, allowed func(job string) bool) (string, int, bool) {
	for _, j := range a.jobs {
		if j.open == 0 {
			continue
		}
		n := j.next(now)
		if n < 0 || !allowed(j.id) {
			continue
		}
		j.items[n].state = running
		j.items[n].begun = true
		return j.id, n, true
	}
	return "", 0, false
}

func (j *job) next(now time.Time) int {
	b := -1
	for n := range j.items {
		i := &j.items[n]
		if i.state != waiting || now.Before(i.rest) {
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

// Broken returns an item whose run was refused or broke off.
func (a *Agenda) Broken(now time.Time, id string, n int) { a.requeue(id, n, now.Add(brokenRest)) }

// Failed returns an item whose run the backend server answered with a failure.
// It reports whether the item is given up, which closes it.
func (a *Agenda) Failed(now time.Time, id string, n int) bool {
	j := a.find(id)
	if j == nil {
		return false
	}
	i := &j.items[n]
	i.failures++
	if i.failures >= j.attempts {
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
