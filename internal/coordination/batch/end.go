package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// A front that could not be told of a job's end finds it by its reviews, whose
// copies of the platform's objects may be three seconds old. The end is
// acknowledged so much later that no item begins three seconds after that. With
// the time of the notice it is within the bound of a call on a batch job.
const unnotifiedEndDelay = 1800 * time.Millisecond

// End ends a job and returns once that is kept and the front that runs the job
// heeds it. The errors are those of Results, and "end-not-heeded", after which
// the call may be repeated.
func (s *Jobs) End(ctx context.Context, id string) error {
	for {
		e := s.updateJob(ctx, id, func(j *wire.BatchJob) bool {
			d := !j.GetEnded()
			j.SetEnded(true)
			return d
		})
		if e == nil {
			s.stopJob(id, "ended by its caller")
			return s.notifyEnded(ctx, id)
		}
		if errors.Is(e, trail.ErrNotFound) {
			return trail.WrapError(e, "job-missing", trail.NotRun, "no such job").At(id)
		}
		if !sleep(ctx, writeRetryInterval) {
			return e
		}
	}
}

// notifyEnded tells the owner of a job, if it is another front that lives, that the
// job has ended.
func (s *Jobs) notifyEnded(ctx context.Context, id string) error {
	o, w := s.cachedOwner(id)
	if w == "" || w == s.self.GetName() || s.discoveryDone() && !s.fleet.Alive(time.Now(), w) {
		return nil
	}
	e := s.peers.Notify(ctx, w, newNotice(o, nil))
	if e == nil {
		return nil
	}
	s.logger.WithError(e).WithField("job-id", id).WithField("front", w).Warn("batch: front that runs an ended job was not told")
	if !sleep(ctx, unnotifiedEndDelay) {
		return trail.WrapError(e, "end-not-heeded", trail.NotRun, "front that runs the job may not know of its end yet").At(id)
	}
	return nil
}

// cachedOwner returns the newest version of a job's object that is known and the
// front that runs the job by it, empty when there is none.
func (s *Jobs) cachedOwner(id string) (object.Object, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.cached[id]
	if k == nil {
		return object.Object{}, ""
	}
	return k.object, k.job.GetOwner()
}

// newNotice is what another front is told of a job's object, with the progress of
// its items.
func newNotice(obj object.Object, progress []*wire.ItemProgress) *wire.JobNotice {
	n, v := obj.Name(), obj.Version()
	return wire.JobNotice_builder{Name: &n, Version: &v, Value: obj.Value(), Progress: progress}.Build()
}

// HandleNotice takes in a job's object that another front has changed.
func (s *Jobs) HandleNotice(notice *wire.JobNotice) {
	d := notice.GetName()
	o := object.New(kindJobs, d, notice.GetVersion(), notice.GetValue())
	j := &wire.BatchJob{}
	e := o.Decode(j)
	if e != nil {
		s.logger.WithError(e).WithField("job-id", d).Warn("batch: notice of a job is not readable")
		return
	}
	s.cacheJob(o, j)
	switch {
	case j.GetEnded():
		s.stopJob(d, "ended by its caller")
	case j.GetOwner() == "" && !j.GetComplete():
		go s.acceptHandOver(d, notice.GetProgress())
	}
}
