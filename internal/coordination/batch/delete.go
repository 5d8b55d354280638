package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Retention period: the objects of a job that has ended or is complete are
// deleted this long after its acceptance, and can be read until then. It is
// counted with the clocks of different hosts, which differ by seconds at the
// most.
const retention = 15 * time.Minute

func (s *Jobs) expired(value *wire.BatchJob) bool {
	return time.Since(time.UnixMilli(value.GetAcceptedUnixMs())) > retention
}

// deleteJob deletes the objects of a job. The numbered objects go from the last
// to the first and the job object goes last, so that an interrupted deletion
// finds the rest when it is repeated.
func (s *Jobs) deleteJob(ctx context.Context, id string) {
	e := s.deleteParts(ctx, kindResults, id)
	if e == nil {
		e = s.deleteParts(ctx, kindInputs, id)
	}
	if e == nil {
		e = s.deleteObject(ctx, kindJobs, id)
	}
	if e != nil && !errors.Is(e, trail.ErrNotFound) {
		s.logger.WithError(e).WithField("job-id", id).Warn("batch: deletion of an expired job failed and is retried")
		return
	}
	s.mu.Lock()
	delete(s.cached, id)
	s.mu.Unlock()
	s.logger.WithField("job-id", id).Info("batch: old job deleted")
}

// deleteParts deletes the input or results objects of a job, the last one
// first.
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
