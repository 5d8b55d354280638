package batch

import (
	"cmp"
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Factor by which the first owner of a job multiplies the route's attempts. A
// backend server that fails every request is detected only by failures of sound
// items, so these need attempts to spare.
const firstOwnerFactor = 2

// Time until a job without a route counts as due. Its items can't run.
const unknownDue = time.Hour

// ownedJob is a job that this front runs.
type ownedJob struct {
	id     string
	cached *cachedJob
	items  []*wire.BatchItem
	// Bytes that the items take in memory.
	itemBytes int64
	// Progress of the items that have started, by index.
	progress map[int]*itemProgress
	// Tokens of the items without a result.
	waitingTokens int64
	// Where they are reserved.
	account account
	// Results that are not listed yet.
	pendingResults []*wire.BatchResult
	// A goroutine is writing results.
	committing bool
	// The job is being handed over to another front.
	handingOver bool
	// The job was accepted here, so no earlier owner has counted failures.
	firstOwner bool
	// No write to the results is in flight or of unknown outcome. After a
	// takeover such a write of an earlier owner can't be ruled out until the
	// first successful write of this front.
	writesSettled bool
	// When the job was accepted, or later: clocks differ between hosts.
	acceptedAt time.Time
	// The configuration has shown when the job is due.
	dueKnown bool
	// Since when the configuration has no route for the job, zero if it has one.
	unroutedSince time.Time
	// Start of the last read or write of the job's object that found this process
	// as its owner, zero for none.
	confirmedAt time.Time
	// A read of the job's object is in progress, or has failed just now.
	confirming bool
	// Ends when the job is no longer run here, and with it its runs and
	// commits.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// startJob starts to run a job whose items are loaded. It does nothing when the
// job already runs here or has ended, or when this front is stopping.
// confirmedAt is the start of the read or write that has found this process as
// the owner; firstOwner says that no other front has run the job before.
func (s *Jobs) startJob(obj object.Object, value *wire.BatchJob, items []*wire.BatchItem, confirmedAt time.Time, firstOwner bool) {
	d := obj.Name()
	k := s.cacheJob(obj, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned[d] != nil || s.draining || k.job.GetEnded() {
		return
	}
	k.items = items
	h := k.listedIDs()
	o := &ownedJob{id: d, cached: k, items: items, itemBytes: itemsSize(items), account: account{route: k.route, team: s.accountTeam(k.team)}, progress: s.initialProgress(d, items, h), firstOwner: firstOwner, writesSettled: firstOwner, confirmedAt: confirmedAt}
	o.ctx, o.cancel = context.WithCancelCause(context.Background())
	s.owned[d] = o
	l := make([]string, 0, len(items))
	for _, i := range items {
		l = append(l, i.GetId())
		if !h[i.GetId()] {
			o.waitingTokens += i.GetTokens()
		}
	}
	s.holdTokens(o)
	n := time.Now()
	o.acceptedAt = n.Add(-max(ageOf(n, value)-maxClockSkew, 0))
	s.agenda.Add(d, n.Add(unknownDue), unknownDue, l, h)
	s.noteDue(o)
	if s.agenda.Unfinished(d) == 0 {
		// An earlier owner has listed all results.
		go s.completeJob(o)
	}
	s.TriggerDispatch()
}

// ageOf returns the time since a job was accepted, as the clocks of two hosts show it.
func ageOf(now time.Time, value *wire.BatchJob) time.Duration {
	return now.Sub(time.UnixMilli(value.GetAcceptedUnixMs()))
}

// noteDue sets when a job is due, once the configuration has its route: a front may get
// a job before the version of the configuration under which it was accepted. The caller
// holds the lock.
func (s *Jobs) noteDue(job *ownedJob) {
	u := s.route(job.cached)
	if job.dueKnown || u == nil {
		return
	}
	job.dueKnown = true
	w := time.Duration(u.GetDueMs()) * time.Millisecond
	n := time.Now()
	// The age is clamped, as clocks differ between hosts and may be set.
	s.agenda.SetDue(job.id, n.Add(w-min(max(ageOf(n, job.cached.job), 0), w)), w)
}

// ApplyRoutes follows a change of the configuration: it records the reservations of all
// jobs again, and when those are due that had no route before. Jobs that were accepted
// without a quota count towards the one that their route has now.
func (s *Jobs) ApplyRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.owned {
		s.holdTokens(o)
		s.noteDue(o)
	}
	s.TriggerDispatch()
}

// maxFailures returns how often an item may fail before it is given up. The
// platform allows one to three times the attempts of the route. A later owner
// does not know how often the items have failed before and uses one times, so
// that the first owner and one successor together stay within three.
func (o *ownedJob) maxFailures(route *wire.RouteRule) int {
	n := max(int(route.GetAttempts()), 1)
	if o.firstOwner {
		return firstOwnerFactor * n
	}
	return n
}

// stopJob ends the runs and commits of a job on this front.
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

// isOwner says whether the owner of a job is this process. An earlier process
// of the same name has another incarnation.
func (s *Jobs) isOwner(value *wire.BatchJob) bool {
	return value.GetOwner() == s.self.GetName() && value.GetIncarnation() == s.self.GetIncarnation()
}

// orphaned says whether a job has no live owner. The job is then taken over by
// the next process with the name of its owner, if there is one, else by the
// successor. A front that has just started does not know yet which fronts are
// alive, and one that is cut off can't know.
func (s *Jobs) orphaned(value *wire.BatchJob) bool {
	n, w := time.Now(), value.GetOwner()
	if w == s.self.GetName() {
		return true
	}
	return s.discoveryDone() && (w == "" || !s.fleet.Alive(n, w)) && !s.fleet.Isolated(n)
}

// discoveryDone says whether this process has run long enough, since its start and
// since it last stood still, to know which other fronts are alive.
func (s *Jobs) discoveryDone() bool {
	n := time.Now()
	return n.Sub(s.startTime) >= discoveryTime && n.Sub(s.fleet.AwakeSince(n)) >= discoveryTime
}

// isSuccessor says whether this front is the first of all live fronts in the
// rendezvous order of a job.
func (s *Jobs) isSuccessor(id string) bool {
	return s.successor(id, s.self.GetName()) == s.self.GetName()
}

// successor returns the first of the other live fronts and the candidate in the
// rendezvous order of a job.
func (s *Jobs) successor(id, candidate string) string {
	return firstInOrder(id, append(s.fleet.ActivePeers(time.Now()), candidate))
}

// handOverTarget returns the front that a job is handed over to: the first in its
// rendezvous order of the other live fronts that the platform answers, or of all if it
// answers none, empty if there are none. The others run the job as well, but their
// copies may be old, and an earlier version of the program gives items up by them.
func (s *Jobs) handOverTarget(id string) string {
	n := time.Now()
	return cmp.Or(firstInOrder(id, s.fleet.HealthyPeers(n)), firstInOrder(id, s.fleet.ActivePeers(n)))
}

// firstInOrder returns the first of several fronts in the rendezvous order of a job,
// empty if there are none.
func firstInOrder(id string, fronts []string) string {
	b := ""
	var m uint64
	for _, n := range fronts {
		h := xxhash.Sum64String(id + "/" + n)
		if b == "" || h > m {
			b, m = n, h
		}
	}
	return b
}

// takeOver makes this front the owner of an orphaned job and starts the job.
func (s *Jobs) takeOver(ctx context.Context, id string) {
	// Whether the job is taken over, and its owner before.
	d, w := false, ""
	b := time.Now()
	e := s.updateJob(ctx, id, func(j *wire.BatchJob) bool {
		d, w = !j.GetEnded() && !j.GetComplete() && s.orphaned(j), j.GetOwner()
		if !d {
			return false
		}
		j.SetOwner(s.self.GetName())
		j.SetIncarnation(s.self.GetIncarnation())
		return true
	})
	if e != nil {
		s.logger.WithError(e).WithField("job-id", id).Warn("batch: takeover of an orphaned job failed and is retried")
		s.retryReconcile()
		return
	}
	if !d {
		return
	}
	if w != "" && w != s.self.GetName() {
		s.remindLater(w, id)
	}
	s.loadAndStart(ctx, id, b)
}

// loadAndStart reads the items and results of a job that this front owned at
// confirmedAt and starts the job.
func (s *Jobs) loadAndStart(ctx context.Context, id string, confirmedAt time.Time) {
	k, e := s.getJob(ctx, id)
	var i []*wire.BatchItem
	if e == nil {
		i, e = s.loadItems(ctx, id, k)
	}
	if e == nil {
		e = s.refreshResults(ctx, id, k)
	}
	if e != nil {
		s.logger.WithError(e).WithField("job-id", id).Warn("batch: read of an owned job failed and is retried")
		s.retryReconcile()
		return
	}
	s.mu.Lock()
	o, j := k.object, k.job
	s.mu.Unlock()
	s.logger.WithField("job-id", id).Info("batch: job run here from now on")
	s.startJob(o, j, i, confirmedAt, false)
}

func (s *Jobs) ownedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}
