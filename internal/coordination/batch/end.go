package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Delay of the acknowledgement when the owner of an ended job could not be
// notified. The owner then finds the end by its periodic reconciliation, which
// reads objects up to 3 s old. After this delay no item starts later than 3 s
// after the acknowledgement. Together with the timeout of the notice it stays
// within the timeout of a call on a batch job.
const unnotifiedEndDelay = 1800 * time.Millisecond

// End ends a job. It returns once the end is stored and the owner of the job,
// if alive, has confirmed it or will find it by itself within 3 s. The errors
// are "job-missing", those of the platform, and "end-not-heeded", after which
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
			return trail.WrapError(e, "job-missing", trail.NotRun, "no such job").WithPlace(id)
		}
		if !sleep(ctx, writeRetryInterval) {
			return e
		}
	}
}

// notifyEnded notifies the owner of a job, if it is another live front, that
// the job has ended.
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
		return trail.WrapError(e, "end-not-heeded", trail.NotRun, "owner of the job may still be running it").WithPlace(id)
	}
	return nil
}

// cachedOwner returns the newest known version of a job's object and the owner
// that it names, empty when the job is unknown or has no owner.
func (s *Jobs) cachedOwner(id string) (object.Object, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.cached[id]
	if k == nil {
		return object.Object{}, ""
	}
	return k.object, k.job.GetOwner()
}

// newNotice returns the message that carries a job's object, and the progress
// of its items, to another front.
func newNotice(obj object.Object, progress []*wire.ItemProgress) *wire.JobNotice {
	n, v := obj.Name(), obj.Version()
	return wire.JobNotice_builder{Name: &n, Version: &v, Value: obj.Value(), Progress: progress}.Build()
}

// HandleNotice applies a job's object that another front has changed: it stops
// an ended job, and takes over a job that was handed over to this front.
func (s *Jobs) HandleNotice(notice *wire.JobNotice) {
	d := notice.GetName()
	o := object.New(kindJobs, d, notice.GetVersion(), notice.GetValue())
	j := &wire.BatchJob{}
	e := o.Decode(j)
	if e != nil {
		s.logger.WithError(e).WithField("job-id", d).Warn("batch: job object in a notice is not decodable")
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
