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

// take makes this member the owner of a job with a new epoch. It returns the
// job and its version, or an error when the job is not to be taken any more.
func (s *Jobs) take(c context.Context, id string) (*wire.Job, int64, error) {
	a := uuid.NewString()
	for i := 1; ; i++ {
		j, v, e := s.tryTake(c, id, a)
		if e == nil || errors.Is(e, trail.ErrNotFound) || errors.Is(e, errFinal) || c.Err() != nil {
			return j, v, e
		}
		if !errors.Is(e, trail.ErrConflict) {
			s.l.WithField("job", id).WithError(e).Warn("jobs: job could not be taken yet")
			s.pause(c, backoff(i, id+s.id))
		}
		if !s.preferred(id) || closed(s.draining) {
			return nil, 0, errNotPreferred
		}
	}
}

// pause waits; the end of c and a drain cut it short.
func (s *Jobs) pause(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-s.draining:
	case <-t.C:
	}
}

var (
	errFinal        = errors.New("job has ended")
	errNotPreferred = errors.New("another member is preferred")
)

// tryTake reads the job and updates it once. The attempt id finds an earlier
// try whose answer was lost.
func (s *Jobs) tryTake(c context.Context, id, attempt string) (*wire.Job, int64, error) {
	j, v, e := load(c, s.store, id)
	if e != nil {
		return nil, 0, e
	}
	if final(j.GetState()) {
		return nil, 0, errFinal
	}
	if j.GetOwner() == s.id && j.GetLastAttempt() == attempt {
		return j, v, nil
	}
	n := proto.CloneOf(j)
	n.SetOwner(s.id)
	n.SetEpoch(j.GetEpoch() + 1)
	n.SetLastAttempt(attempt)
	o, e := object.Encode(kindJobs, id, v, n)
	if e != nil {
		return nil, 0, e
	}
	o, e = s.store.Update(c, o)
	if e != nil {
		return nil, 0, e
	}
	return n, o.Version(), nil
}
