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

func (s *Jobs) expired(value *wire.BatchJob) bool {
	return time.Since(time.UnixMilli(value.GetAcceptedUnixMs())) > retention
}

// deleteJob deletes the objects of a job: the last parts first and the job's own at
// last, so that a removal that was interrupted is taken up again.
func (s *Jobs) deleteJob(ctx context.Context, id string) {
	e := s.deleteParts(ctx, kindResults, id)
	if e == nil {
		e = s.deleteParts(ctx, kindInputs, id)
	}
	if e == nil {
		e = s.deleteObject(ctx, kindJobs, id)
	}
	if e != nil && !errors.Is(e, trail.ErrNotFound) {
		s.logger.WithError(e).WithField("job-id", id).Warn("batch: old job not deleted yet")
		return
	}
	s.mu.Lock()
	delete(s.cached, id)
	s.mu.Unlock()
	s.logger.WithField("job-id", id).Info("batch: old job deleted")
}

// deleteParts deletes the numbered objects of a job.
func (s *Jobs) deleteParts(ctx context.Context, kind, id string) error {
	var l []object.Object
	for {
		o, e := s.store.Get(ctx, kind, partName(id, len(l)))
		if errors.Is(e, trail.ErrNotFound) {
			break
		}
		if e != nil {
			return e
		}
		l = append(l, o)
	}
	for n := len(l) - 1; n >= 0; n-- {
		e := s.store.Delete(ctx, l[n])
		if e != nil {
			return e
		}
	}
	return nil
}

func (s *Jobs) deleteObject(ctx context.Context, kind, name string) error {
	o, e := s.store.Get(ctx, kind, name)
	if e != nil {
		return e
	}
	return s.store.Delete(ctx, o)
}
