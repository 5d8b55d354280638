package batch

import (
	"context"
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
			s.retryReconcile()
			continue
		}
		for _, o := range l {
			s.reconcileObject(ctx, o)
		}
	}
}

// reconcileObject reconciles a job with its newest known object, which may be
// stale.
func (s *Jobs) reconcileObject(ctx context.Context, obj object.Object) {
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
	s.reconcileJob(ctx, obj.Name(), j)
}

// trigger is the reason for a reconciliation. It decides whether current or
// stale objects are read.
type trigger int

const (
	// The front is stopping.
	triggerStop trigger = iota
	// Stale objects suffice: an owner is notified of the end of its jobs, and
	// the loss of a front triggers two reconciliations.
	triggerPeriodic
	// Another front has released a job, or an earlier reconciliation failed in
	// part. Current objects are read.
	triggerRequested
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
			return triggerPeriodic
		case <-ctx.Done():
			return triggerStop
		}
	}
}

// reconcileJob stops, loads, takes over or deletes a job according to its
// object.
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
		// The outcome of the creation or the takeover was unknown; it
		// succeeded. The object may be stale.
		s.loadAndStart(ctx, id, time.Time{})
	case s.orphaned(value) && (value.GetOwner() == s.self.GetName() || s.isSuccessor(id)):
		s.takeOver(ctx, id)
	}
}

// retryReconcile schedules another reconciliation after one that failed in
// part.
func (s *Jobs) retryReconcile() { time.AfterFunc(reconcileInterval, s.TriggerReconcile) }

// TriggerReconcile starts a reconciliation from current objects, which finds
// the jobs that another front has released.
func (s *Jobs) TriggerReconcile() {
	select {
	case s.reconcileSignal <- struct{}{}:
	default:
	}
}

// HandlePeerLost starts reconciliations that find the jobs of a front that has gone
// silent. In a large fleet all fronts do this at once, so stale objects are
// read: now, and again when the stale copy has every job that the front had
// accepted.
func (s *Jobs) HandlePeerLost() {
	s.signalPeerLost()
	time.AfterFunc(maxStaleness, s.signalPeerLost)
}

// signalPeerLost triggers one reconciliation from stale objects.
func (s *Jobs) signalPeerLost() {
	select {
	case s.peerLostSignal <- struct{}{}:
	default:
	}
}

// Greatest age of objects from a stale read.
const maxStaleness = 3 * time.Second
