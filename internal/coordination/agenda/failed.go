package agenda

import "time"

// RequeueFailed requeues an item whose run the backend server answered with a
// failure.
func (a *Agenda) RequeueFailed(now time.Time, id string, index int) {
	j := a.find(id)
	if j == nil {
		return
	}
	i := &j.items[index]
	i.broken = true
	i.failures++
	i.failedAt = now
	a.requeue(id, index, now.Add(failedBackoff))
}

// Failures returns the number of runs of an item that were answered with a failure.
func (a *Agenda) Failures(id string, index int) int {
	j := a.find(id)
	if j == nil {
		return 0
	}
	return j.items[index].failures
}

// Spent returns the indexes of the waiting items of a job that have failed at least
// failures times, and with suspended also of those that are suspended, if that was so
// before a time. It returns true if there are others for which it was not.
func (a *Agenda) Spent(id string, failures int, suspended bool, before time.Time) ([]int, bool) {
	j := a.find(id)
	if j == nil {
		return nil, false
	}
	var l []int
	o := false
	for n, i := range j.items {
		switch {
		case i.state != waiting || i.failures < failures && (!suspended || !i.suspended):
		case i.failedAt.Before(before):
			l = append(l, n)
		default:
			o = true
		}
	}
	return l, o
}

// Suspend requeues an item that does not run again. It stays among the waiting items
// whose last run did not succeed until it is closed.
func (a *Agenda) Suspend(now time.Time, id string, index int) {
	a.RequeueBroken(time.Time{}, id, index, false)
	j := a.find(id)
	if j != nil {
		j.items[index].suspended = true
		j.items[index].failedAt = now
	}
}
