package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// acquire makes this member the owner of a job under a new epoch. It retries
// until it succeeds, the job does not exist or has ended, another member is
// preferred, a drain starts or ctx ends. It returns the job and its version.
func (s *Jobs) acquire(ctx context.Context, id string) (*wire.Job, int64, error) {
	a := uuid.NewString()
	for i := 1; ; i++ {
		j, v, e := s.tryAcquire(ctx, id, a)
		if e == nil || errors.Is(e, trail.ErrNotFound) || errors.Is(e, errFinal) || ctx.Err() != nil {
			return j, v, e
		}
		if !errors.Is(e, trail.ErrConflict) {
			s.logger.WithField("job", id).WithError(e).Warn("jobs: try to acquire a job failed")
			s.pause(ctx, backoff(i, id+s.memberID))
		}
		if !s.isPreferred(id) || isClosed(s.draining) {
			return nil, 0, errNotPreferred
		}
	}
}

// pause waits for the given time, or less when ctx ends or a drain starts.
func (s *Jobs) pause(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.draining:
	case <-t.C:
	}
}

var (
	errFinal        = errors.New("job is in a final state")
	errNotPreferred = errors.New("another scheduler is preferred or this one is draining")
)

// tryAcquire reads the job and updates its owner once. If the job already has
// the attempt id, an earlier update took effect although its response was lost.
func (s *Jobs) tryAcquire(ctx context.Context, id, attemptID string) (*wire.Job, int64, error) {
	j, v, e := loadJob(ctx, s.store, id)
	if e != nil {
		return nil, 0, e
	}
	if isFinal(j.GetState()) {
		return nil, 0, errFinal
	}
	if j.GetOwner() == s.memberID && j.GetLastAttempt() == attemptID {
		return j, v, nil
	}
	n := proto.CloneOf(j)
	n.SetOwner(s.memberID)
	n.SetEpoch(j.GetEpoch() + 1)
	n.SetLastAttempt(attemptID)
	o, e := object.Encode(kindJobs, id, v, n)
	if e != nil {
		return nil, 0, e
	}
	o, e = s.store.Update(ctx, o)
	if e != nil {
		return nil, 0, e
	}
	return n, o.Version(), nil
}
