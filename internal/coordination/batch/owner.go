package batch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Failures that the first owner of a job bears, in multiples of the route's
// attempts. Backend servers that fail all they take are found by failures of
// items that are well.
const firstOwnerFactor = 2

// ownedJob is a job that this front runs.
type ownedJob struct {
	id     string
	cached *cachedJob
	// Progress of items that have run in part, by index.
	progress map[int]*itemProgress
	// Tokens of the items without a result.
	waitingTokens int64
	// Results that are not listed yet.
	pendingResults []*wire.BatchResult
	// A goroutine is listing results.
	committing bool
	// Is being left to another front.
	handingOver bool
	// Was accepted here, so that no earlier owner has counted failures.
	firstOwner bool
	// No write to the results is under way or of unknown outcome: neither one of
	// this front nor, until its first own write, one of an earlier owner.
	writesSettled bool
	// Ends the runs and commits of the job.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// itemProgress is the output of an item so far.
type itemProgress struct {
	// Id of the last event, empty before the first.
	lastEventID string
	// Data of the events, joined by line feeds.
	output []byte
	// Whether any event was taken in.
	hasData bool
}

// startJob starts to run a job whose items are known. First says that no other
// front has run it before.
func (s *Jobs) startJob(obj object.Object, value *wire.BatchJob, items []*wire.BatchItem, firstOwner bool) {
	d := obj.Name()
	k := s.cacheJob(obj, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned[d] != nil || s.draining || k.job.GetEnded() {
		return
	}
	k.items = items
	h := k.listedIDs()
	o := &ownedJob{id: d, cached: k, progress: s.initialProgress(d, items, h), firstOwner: firstOwner, writesSettled: firstOwner}
	o.ctx, o.cancel = context.WithCancelCause(context.Background())
	s.owned[d] = o
	u := time.Duration(s.route(k).GetDueMs()) * time.Millisecond
	l := make([]string, 0, len(items))
	for _, i := range items {
		l = append(l, i.GetId())
		if !h[i.GetId()] {
			o.waitingTokens += i.GetTokens()
		}
	}
	s.holdTokens(o)
	a := time.Since(time.UnixMilli(value.GetAcceptedUnixMs()))
	// Clocks differ between hosts, and may be set.
	a = min(max(a, 0), u)
	s.agenda.Add(d, time.Now().Add(u-a), u, l, h)
	if s.agenda.Unfinished(d) == 0 {
		// An earlier owner had listed everything.
		go s.completeJob(o)
	}
	s.Wake()
}

// route returns the route of a job, nil when it is gone or no configuration is
// known.
func (s *Jobs) route(cached *cachedJob) *wire.RouteRule {
	t := s.routeTable()
	if t == nil {
		return nil
	}
	return t.Match(cached.host, cached.path)
}

// maxFailures returns how often an item may fail before it is given up. The
// platform allows from one to three times what the route says; an owner after
// the first does not know how often the items have failed before.
func (s *Jobs) maxFailures(job *ownedJob) int {
	n := max(int(s.route(job.cached).GetAttempts()), 1)
	if job.firstOwner {
		return firstOwnerFactor * n
	}
	return n
}

// stopJob stops running a job.
func (s *Jobs) stopJob(id, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owned[id]
	if o == nil {
		return
	}
	delete(s.owned, id)
	if o.cached.job.GetEnded() {
		s.setWaitingTokens(o, 0)
	}
	s.agenda.Remove(id)
	o.cancel(errJobStopped)
	s.logger.WithFields(log.Fields{"job-id": id, "reason": reason}).Info("batch: job no longer run here")
}

// reconcileLoop looks for jobs that were ended, or whose owner is gone, until c ends.
func (s *Jobs) reconcileLoop(ctx context.Context) {
	for {
		w := s.awaitTrigger(ctx)
		b := time.Now()
		var l []object.Object
		var e error
		switch w {
		case triggerStop:
			return
		case triggerPeriodic:
			l, _, e = s.store.ListStale(ctx, kindJobs)
		default:
			l, _, e = s.store.List(ctx, kindJobs)
		}
		if e != nil {
			s.logger.WithError(e).Warn("batch: jobs not reviewed, the platform does not answer")
			s.retryReconcile()
			continue
		}
		for _, o := range l {
			s.reconcileObject(ctx, o)
		}
		s.mu.Lock()
		s.reconciled = b
		s.mu.Unlock()
	}
}

// reconcileObject compares a job's object, which may be old, with what this front does.
func (s *Jobs) reconcileObject(ctx context.Context, obj object.Object) {
	j := &wire.BatchJob{}
	e := obj.Decode(j)
	if e != nil {
		s.logger.WithError(e).WithField("job-id", obj.Name()).Warn("batch: job is not readable")
		return
	}
	k := s.cacheJob(obj, j)
	s.mu.Lock()
	j = k.job
	s.mu.Unlock()
	s.reconcileJob(ctx, obj.Name(), j)
}

// trigger is why a review is due.
type trigger int

const (
	// The front is stopping.
	triggerStop trigger = iota
	// What is found some seconds later does no harm: fronts are told of the end
	// of the jobs that they run, and a lost front is looked for twice.
	triggerPeriodic
	// Another front has left a job, or an earlier review could not do all.
	triggerRequested
)

// awaitTrigger returns when a review is due: while this front runs jobs each
// reviewPause, else each idleReviewPause, and when one is asked for.
func (s *Jobs) awaitTrigger(ctx context.Context) trigger {
	b := time.Now()
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if s.ownedCount() > 0 || time.Since(b) >= idleReconcileInterval {
				return triggerPeriodic
			}
		case <-s.reconcileSignal:
			return triggerRequested
		case <-s.peerLostSignal:
			return triggerPeriodic
		case <-ctx.Done():
			return triggerStop
		}
	}
}

// reconcileJob compares a job's object with what this front does.
func (s *Jobs) reconcileJob(ctx context.Context, id string, value *wire.BatchJob) {
	s.mu.Lock()
	o := s.owned[id]
	v := s.draining
	s.mu.Unlock()
	switch {
	case o == nil && (value.GetEnded() || value.GetComplete()) && s.expired(value) && s.isSuccessor(id):
		s.deleteJob(ctx, id)
	case o != nil && value.GetEnded():
		s.stopJob(id, "ended by its caller")
	case o != nil && !s.isOwner(value):
		s.stopJob(id, "taken over by "+value.GetOwner())
	case o != nil || v || value.GetEnded() || value.GetComplete():
	case s.isOwner(value):
		// The creation or the takeover was not known to have succeeded.
		s.loadAndStart(ctx, id)
	case s.orphaned(value) && (value.GetOwner() == s.self.GetName() || s.isSuccessor(id)):
		s.takeOver(ctx, id)
	}
}

func (s *Jobs) isOwner(value *wire.BatchJob) bool {
	return value.GetOwner() == s.self.GetName() && value.GetIncarnation() == s.self.GetIncarnation()
}

// orphaned says whether the owner of a job is gone for good. The process that
// follows under its name takes the job over, and if there is none, the heir. A
// front that has just started does not know yet who lives.
func (s *Jobs) orphaned(value *wire.BatchJob) bool {
	if value.GetOwner() == s.self.GetName() {
		return true
	}
	if value.GetOwner() == "" {
		return s.discoveryDone()
	}
	return s.discoveryDone() && !s.fleet.Alive(time.Now(), value.GetOwner())
}

func (s *Jobs) discoveryDone() bool { return time.Since(s.startTime) >= discoveryTime }

// isSuccessor says whether this front comes first among the live ones for a job.
func (s *Jobs) isSuccessor(id string) bool {
	return s.successor(id, s.self.GetName()) == s.self.GetName()
}

// successor returns the front that comes first for a job among the other live ones
// and name, in rendezvous order. It is empty when there is none.
func (s *Jobs) successor(id, candidate string) string {
	b := candidate
	var m uint64
	if b != "" {
		m = xxhash.Sum64String(id + "/" + b)
	}
	for _, n := range s.fleet.ActivePeers(time.Now()) {
		h := xxhash.Sum64String(id + "/" + n)
		if b == "" || h > m {
			b, m = n, h
		}
	}
	return b
}

// takeOver takes a job over.
func (s *Jobs) takeOver(ctx context.Context, id string) {
	d := false
	e := s.updateJob(ctx, id, func(j *wire.BatchJob) bool {
		d = !j.GetEnded() && !j.GetComplete() && s.orphaned(j)
		if !d {
			return false
		}
		j.SetOwner(s.self.GetName())
		j.SetIncarnation(s.self.GetIncarnation())
		return true
	})
	if e != nil {
		s.logger.WithError(e).WithField("job-id", id).Warn("batch: job of a lost front not taken over yet")
		s.retryReconcile()
		return
	}
	if !d {
		return
	}
	s.loadAndStart(ctx, id)
}

// loadAndStart reads the items and results of a job that this front has taken over.
func (s *Jobs) loadAndStart(ctx context.Context, id string) {
	k, e := s.getJob(ctx, id)
	if e == nil {
		e = s.loadItems(ctx, id, k)
	}
	if e == nil {
		e = s.refreshResults(ctx, id, k)
	}
	if e != nil {
		s.logger.WithError(e).WithField("job-id", id).Warn("batch: job to be run not read yet")
		s.retryReconcile()
		return
	}
	s.mu.Lock()
	o, j, i := k.object, k.job, k.items
	s.mu.Unlock()
	s.logger.WithField("job-id", id).Info("batch: job run here from now on")
	s.startJob(o, j, i, false)
}

func (s *Jobs) ownedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}

// retryReconcile asks for another review after one that could not do all.
func (s *Jobs) retryReconcile() { time.AfterFunc(reconcileInterval, s.Reconcile) }

// Reconcile looks for jobs without an owner soon.
func (s *Jobs) Reconcile() {
	select {
	case s.reconcileSignal <- struct{}{}:
	default:
	}
}

// PeerLost looks for the jobs of a front that has gone silent. An old copy of the
// jobs is read now and once more when it has all that the front had accepted,
// since in a large fleet all fronts look.
func (s *Jobs) PeerLost() {
	s.signalPeerLost()
	time.AfterFunc(maxStaleness, s.signalPeerLost)
}

func (s *Jobs) signalPeerLost() {
	select {
	case s.peerLostSignal <- struct{}{}:
	default:
	}
}

// Greatest age of what is read from an old copy.
const maxStaleness = 3 * time.Second
