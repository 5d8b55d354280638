package batch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/valid"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A run that receives no event within this time is aborted.
	eventTimeout = 4 * time.Second
	// Least time between the starts of two items. Other fronts start items at
	// the same time, and see a slot as taken only after about this time.
	startInterval = 12 * time.Millisecond
)

var (
	errJobStopped = errors.New("job is no longer run by this front")
	errYielded    = errors.New("item was preempted by an online request")
	errSilent     = errors.New("backend server is silent")
	errEventOrder = errors.New("event stream has a gap or a repeated event")
	errOtherBuild = errors.New("backend server may have started again with another version")
	// The events before stay: the item goes on after the last one.
	errNotText = errors.New("event is not text")
	// errUnbounded marks the failure of a backend server that sends bytes
	// without end: the answer, an event or the output exceeds its limit.
	errUnbounded = errors.New("answer of the backend server exceeds the size limit")
	// errTooLarge says that no object of the platform can hold the output.
	errTooLarge = errors.New("output is larger than an object of the platform")
)

// itemRun is one run of an item on a backend server.
type itemRun struct {
	job    *ownedJob
	index  int
	item   *wire.BatchItem
	server *wire.BackendServer
	cancel context.CancelCauseFunc
	// Output of the item, which the run extends.
	progress *itemProgress
	// Id of the last event of the earlier runs, empty for a run from the start.
	resumedAfter string
	// Start of the process that answers, as trail.Response tells it.
	born int64
	// Where the answer stands on its connection.
	exchange trail.Exchange
	// The run no longer counts towards the load of the backend server.
	slotReleased bool
}

// dispatch starts waiting items on free slots, and takes excess items off
// overloaded backend servers, until ctx ends.
func (s *Jobs) dispatch(ctx context.Context) {
	t := time.NewTicker(dispatchInterval)
	defer t.Stop()
	var b time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.dispatchSignal:
		case <-t.C:
			// A process that stood still notices it here.
			s.confirmAll(time.Now())
			s.giveUpAll(time.Now())
		}
		s.yieldAll()
		if time.Since(b) < startInterval || !s.startNext() {
			continue
		}
		b = time.Now()
		// More items may be waiting.
		time.AfterFunc(startInterval, s.TriggerDispatch)
	}
}

// startNext starts the next item. It returns false when no item waits or no
// slot is free.
func (s *Jobs) startNext() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.owned) == 0 || !s.agenda.HasWaiting() {
		return false
	}
	t := s.routes.Table()
	if t == nil {
		return false
	}
	var b *wire.BackendServer
	o := time.Now()
	d := s.fleet.LastPresumedDead(o)
	// The job, the index of its item, and whether there is one that may start.
	i, n, a := s.agenda.Next(o, func(id string, index int) bool {
		if !s.mayStart(o, d, s.owned[id]) {
			return false
		}
		b = s.acquireServer(o, t, s.owned[id], index)
		return b != nil
	})
	if a {
		s.startRun(s.owned[i], n, b)
	}
	return a
}

// startRun starts a run of an item; the caller holds the lock.
func (s *Jobs) startRun(job *ownedJob, index int, server *wire.BackendServer) {
	c, f := context.WithCancelCause(job.ctx)
	r := &itemRun{job: job, index: index, item: job.items[index], server: server, cancel: f}
	s.runs[server.GetId()] = append(s.runs[server.GetId()], r)
	p := job.progress[index]
	if p == nil {
		p = &itemProgress{}
		job.progress[index] = p
	}
	r.progress = p
	r.resumedAfter = p.lastEventID
	p.waitingSince = time.Time{}
	s.onLoadChange()
	go s.runItem(c, r, p)
}

// runItem runs an item once and records the outcome.
func (s *Jobs) runItem(ctx context.Context, run *itemRun, progress *itemProgress) {
	b := time.Now()
	a, e := s.sendItem(ctx, run, progress)
	v := errors.Is(context.Cause(ctx), errYielded)
	if e != nil && context.Cause(ctx) != nil {
		// The cause of the cancellation says more than the error of the closed
		// connection.
		e = context.Cause(ctx)
	}
	run.cancel(nil)
	s.endRun(run, a && e == nil)
	// Kept for the log: recordOutcome may requeue the item, whose next run
	// changes the progress at once.
	x := progress.lastEventID
	n := s.recordOutcome(run, progress, a, v, e, time.Since(b))
	s.outcomes.WithLabelValues(n).Inc()
	l := s.logger.WithFields(log.Fields{
		"job-id": run.job.id, "item-id": run.item.GetId(), "server": run.server.GetId(), "version": run.server.GetVersion(), "born": run.server.GetBorn(), "process": run.born, "outcome": n,
		"after-event": run.resumedAfter, "last-event": x, "ms": time.Since(b).Milliseconds(),
		"connection-requests": run.exchange.Requests(), "passed-over": run.exchange.PassedOver(),
	})
	if e != nil {
		l = l.WithField("cause", e.Error())
	}
	l.Info("batch: run of an item ended")
}

// recordOutcome closes or requeues the item of a run that has ended, and
// reports failures of the backend server to the fleet. It returns the outcome's
// name for logs and metrics.
func (s *Jobs) recordOutcome(run *itemRun, progress *itemProgress, done, yielded bool, err error, duration time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := time.Now()
	defer s.TriggerDispatch()
	if s.owned[run.job.id] != run.job {
		return "dropped"
	}
	done, err = s.checkProgress(run, progress, done, err)
	if n := s.requeueUnsent(w, run, err); n != "" {
		return n
	}
	if done || yielded {
		s.agenda.RecordRun(run.job.id, run.index, duration, done)
	}
	switch {
	case done:
		s.agenda.Close(run.job.id, run.index)
		s.addResult(run.job, run.index, false, string(progress.output))
		s.fleet.RecordAnswer(run.server, run.item.GetTokens())
		return "done"
	case yielded:
		s.agenda.RequeuePreempted(run.job.id, run.index)
		return "yielded"
	case errors.Is(err, errImpossible), trail.CodeOf(err) == valid.CodeInvalid:
		// Items that can't be sent are not accepted, but an earlier version of the
		// program may have accepted this one.
		s.agenda.Close(run.job.id, run.index)
		s.addResult(run.job, run.index, true, "")
		return "impossible"
	case errors.Is(err, errFailed):
		s.fleet.RecordFailedAnswer(w, run.server)
		s.onLoadChange()
		s.agenda.RequeueFailed(w, run.job.id, run.index)
		return "failed"
	case errors.Is(err, errTooLarge):
		progress.reset()
		s.requeueTooLarge(w, run, progress)
		return "too-large"
	}
	if errors.Is(err, errEventOrder) || errors.Is(err, errUnbounded) {
		progress.reset()
	}
	s.agenda.RequeueBroken(w, run.job.id, run.index, progress.lastEventID == run.resumedAfter && trail.VerdictOf(err) != trail.NotRun)
	if errors.Is(err, errUnbounded) {
		s.fleet.RecordFailedAnswer(w, run.server)
		s.onLoadChange()
	} else {
		s.fleet.RecordFailure(w, run.server, trail.CodeOf(err) == "backend-unreachable")
	}
	return "broken"
}

// requeueUnsent requeues the item of a run that did not take place, by an error which
// says nothing against the item or the server, or by a rejection. It returns the
// outcome's name, empty for all other errors. The caller holds the lock.
func (s *Jobs) requeueUnsent(now time.Time, run *itemRun, err error) string {
	switch trail.CodeOf(err) {
	case "backend-limited":
		// It was not sent.
		s.agenda.RequeuePreempted(run.job.id, run.index)
		return "limited"
	case "backend-restarted", "backend-unidentified":
		// The item can't go on at the process that has the server's address.
		s.agenda.RequeueBroken(now, run.job.id, run.index, false)
		return "other-process"
	case "path-lost":
		// This front has no path to the backend servers.
		s.agenda.RequeueBroken(now, run.job.id, run.index, false)
		return "path-lost"
	case "backend-declined":
		s.agenda.RequeueRejected(now, run.job.id, run.index)
		return "declined"
	case "backend-busy":
		_, m := s.fleet.RecordRejection(now, run.server, run.item.GetTokens())
		if m {
			s.agenda.RequeueRejected(now, run.job.id, run.index)
			return "rejected"
		}
		s.agenda.RequeueBroken(now, run.job.id, run.index, false)
		return "broken"
	}
	return ""
}

// addResult adds the result of an item to the pending ones and makes sure that
// a commit loop writes them. The last result of a job is written at once. The
// caller holds the lock.
func (s *Jobs) addResult(job *ownedJob, index int, failed bool, output string) {
	delete(job.progress, index)
	i := job.items[index]
	s.setWaitingTokens(job, job.waitingTokens-i.GetTokens())
	job.pendingResults = append(job.pendingResults, newResult(i.GetId(), failed, output))
	if job.committing {
		return
	}
	job.committing = true
	d := commitWindow
	if s.agenda.Unfinished(job.id) == 0 {
		d = 0
	}
	go s.commitLoop(job, d)
}

// endRun removes a run and frees its slot, unless yieldLocked has freed it
// already.
func (s *Jobs) endRun(run *itemRun, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.runs[run.server.GetId()]
	for i, o := range l {
		if o == run {
			s.runs[run.server.GetId()] = append(l[:i:i], l[i+1:]...)
			break
		}
	}
	if !run.slotReleased {
		run.slotReleased = true
		s.fleet.ReleaseBatch(run.server.GetId(), answered, fleet.WithTokens(run.item.GetTokens()))
		s.onLoadChange()
	}
}

// Yield frees slots for online requests: it takes batch items off a backend
// server that has more requests than slots.
func (s *Jobs) Yield(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.yieldLocked(server)
}

// yieldAll does the same for all backend servers on which items run.
func (s *Jobs) yieldAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b := range s.runs {
		s.yieldLocked(b)
	}
}

// yieldLocked cancels the youngest runs on a backend server, as many as this
// front has to give up there; the caller holds the lock.
func (s *Jobs) yieldLocked(server string) {
	n := s.fleet.BatchExcess(server)
	l := s.runs[server]
	for i := len(l) - 1; i >= 0 && n > 0; i-- {
		if l[i].slotReleased {
			continue
		}
		l[i].slotReleased = true
		s.fleet.ReleaseBatch(server, false, fleet.WithTokens(l[i].item.GetTokens()))
		l[i].cancel(errYielded)
		n--
		s.onLoadChange()
	}
}
