package batch

import (
	"context"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// reconcileLoop compares all jobs with what this front runs, until ctx ends: it
// stops jobs that were ended or taken over, takes over those without a live
// owner, and deletes expired ones.
func (s *Jobs) reconcileLoop(ctx context.Context) {
	for {
		w := s.awaitTrigger(ctx)
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
			s.logger.WithError(e).Warn("batch: listing of jobs failed, reconciliation is retried")
			s.retry(w)
			continue
		}
		for _, o := range l {
			s.reconcileObject(ctx, o, w)
		}
	}
}

// reconcileObject reconciles a job with its newest known object, which may be
// stale.
func (s *Jobs) reconcileObject(ctx context.Context, obj object.Object, reason trigger) {
	j := &wire.BatchJob{}
	e := obj.Decode(j)
	if e != nil {
		s.logger.WithError(e).WithField("job-id", obj.Name()).Warn("batch: job object is not decodable")
		return
	}
	k := s.cacheJob(obj, j)
	s.mu.Lock()
	j = k.job
	s.mu.Unlock()
	s.reconcileJob(ctx, obj.Name(), j, reason)
}

// trigger is the reason for a reconciliation. It decides whether current or
// stale objects are read.
type trigger int

const (
	// The front is stopping.
	triggerStop trigger = iota
	// Stale objects suffice: an owner is notified of the end of its jobs, and
	// another front looks for those of a lost one.
	triggerPeriodic
	// Another front has released a job, or an earlier reconciliation failed in
	// part. Current objects are read.
	triggerRequested
	// A front was lost, and this one looks for its jobs for all others. Current
	// objects are read: old copies may lack the last jobs that it accepted.
	triggerPeerLost
)

// awaitTrigger returns when a reconciliation is due: after reconcileInterval
// while this front runs jobs, else after idleReconcileInterval, and whenever
// one is triggered.
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
			return triggerPeerLost
		case <-s.lookSignal:
			return triggerPeriodic
		case <-ctx.Done():
			return triggerStop
		}
	}
}

// reconcileJob stops, loads, takes over or deletes a job according to its
// object.
func (s *Jobs) reconcileJob(ctx context.Context, id string, value *wire.BatchJob, reason trigger) {
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
		// The outcome of the creation or the takeover was unknown; it
		// succeeded. The object may be stale.
		s.loadAndStart(ctx, id, time.Time{})
	case s.orphaned(value) && s.claims(id, value.GetOwner(), reason):
		s.takeOver(ctx, id)
	}
}

// claims says whether an orphaned job is this front's to take over, from its owner. The
// front that looks for all jobs of a lost one takes them over itself, since no other
// one may see them yet.
func (s *Jobs) claims(id, owner string, reason trigger) bool {
	switch {
	case owner == s.self.GetName():
		return true
	case reason == triggerPeerLost && owner != "":
		return s.isSuccessor(owner)
	}
	return s.isSuccessor(id)
}

// retryReconcile schedules another reconciliation after one that failed in
// part.
func (s *Jobs) retryReconcile() { s.retry(triggerRequested) }

// retry schedules a reconciliation for the same reason as one that failed.
func (s *Jobs) retry(reason trigger) {
	c := s.reconcileSignal
	if reason == triggerPeerLost {
		c = s.peerLostSignal
	}
	time.AfterFunc(reconcileInterval, func() { signal(c) })
}

// TriggerReconcile starts a reconciliation from current objects, which finds
// the jobs that another front has released.
func (s *Jobs) TriggerReconcile() { signal(s.reconcileSignal) }

// Delays after the loss of a front at which all others look for its jobs in stale
// objects, should the one that reads current objects fail.
var lookDelays = []time.Duration{3 * time.Second, 10 * time.Second}

// HandlePeerLost starts reconciliations that find the jobs of fronts that have gone
// silent. In a large fleet all fronts notice the loss at once, so only the first in
// the rendezvous order of a lost front reads current objects. Fronts that stop hand
// their jobs over.
func (s *Jobs) HandlePeerLost(fronts []string) {
	if slices.ContainsFunc(fronts, func(n string) bool { return s.fleet.Lost(n) && s.isSuccessor(n) }) {
		signal(s.peerLostSignal)
	}
	for _, d := range lookDelays {
		time.AfterFunc(d, func() { signal(s.lookSignal) })
	}
}

// signal puts a value into a channel with room for one, unless it holds one.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
