package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const watchRetryInterval = time.Second

// watchEvent is a new list of the jobs or a change of one job.
type watchEvent struct {
	// Set when list has all jobs; the fields below it are empty then.
	listed  bool
	list    []versionedJob
	job     versionedJob
	id      string
	deleted bool
}

// watchJobs lists and watches the jobs until ctx ends.
func (s *Jobs) watchJobs(ctx context.Context) {
	var v int64
	for ctx.Err() == nil {
		b := time.Now()
		e := error(nil)
		if v == 0 {
			v, e = s.listJobs(ctx)
		}
		if e == nil {
			v, e = s.watchChanges(ctx, v)
		}
		if errors.Is(e, trail.ErrTooOld) {
			v = 0
		}
		if e != nil && ctx.Err() == nil {
			s.logger.WithError(e).Warn("jobs: list or watch of the jobs failed")
		}
		// Pause even after a watch that the platform closed at once, because each
		// request counts against the platform's rate limit.
		w := time.NewTimer(max(watchRetryInterval-time.Since(b), 0))
		select {
		case <-ctx.Done():
		case <-w.C:
		}
		w.Stop()
	}
}

func (s *Jobs) listJobs(ctx context.Context) (int64, error) {
	l, v, e := s.store.List(ctx, kindJobs)
	if e != nil {
		return 0, e
	}
	n := watchEvent{listed: true}
	for _, o := range l {
		x, e := decodeJob(o)
		if e != nil {
			s.logger.WithField("job", o.Name()).WithError(e).Error("jobs: job object not decodable")
			continue
		}
		n.list = append(n.list, x)
	}
	s.sendEvent(ctx, n)
	return v, nil
}

// watchChanges sends changes until the platform closes the watch. It returns
// the version of the last change.
func (s *Jobs) watchChanges(ctx context.Context, version int64) (int64, error) {
	w, e := s.store.Watch(ctx, kindJobs, version)
	if e != nil {
		return version, e
	}
	for x := range w {
		if x.Cause() != nil {
			return version, x.Cause()
		}
		version = max(version, x.Object().Version())
		n := watchEvent{id: x.Object().Name(), deleted: x.Deleted()}
		if !n.deleted {
			n.job, e = decodeJob(x.Object())
		}
		if e != nil {
			s.logger.WithField("job", n.id).WithError(e).Error("jobs: job object not decodable")
			continue
		}
		s.sendEvent(ctx, n)
	}
	return version, nil
}

func (s *Jobs) sendEvent(ctx context.Context, event watchEvent) {
	select {
	case s.watchEvents <- event:
	case <-ctx.Done():
	}
}

func decodeJob(stored object.Object) (versionedJob, error) {
	j := &wire.Job{}
	e := stored.Decode(j)
	if j.GetId() == "" {
		j.SetId(stored.Name())
	}
	return versionedJob{j, stored.Version()}, e
}
