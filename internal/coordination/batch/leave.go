package batch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Bound of the time in which a stopping front releases its jobs.
	releaseTimeout = 1200 * time.Millisecond
	// Bound of the takeover of a job that another front has left to this one.
	inheritTimeout = 3 * time.Second
	// Runs that have been ended are over after this time.
	endedTime  = 100 * time.Millisecond
	endedPause = 5 * time.Millisecond
	// Bytes of the output of begun items that go with a job; a slow link takes
	// them within the bound of a notice.
	maxProgress = 512 << 10
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
	p := s.progressOf(c, o)
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
		s.leave(c, o.id, p)
	}
}

// progressOf returns how far the items of a job that was dropped have come. It
// waits a moment for the runs that have been ended.
func (s *Jobs) progressOf(c context.Context, o *owned) []*wire.ItemProgress {
	for b := time.Now(); s.anyRuns(o) && time.Since(b) < endedTime; {
		if !wait(c, endedPause) {
			break
		}
	}
	s.m.Lock()
	defer s.m.Unlock()
	r := s.running(o)
	var l []*wire.ItemProgress
	n := 0
	for i, p := range o.progress {
		// What comes without ids can't be resumed.
		if r[i] || p.last == "" {
			continue
		}
		n += len(p.text)
		if n > maxProgress {
			break
		}
		l = append(l, wire.ItemProgress_builder{Item: proto.String(o.k.input[i].GetId()), Last: &p.last, Text: p.text}.Build())
	}
	return l
}

// anyRuns says whether any item of a job runs.
func (s *Jobs) anyRuns(o *owned) bool {
	s.m.Lock()
	defer s.m.Unlock()
	return len(s.running(o)) > 0
}

// running returns the indexes of the items of a job that run; the caller holds
// the lock.
func (s *Jobs) running(o *owned) map[int]bool {
	m := map[int]bool{}
	for _, l := range s.runs {
		for _, r := range l {
			if r.o == o {
				m[r.n] = true
			}
		}
	}
	return m
}

// leave tells the front that comes next for a job that it has no owner. If that
// one can't be told, all fronts look for it.
func (s *Jobs) leave(c context.Context, id string, p []*wire.ItemProgress) {
	n := s.first(id, "")
	o, _ := s.owner(id)
	if n != "" {
		e := s.peers.Tell(c, n, notice(o, p))
		if e == nil {
			s.l.WithFields(log.Fields{"job-id": id, "front": n, "begun-items": len(p)}).Info("batch: job left to another front")
			return
		}
		s.l.WithError(e).WithFields(log.Fields{"job-id": id, "front": n}).Warn("batch: front that comes next for a job was not told")
	}
	s.released.Add(1)
	s.changed()
}

// inherit takes over a job that another front has left to this one. If this one
// stops too, or has just started, all look for it.
func (s *Jobs) inherit(id string, p []*wire.ItemProgress) {
	if s.stopping() || !s.settled() {
		s.released.Add(1)
		s.changed()
		return
	}
	c, f := context.WithTimeout(context.Background(), inheritTimeout)
	defer f()
	s.m.Lock()
	s.inherited[id] = p
	s.m.Unlock()
	s.adopt(c, id)
	s.m.Lock()
	delete(s.inherited, id)
	s.m.Unlock()
}

// resume returns the progress that another front has left with a job, by index
// of the item; the caller holds the lock.
func (s *Jobs) resume(id string, items []*wire.BatchItem, listed map[string]bool) map[int]*progress {
	m := map[int]*progress{}
	l := map[string]*wire.ItemProgress{}
	for _, p := range s.inherited[id] {
		l[p.GetItem()] = p
	}
	for n, i := range items {
		p := l[i.GetId()]
		if p != nil && !listed[i.GetId()] {
			m[n] = &progress{last: p.GetLast(), text: p.GetText(), begun: true}
		}
	}
	return m
}

// Released returns how many jobs this front has left to no one in particular.
// When the number of another front has changed, Review finds the job.
func (s *Jobs) Released() uint32 { return s.released.Load() }
