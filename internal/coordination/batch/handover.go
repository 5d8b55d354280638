package batch

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/event"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Timeout for the hand-over of a job by a stopping front.
	handOverTimeout = 1200 * time.Millisecond
	// Writes of the pending results before a hand-over, which needs the rest of its
	// timeout to release the job.
	handOverCommitTries = 5
	// Timeout for the takeover of a job that another front has handed over.
	takeOverTimeout = 3 * time.Second
	// Time within which cancelled runs have returned.
	runEndTimeout      = 100 * time.Millisecond
	runEndPollInterval = 5 * time.Millisecond
	// Most bytes of partial output that are handed over with a job. A slow link
	// carries them within the timeout of a notice.
	maxProgressBytes = 512 << 10
)

// Drain starts no new runs and hands each job over once its runs on this front
// have ended and their results are listed. When ctx ends it also hands over the
// jobs with runs, which are cancelled. It returns once all hand-overs are done.
func (s *Jobs) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	var w sync.WaitGroup
	// Whether ctx has ended or no job is left.
	for d := false; !d; {
		d = !sleep(ctx, dispatchInterval)
		for _, o := range s.claimForHandOver(d) {
			w.Go(func() { s.handOver(o) })
		}
		d = d || s.ownedCount() == 0
	}
	w.Wait()
}

// claimForHandOver marks the jobs without runs, or all jobs, as being handed
// over and returns those that were not marked before.
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

// handOver writes the pending results of a job, removes the owner from its
// object and notifies the successor.
func (s *Jobs) handOver(job *ownedJob) {
	c, f := context.WithTimeout(context.Background(), handOverTimeout)
	defer f()
	e := s.commit(c, job)
	for n := 1; e != nil && n < handOverCommitTries && sleep(c, writeRetryInterval); n++ {
		e = s.commit(c, job)
	}
	if e != nil {
		s.logger.WithError(e).WithField("job-id", job.id).Warn("batch: write of results before a hand-over failed, the items run again")
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
		s.logger.WithError(e).WithField("job-id", job.id).Warn("batch: release of a job failed, another front takes it over later")
		return
	}
	if r {
		s.notifySuccessor(c, job.id, p)
	}
}

// collectProgress returns the progress of the items of a job that was stopped.
// It waits up to runEndTimeout for the cancelled runs to return.
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
		// The progress of an item that still runs may change, and a stream
		// without event ids, or of an unknown version, can't be resumed.
		if r[i] || !p.resumable() || p.build.IsUnknown() {
			continue
		}
		x := wire.ItemProgress_builder{
			Item: proto.String(job.items[i].GetId()), Last: &p.lastEventID, Text: p.output,
			Service: proto.String(p.build.Service()), Version: proto.String(p.build.Version()),
		}.Build()
		w := proto.Size(x)
		if n+w > maxProgressBytes {
			// A large output does not keep back the others.
			continue
		}
		n += w
		l = append(l, x)
	}
	return l
}

// hasRuns says whether any item of a job is running.
func (s *Jobs) hasRuns(job *ownedJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningItems(job)) > 0
}

// runningItems returns the indexes of the running items of a job; the caller
// holds the lock.
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

// notifySuccessor hands a job without an owner over to another front. If there
// is none or it can't be notified, the released count goes up, upon which all
// fronts look for the job.
func (s *Jobs) notifySuccessor(ctx context.Context, id string, progress []*wire.ItemProgress) {
	n := s.handOverTarget(id)
	o, _ := s.cachedOwner(id)
	if n != "" {
		e := s.peers.Notify(ctx, n, newNotice(o, progress))
		if e == nil {
			s.logger.WithFields(log.Fields{"job-id": id, "front": n, "begun-items": len(progress)}).Info("batch: job left to another front")
			return
		}
		s.logger.WithError(e).WithFields(log.Fields{"job-id": id, "front": n}).Warn("batch: front that comes next for a job was not told")
	}
	s.requestSearch()
}

// requestSearch raises the released count, upon which all fronts compare the
// current objects of all jobs with what they run.
func (s *Jobs) requestSearch() {
	s.released.Add(1)
	s.onLoadChange()
}

// acceptHandOver takes over a job that another front has handed over. If this
// front is stopping too, or has just started, it raises the released count
// instead, so that all fronts look for the job.
func (s *Jobs) acceptHandOver(id string, progress []*wire.ItemProgress) {
	if s.isDraining() || !s.discoveryDone() {
		s.requestSearch()
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

// initialProgress returns the progress that another front has handed over with
// a job, by index of the item; the caller holds the lock.
func (s *Jobs) initialProgress(id string, items []*wire.BatchItem, listed map[string]bool) map[int]*itemProgress {
	m := map[int]*itemProgress{}
	l := map[string]*wire.ItemProgress{}
	for _, p := range s.inheritedProgress[id] {
		l[p.GetItem()] = p
	}
	for n, i := range items {
		p := l[i.GetId()]
		z := object.EscapedSize(p.GetText())
		if p != nil && !listed[i.GetId()] && isText(p) && z <= s.maxOutput(i) {
			m[n] = &itemProgress{lastEventID: p.GetLast(), output: p.GetText(), hasData: true, escapedBytes: z, build: build.New(p.GetService(), p.GetVersion())}
			m[n].size.Store(int64(len(p.GetText())))
		}
	}
	return m
}

// isText reports whether the output of an item that another front has handed over
// can be part of a result. Earlier versions of the program take any bytes.
func isText(progress *wire.ItemProgress) bool {
	return utf8.Valid(progress.GetText()) && event.IsIDText(progress.GetLast())
}

// ReleaseCount returns how many jobs this front has released without a successor
// that acknowledged the hand-over, or ended without their owner's word. Heartbeats
// publish the count, and the other fronts call TriggerReconcile when it changes,
// which finds the job.
func (s *Jobs) ReleaseCount() uint32 { return s.released.Load() }
