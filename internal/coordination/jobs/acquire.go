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

// acquire makes this member the owner of a job with a new epoch. It returns the
// job and its version, or an error when the job is not to be taken any more.
func (s *Jobs) acquire(ctx context.Context, id string) (*wire.Job, int64, error) {
	a := uuid.NewString()
	for i := 1; ; i++ {
		j, v, e := s.tryAcquire(ctx, id, a)
		if e == nil || errors.Is(e, trail.ErrNotFound) || errors.Is(e, errFinal) || ctx.Err() != nil {
			return j, v, e
		}
		if !errors.Is(e, trail.ErrConflict) {
			s.logger.WithField("job", id).WithError(e).Warn("jobs: job could not be taken yet")
			s.pause(ctx, backoff(i, id+s.memberID))
		}
		if !s.isPreferred(id) || isClosed(s.draining) {
			return nil, 0, errNotPreferred
		}
	}
}

// pause waits; the end of c and a drain cut it short.
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
	errFinal        = errors.New("job has ended")
	errNotPreferred = errors.New("another member is preferred")
)

// tryAcquire reads the job and updates it once. The attempt id finds an earlier
// try whose answer was lost.
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
