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
const untoldPause = 1800 * time.Millisecond

// End ends a job and returns once that is kept and the front that runs the job
// heeds it. The errors are those of Results, and "end-not-heeded", after which
// the call may be repeated.
func (s *Jobs) End(c context.Context, id string) error {
	for {
		e := s.change(c, id, func(j *wire.BatchJob) bool {
			d := !j.GetEnded()
			j.SetEnded(true)
			return d
		})
		if e == nil {
			s.drop(id, "ended by its caller")
			return s.tell(c, id)
		}
		if errors.Is(e, trail.ErrNotFound) {
			return trail.WrapError(e, "job-missing", trail.NotRun, "no such job").At(id)
		}
		if !wait(c, writePause) {
			return e
		}
	}
}

// tell tells the owner of a job, if it is another front that lives, that the
// job has ended.
func (s *Jobs) tell(c context.Context, id string) error {
	o, w := s.owner(id)
	if w == "" || w == s.self.GetName() || s.settled() && !s.f.Alive(time.Now(), w) {
		return nil
	}
	e := s.peers.Tell(c, w, notice(o, nil))
	if e == nil {
		return nil
	}
	s.l.WithError(e).WithField("job-id", id).WithField("front", w).Warn("batch: front that runs an ended job was not told")
	if !wait(c, untoldPause) {
		return trail.WrapError(e, "end-not-heeded", trail.NotRun, "front that runs the job may not know of its end yet").At(id)
	}
	return nil
}

// owner returns the newest version of a job's object that is known and the
// front that runs the job by it, empty when there is none.
func (s *Jobs) owner(id string) (object.Object, string) {
	s.m.Lock()
	defer s.m.Unlock()
	k := s.known[id]
	if k == nil {
		return object.Object{}, ""
	}
	return k.object, k.job.GetOwner()
}

// notice is what another front is told of a job's object, with the progress of
// its items.
func notice(o object.Object, p []*wire.ItemProgress) *wire.JobNotice {
	n, v := o.Name(), o.Version()
	return wire.JobNotice_builder{Name: &n, Version: &v, Value: o.Value(), Progress: p}.Build()
}

// Noticed takes in a job's object that another front has changed.
func (s *Jobs) Noticed(n *wire.JobNotice) {
	d := n.GetName()
	o := object.New(kindJobs, d, n.GetVersion(), n.GetValue())
	j := &wire.BatchJob{}
	e := o.Decode(j)
	if e != nil {
		s.l.WithError(e).WithField("job-id", d).Warn("batch: notice of a job is not readable")
		return
	}
	s.remember(o, j)
	switch {
	case j.GetEnded():
		s.drop(d, "ended by its caller")
	case j.GetOwner() == "" && !j.GetComplete():
		go s.inherit(d, n.GetProgress())
	}
}
