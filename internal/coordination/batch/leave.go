package batch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Bound of the time in which a stopping front releases its jobs.
	releaseTimeout = 1200 * time.Millisecond
	// Bound of the takeover of a job that another front has left to this one.
	inheritTimeout = 3 * time.Second
)

// Drain starts no new runs and leaves each job to the other fronts once its runs
// here have ended and their results are listed. At the end of c it does so
// with the others too.
func (s *Jobs) Drain(c context.Context) {
	s.m.Lock()
	s.leaving = true
	s.m.Unlock()
	var w sync.WaitGroup
	for d := false; !d; {
		d = !wait(c, dispatchPause)
		for _, o := range s.idle(d) {
			w.Go(func() { s.handOver(o) })
		}
		d = d || s.ownedJobs() == 0
	}
	w.Wait()
}

// idle takes the jobs without a run, or all, from those that this front runs.
func (s *Jobs) idle(all bool) []*owned {
	s.m.Lock()
	defer s.m.Unlock()
	n := map[*owned]int{}
	for _, l := range s.runs {
		for _, r := range l {
			n[r.o]++
		}
	}
	var l []*owned
	for _, o := range s.owned {
		if (all || n[o] == 0) && !o.leaving {
			o.leaving = true
			l = append(l, o)
		}
	}
	return l
}

// handOver lists the results at hand and releases a job.
func (s *Jobs) handOver(o *owned) {
	c, f := context.WithTimeout(context.Background(), releaseTimeout)
	defer f()
	e := s.commit(c, o)
	if e != nil {
		s.l.WithError(e).WithField("job-id", o.id).Warn("batch: results of a stopping front are lost, the items run again")
	}
	s.drop(o.id, "front is stopping")
	r := false
	e = s.change(c, o.id, func(j *wire.BatchJob) bool {
		r = s.mine(j) && !j.GetComplete() && !j.GetEnded()
		if r {
			j.SetOwner("")
		}
		return r
	})
	if e != nil {
		s.l.WithError(e).WithField("job-id", o.id).Warn("batch: job not released, another front takes it over later")
		return
	}
	if r {
		s.leave(c, o.id)
	}
}

// leave tells the front that comes next for a job that it has no owner. If that
// one can't be told, all fronts look for it.
func (s *Jobs) leave(c context.Context, id string) {
	n := s.first(id, "")
	o, _ := s.owner(id)
	if n != "" {
		e := s.peers.Tell(c, n, o)
		if e == nil {
			s.l.WithFields(log.Fields{"job-id": id, "front": n}).Info("batch: job left to another front")
			return
		}
		s.l.WithError(e).WithFields(log.Fields{"job-id": id, "front": n}).Warn("batch: front that comes next for a job was not told")
	}
	s.released.Add(1)
	s.changed()
}

// inherit takes over a job that another front has left to this one. If this one
// stops too, or has just started, all look for it.
func (s *Jobs) inherit(id string) {
	if s.stopping() || !s.settled() {
		s.released.Add(1)
		s.changed()
		return
	}
	c, f := context.WithTimeout(context.Background(), inheritTimeout)
	defer f()
	s.adopt(c, id)
}

// Released returns how many jobs this front has left to no one in particular.
// When the number of another front has changed, Review finds the job.
func (s *Jobs) Released() uint32 { return s.released.Load() }
