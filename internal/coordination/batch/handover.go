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
	handOverTimeout = 1200 * time.Millisecond
	// Bound of the takeover of a job that another front has left to this one.
	takeOverTimeout = 3 * time.Second
	// Runs that have been ended are over after this time.
	runEndTimeout      = 100 * time.Millisecond
	runEndPollInterval = 5 * time.Millisecond
	// Bytes of the output of begun items that go with a job; a slow link takes
	// them within the bound of a notice.
	maxProgressBytes = 512 << 10
)

// Drain starts no new runs and leaves each job to the other fronts once its runs
// here have ended and their results are listed. At the end of c it does so
// with the others too.
func (s *Jobs) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	var w sync.WaitGroup
	for d := false; !d; {
		d = !sleep(ctx, dispatchInterval)
		for _, o := range s.claimForHandOver(d) {
			w.Go(func() { s.handOver(o) })
		}
		d = d || s.ownedCount() == 0
	}
	w.Wait()
}

// claimForHandOver takes the jobs without a run, or all, from those that this front runs.
func (s *Jobs) claimForHandOver(all bool) []*ownedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[*ownedJob]int{}
	for _, l := range s.runs {
		for _, r := range l {
			n[r.job]++
		}
	}
	var l []*ownedJob
	for _, o := range s.owned {
		if (all || n[o] == 0) && !o.handingOver {
			o.handingOver = true
			l = append(l, o)
		}
	}
	return l
}

// handOver lists the results at hand and releases a job.
func (s *Jobs) handOver(job *ownedJob) {
	c, f := context.WithTimeout(context.Background(), handOverTimeout)
	defer f()
	e := s.commit(c, job)
	if e != nil {
		s.logger.WithError(e).WithField("job-id", job.id).Warn("batch: results of a stopping front are lost, the items run again")
	}
	s.stopJob(job.id, "front is stopping")
	p := s.collectProgress(c, job)
	r := false
	e = s.updateJob(c, job.id, func(j *wire.BatchJob) bool {
		r = s.isOwner(j) && !j.GetComplete() && !j.GetEnded()
		if r {
			j.SetOwner("")
		}
		return r
	})
	if e != nil {
		s.logger.WithError(e).WithField("job-id", job.id).Warn("batch: job not released, another front takes it over later")
		return
	}
	if r {
		s.notifySuccessor(c, job.id, p)
	}
}

// collectProgress returns how far the items of a job that was dropped have come. It
// waits a moment for the runs that have been ended.
func (s *Jobs) collectProgress(ctx context.Context, job *ownedJob) []*wire.ItemProgress {
	for b := time.Now(); s.hasRuns(job) && time.Since(b) < runEndTimeout; {
		if !sleep(ctx, runEndPollInterval) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runningItems(job)
	var l []*wire.ItemProgress
	n := 0
	for i, p := range job.progress {
		// What comes without ids can't be resumed.
		if r[i] || p.lastEventID == "" {
			continue
		}
		n += len(p.output)
		if n > maxProgressBytes {
			break
		}
		l = append(l, wire.ItemProgress_builder{Item: proto.String(job.cached.items[i].GetId()), Last: &p.lastEventID, Text: p.output}.Build())
	}
	return l
}

// hasRuns says whether any item of a job runs.
func (s *Jobs) hasRuns(job *ownedJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningItems(job)) > 0
}

// runningItems returns the indexes of the items of a job that run; the caller holds
// the lock.
func (s *Jobs) runningItems(job *ownedJob) map[int]bool {
	m := map[int]bool{}
	for _, l := range s.runs {
		for _, r := range l {
			if r.job == job {
				m[r.index] = true
			}
		}
	}
	return m
}

// notifySuccessor tells the front that comes next for a job that it has no owner. If that
// one can't be told, all fronts look for it.
func (s *Jobs) notifySuccessor(ctx context.Context, id string, progress []*wire.ItemProgress) {
	n := s.successor(id, "")
	o, _ := s.cachedOwner(id)
	if n != "" {
		e := s.peers.Notify(ctx, n, newNotice(o, progress))
		if e == nil {
			s.logger.WithFields(log.Fields{"job-id": id, "front": n, "begun-items": len(progress)}).Info("batch: job left to another front")
			return
		}
		s.logger.WithError(e).WithFields(log.Fields{"job-id": id, "front": n}).Warn("batch: front that comes next for a job was not told")
	}
	s.released.Add(1)
	s.onLoadChange()
}

// acceptHandOver takes over a job that another front has left to this one. If this one
// stops too, or has just started, all look for it.
func (s *Jobs) acceptHandOver(id string, progress []*wire.ItemProgress) {
	if s.isDraining() || !s.discoveryDone() {
		s.released.Add(1)
		s.onLoadChange()
		return
	}
	c, f := context.WithTimeout(context.Background(), takeOverTimeout)
	defer f()
	s.mu.Lock()
	s.inheritedProgress[id] = progress
	s.mu.Unlock()
	s.takeOver(c, id)
	s.mu.Lock()
	delete(s.inheritedProgress, id)
	s.mu.Unlock()
}

// initialProgress returns the progress that another front has left with a job, by index
// of the item; the caller holds the lock.
func (s *Jobs) initialProgress(id string, items []*wire.BatchItem, listed map[string]bool) map[int]*itemProgress {
	m := map[int]*itemProgress{}
	l := map[string]*wire.ItemProgress{}
	for _, p := range s.inheritedProgress[id] {
		l[p.GetItem()] = p
	}
	for n, i := range items {
		p := l[i.GetId()]
		if p != nil && !listed[i.GetId()] {
			m[n] = &itemProgress{lastEventID: p.GetLast(), output: p.GetText(), hasData: true}
		}
	}
	return m
}

// Released returns how many jobs this front has left to no one in particular.
// When the number of another front has changed, Review finds the job.
func (s *Jobs) Released() uint32 { return s.released.Load() }
