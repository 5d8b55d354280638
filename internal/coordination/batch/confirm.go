package batch

import (
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

const (
	// While other fronts may presume this one dead, an item starts within this time
	// of a read that has found this process as the owner of its job.
	confirmedFor = time.Second
	// Other fronts no longer presume this one dead when nothing has told so for this
	// long, two heartbeats.
	doubtTimeout = 500 * time.Millisecond
	// Pause before a read is repeated that has failed.
	confirmRetryInterval = 250 * time.Millisecond
)

// confirmed says whether no other front can have taken the job over: none has
// presumed this one dead since the job's object named this process as its owner.
// presumedDead is when that may have happened last.
func (o *ownedJob) confirmed(presumedDead time.Time) bool {
	return o.confirmedAt.After(presumedDead)
}

// confirmedLately says whether the job's object named this process as its owner a
// moment ago.
func (o *ownedJob) confirmedLately(now time.Time) bool { return now.Sub(o.confirmedAt) < confirmedFor }

// mayStart says whether items of a job may start: this process is sure to be its
// owner, or was so a moment ago. So the items of a job that another front has taken
// over, or that was ended there, stop within that moment. The caller holds the lock.
func (s *Jobs) mayStart(now, presumedDead time.Time, job *ownedJob) bool {
	if job.confirmed(presumedDead) || job.confirmedLately(now) {
		return true
	}
	s.confirm(job)
	return false
}

// confirmAll checks the owner of all jobs for which another front may have presumed
// this one dead, once none does any more. Their items may all have started.
func (s *Jobs) confirmAll(now time.Time) {
	d := s.fleet.LastPresumedDead(now)
	if now.Sub(d) < doubtTimeout {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.owned {
		if !o.confirmed(d) {
			s.confirm(o)
		}
	}
}

// confirm starts a read of a job's object that finds out whether this process is
// still its owner, unless one is in progress. The caller holds the lock.
func (s *Jobs) confirm(job *ownedJob) {
	if !job.confirming {
		job.confirming = true
		go s.confirmOwner(job)
	}
}

// confirmOwner reads a job's object from the platform itself, and stops the job if
// it has ended or another front has taken it over.
func (s *Jobs) confirmOwner(job *ownedJob) {
	b := time.Now()
	o, e := s.store.Get(job.ctx, kindJobs, job.id)
	switch {
	case e == nil:
		s.reconcileObject(job.ctx, o, triggerRequested)
		s.logger.WithFields(log.Fields{"job-id": job.id, "still-owner": job.ctx.Err() == nil, "ms": time.Since(b).Milliseconds()}).Info("batch: owner of a job checked, other fronts may have presumed this one dead")
	case errors.Is(e, trail.ErrNotFound):
		s.stopJob(job.id, "its object was deleted")
	case job.ctx.Err() == nil:
		s.logger.WithError(e).WithField("job-id", job.id).Warn("batch: owner of a job could not be checked, its items do not start until it is")
		sleep(job.ctx, confirmRetryInterval)
	}
	s.mu.Lock()
	job.confirming = false
	if e == nil {
		job.confirmedAt = b
	}
	s.mu.Unlock()
	s.TriggerDispatch()
}
