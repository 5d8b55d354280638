package batch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Delay of the acknowledgement when the owner of an ended job could not be
// notified. By then the heartbeats of this front have made the owner look for the
// end at the platform. Together with the timeout of the notice it stays within the
// timeout of a call on a batch job.
const unnotifiedEndDelay = 1800 * time.Millisecond

const (
	// Time for which a front that was presumed dead is notified once it is heard
	// again, and the interval of the tries.
	remindTimeout  = 30 * time.Second
	remindInterval = 250 * time.Millisecond
)

// End ends a job. It returns once the end is stored and the owner of the job, if
// alive, has confirmed it or looks for it by itself. An owner that this front does
// not hear knows that it may be presumed dead, and starts no item without a look at
// the job. The errors are "job-missing", those of the platform, and
// "end-not-heeded", after which the call may be repeated.
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
			return trail.WrapError(e, codeJobMissing, trail.NotRun, "no such job").WithPlace(id)
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
	if w == "" || w == s.self.GetName() {
		return nil
	}
	if s.discoveryDone() && !s.fleet.Alive(time.Now(), w) {
		s.remindLater(w, id)
		return nil
	}
	e := s.peers.Notify(ctx, w, newNotice(o, nil))
	if e == nil {
		return nil
	}
	s.logger.WithError(e).WithFields(log.Fields{"job-id": id, "front": w}).Warn("batch: front that runs an ended job was not notified, all fronts look for the end")
	s.requestSearch()
	s.remindLater(w, id)
	if !sleep(ctx, unnotifiedEndDelay) {
		return trail.WrapError(e, "end-not-heeded", trail.NotRun, "owner of the job may still be running it").WithPlace(id)
	}
	return nil
}

// remindLater notifies a front, once it is heard, of the newest version of a job that
// it may still believe to run. A front that knows that it may have been presumed dead
// finds out by itself; one of an earlier version of the program does not.
func (s *Jobs) remindLater(front, id string) {
	c, f := context.WithTimeout(s.running, remindTimeout)
	go func() {
		defer f()
		for sleep(c, remindInterval) {
			if !s.fleet.Alive(time.Now(), front) {
				continue
			}
			o, _ := s.cachedOwner(id)
			e := s.peers.Notify(c, front, newNotice(o, nil))
			if e == nil {
				s.logger.WithFields(log.Fields{"job-id": id, "front": front}).Info("batch: front that may still run a job notified of its change")
				return
			}
		}
	}()
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
// a job that has ended or that the other front has taken over, and takes over a job
// that was handed over to this front.
func (s *Jobs) HandleNotice(notice *wire.JobNotice) {
	d := notice.GetName()
	o := object.New(kindJobs, d, notice.GetVersion(), notice.GetValue())
	j := &wire.BatchJob{}
	e := o.Decode(j)
	if e != nil {
		s.logger.WithError(e).WithField("job-id", d).Warn("batch: job object in a notice is not decodable")
		return
	}
	k := s.cacheJob(o, j)
	s.mu.Lock()
	j = k.job
	s.mu.Unlock()
	switch {
	case j.GetEnded():
		s.stopJob(d, "ended by its caller")
	case j.GetOwner() == "" && !j.GetComplete():
		go s.acceptHandOver(d, notice.GetProgress())
	case j.GetOwner() != "" && !s.isOwner(j):
		s.stopJob(d, "taken over by "+j.GetOwner())
	}
}
