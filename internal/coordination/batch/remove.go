package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// A job that has ended can be read for so long after its acceptance, and its
// objects are deleted then. Clocks of hosts differ by seconds at the most.
const retention = 15 * time.Minute

func (s *Jobs) expired(j *wire.BatchJob) bool {
	return time.Since(time.UnixMilli(j.GetAcceptedUnixMs())) > retention
}

// remove deletes the objects of a job: the last parts first and the job's own at
// last, so that a removal that was interrupted is taken up again.
func (s *Jobs) remove(c context.Context, id string) {
	e := s.removeParts(c, kindResults, id)
	if e == nil {
		e = s.removeParts(c, kindInputs, id)
	}
	if e == nil {
		e = s.removeObject(c, kindJobs, id)
	}
	if e != nil && !errors.Is(e, trail.ErrNotFound) {
		s.l.WithError(e).WithField("job-id", id).Warn("batch: old job not deleted yet")
		return
	}
	s.m.Lock()
	delete(s.known, id)
	s.m.Unlock()
	s.l.WithField("job-id", id).Info("batch: old job deleted")
}

// removeParts deletes the numbered objects of a job.
func (s *Jobs) removeParts(c context.Context, kind, id string) error {
	var l []object.Object
	for {
		o, e := s.store.Get(c, kind, partName(id, len(l)))
		if errors.Is(e, trail.ErrNotFound) {
			break
		}
		if e != nil {
			return e
		}
		l = append(l, o)
	}
	for n := len(l) - 1; n >= 0; n-- {
		e := s.store.Delete(c, l[n])
		if e != nil {
			return e
		}
	}
	return nil
}

func (s *Jobs) removeObject(c context.Context, kind, name string) error {
	o, e := s.store.Get(c, kind, name)
	if e != nil {
		return e
	}
	return s.store.Delete(c, o)
}
