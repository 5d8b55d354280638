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
const firstOwnerShare = 2

// owned is a job that this front runs.
type owned struct {
	id string
	k  *known
	// Progress of items that have run in part, by index.
	progress map[int]*progress
	// Tokens of the items without a result.
	tokens int64
	// Results that are not listed yet.
	results []*wire.BatchResult
	// A goroutine is listing results.
	committing bool
	// Is being left to another front.
	leaving bool
	// Was accepted here, so that no earlier owner has counted failures.
	first bool
	// No write to the results is under way or of unknown outcome: neither one of
	// this front nor, until its first own write, one of an earlier owner.
	settled bool
	// Ends the runs and commits of the job.
	c    context.Context
	stop context.CancelCauseFunc
}

// progress is the output of an item so far.
type progress struct {
	// Id of the last event, empty before the first.
	last string
	// Data of the events, joined by line feeds.
	text []byte
	// Whether any event was taken in.
	begun bool
}

// own starts to run a job whose items are known. First says that no other
// front has run it before.
func (s *Jobs) own(b object.Object, j *wire.BatchJob, items []*wire.BatchItem, first bool) {
	d := b.Name()
	k := s.remember(b, j)
	s.m.Lock()
	defer s.m.Unlock()
	if s.owned[d] != nil || s.leaving || k.job.GetEnded() {
		return
	}
	k.input = items
	h := k.listed()
	o := &owned{id: d, k: k, progress: s.resume(d, items, h), first: first, settled: first}
	o.c, o.stop = context.WithCancelCause(context.Background())
	s.owned[d] = o
	u := time.Duration(s.route(k).GetDueMs()) * time.Millisecond
	l := make([]string, 0, len(items))
	for _, i := range items {
		l = append(l, i.GetId())
		if !h[i.GetId()] {
			o.tokens += i.GetTokens()
		}
	}
	s.hold(o)
	a := time.Since(time.UnixMilli(j.GetAcceptedUnixMs()))
	// Clocks differ between hosts, and may be set.
	a = min(max(a, 0), u)
	s.agenda.Add(d, time.Now().Add(u-a), u, l, h)
	if s.agenda.Unfinished(d) == 0 {
		// An earlier owner had listed everything.
		go s.complete(o)
	}
	s.Wake()
}

// route returns the route of a job, nil when it is gone or no configuration is
// known.
func (s *Jobs) route(k *known) *wire.RouteRule {
	t := s.table()
	if t == nil {
		return nil
	}
	return t.Match(k.host, k.path)
}

// attempts returns how often an item may fail before it is given up. The
// platform allows from one to three times what the route says; an owner after
// the first does not know how often the items have failed before.
func (s *Jobs) attempts(o *owned) int {
	n := max(int(s.route(o.k).GetAttempts()), 1)
	if o.first {
		return firstOwnerShare * n
	}
	return n
}

// drop stops running a job.
func (s *Jobs) drop(id, reason string) {
	s.m.Lock()
	defer s.m.Unlock()
	o := s.owned[id]
	if o == nil {
		return
	}
	delete(s.owned, id)
	if o.k.job.GetEnded() {
		s.lower(o, 0)
	}
	s.agenda.Remove(id)
	o.stop(errDropped)
	s.l.WithFields(log.Fields{"job-id": id, "reason": reason}).Info("batch: job no longer run here")
}

// review looks for jobs that were ended, or whose owner is gone, until c ends.
func (s *Jobs) review(c context.Context) {
	for {
		w := s.waitReview(c)
		b := time.Now()
		var l []object.Object
		var e error
		switch w {
		case noReview:
			return
		case periodicReview:
			l, _, e = s.store.ListStale(c, kindJobs)
		default:
			l, _, e = s.store.List(c, kindJobs)
		}
		if e != nil {
			s.l.WithError(e).Warn("batch: jobs not reviewed, the platform does not answer")
			s.reviewLater()
			continue
		}
		for _, o := range l {
			s.look(c, o)
		}
		s.m.Lock()
		s.reviewed = b
		s.m.Unlock()
	}
}

// look compares a job's object, which may be old, with what this front does.
func (s *Jobs) look(c context.Context, o object.Object) {
	j := &wire.BatchJob{}
	e := o.Decode(j)
	if e != nil {
		s.l.WithError(e).WithField("job-id", o.Name()).Warn("batch: job is not readable")
		return
	}
	k := s.remember(o, j)
	s.m.Lock()
	j = k.job
	s.m.Unlock()
	s.consider(c, o.Name(), j)
}

// occasion is why a review is due.
type occasion int

const (
	// The front is stopping.
	noReview occasion = iota
	// What is found some seconds later does no harm: fronts are told of the end
	// of the jobs that they run, and a lost front is looked for twice.
	periodicReview
	// Another front has left a job, or an earlier review could not do all.
	askedReview
)

// waitReview returns when a review is due: while this front runs jobs each
// reviewPause, else each idleReviewPause, and when one is asked for.
func (s *Jobs) waitReview(c context.Context) occasion {
	b := time.Now()
	t := time.NewTicker(reviewPause)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if s.ownedJobs() > 0 || time.Since(b) >= idleReviewPause {
				return periodicReview
			}
		case <-s.asked:
			return askedReview
		case <-s.lost:
			return periodicReview
		case <-c.Done():
			return noReview
		}
	}
}

// consider compares a job's object with what this front does.
func (s *Jobs) consider(c context.Context, id string, j *wire.BatchJob) {
	s.m.Lock()
	o := s.owned[id]
	v := s.leaving
	s.m.Unlock()
	switch {
	case o == nil && (j.GetEnded() || j.GetComplete()) && s.expired(j) && s.heir(id):
		s.remove(c, id)
	case o != nil && j.GetEnded():
		s.drop(id, "ended by its caller")
	case o != nil && !s.mine(j):
		s.drop(id, "taken over by "+j.GetOwner())
	case o != nil || v || j.GetEnded() || j.GetComplete():
	case s.mine(j):
		// The creation or the takeover was not known to have succeeded.
		s.load(c, id)
	case s.orphaned(j) && (j.GetOwner() == s.self.GetName() || s.heir(id)):
		s.adopt(c, id)
	}
}

func (s *Jobs) mine(j *wire.BatchJob) bool {
	return j.GetOwner() == s.self.GetName() && j.GetIncarnation() == s.self.GetIncarnation()
}

// orphaned says whether the owner of a job is gone for good. The process that
// follows under its name takes the job over, and if there is none, the heir. A
// front that has just started does not know yet who lives.
func (s *Jobs) orphaned(j *wire.BatchJob) bool {
	if j.GetOwner() == s.self.GetName() {
		return true
	}
	if j.GetOwner() == "" {
		return s.settled()
	}
	return s.settled() && !s.f.Alive(time.Now(), j.GetOwner())
}

func (s *Jobs) settled() bool { return time.Since(s.born) >= settlePause }

// heir says whether this front comes first among the live ones for a job.
func (s *Jobs) heir(id string) bool { return s.first(id, s.self.GetName()) == s.self.GetName() }

// first returns the front that comes first for a job among the other live ones
// and name, in rendezvous order. It is empty when there is none.
func (s *Jobs) first(id, name string) string {
	b := name
	var m uint64
	if b != "" {
		m = xxhash.Sum64String(id + "/" + b)
	}
	for _, n := range s.f.ActivePeers(time.Now()) {
		h := xxhash.Sum64String(id + "/" + n)
		if b == "" || h > m {
			b, m = n, h
		}
	}
	return b
}

// adopt takes a job over.
func (s *Jobs) adopt(c context.Context, id string) {
	d := false
	e := s.change(c, id, func(j *wire.BatchJob) bool {
		d = !j.GetEnded() && !j.GetComplete() && s.orphaned(j)
		if !d {
			return false
		}
		j.SetOwner(s.self.GetName())
		j.SetIncarnation(s.self.GetIncarnation())
		return true
	})
	if e != nil {
		s.l.WithError(e).WithField("job-id", id).Warn("batch: job of a lost front not taken over yet")
		s.reviewLater()
		return
	}
	if !d {
		return
	}
	s.load(c, id)
}

// load reads the items and results of a job that this front has taken over.
func (s *Jobs) load(c context.Context, id string) {
	k, e := s.job(c, id)
	if e == nil {
		e = s.readInput(c, id, k)
	}
	if e == nil {
		e = s.refresh(c, id, k)
	}
	if e != nil {
		s.l.WithError(e).WithField("job-id", id).Warn("batch: job to be run not read yet")
		s.reviewLater()
		return
	}
	s.m.Lock()
	o, j, i := k.object, k.job, k.input
	s.m.Unlock()
	s.l.WithField("job-id", id).Info("batch: job run here from now on")
	s.own(o, j, i, false)
}

func (s *Jobs) ownedJobs() int {
	s.m.Lock()
	defer s.m.Unlock()
	return len(s.owned)
}

// reviewLater asks for another review after one that could not do all.
func (s *Jobs) reviewLater() { time.AfterFunc(reviewPause, s.Review) }

// Review looks for jobs without an owner soon.
func (s *Jobs) Review() {
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

// Lost looks for the jobs of a front that has gone silent. An old copy of the
// jobs is read now and once more when it has all that the front had accepted,
// since in a large fleet all fronts look.
func (s *Jobs) Lost() {
	s.lookSoon()
	time.AfterFunc(copyAge, s.lookSoon)
}

func (s *Jobs) lookSoon() {
	select {
	case s.lost <- struct{}{}:
	default:
	}
}

// Greatest age of what is read from an old copy.
const copyAge = 3 * time.Second
