package batch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// A copy of the results that is younger is as good as a read: what it
	// lacks was listed less than a second ago.
	resultsFreshFor = 300 * time.Millisecond
	// Bytes of results in one answer.
	maxResultsBytes = 1 << 20
)

// Results returns the number of items of a job and the results from a position
// on, at least one if there is one, and at most 1 MB. While this process knows
// of none it waits, and at the end of its patience it reads the platform. The
// errors are "job-missing", and that of a platform that does not answer.
func (s *Jobs) Results(ctx context.Context, id string, after int, wait time.Duration) (int, []*wire.BatchResult, error) {
	k, e := s.getJob(ctx, id)
	if e != nil {
		return 0, nil, e
	}
	if after >= k.total {
		return k.total, nil, nil
	}
	l := s.cachedResults(k, after)
	if len(l) > 0 {
		return k.total, limitResults(l), nil
	}
	b := time.Now()
	l, d := s.askOwner(ctx, id, after, wait)
	if d {
		return k.total, limitResults(l), nil
	}
	l = s.awaitResults(ctx, k, after, wait-time.Since(b))
	if len(l) > 0 {
		return k.total, limitResults(l), nil
	}
	if ctx.Err() != nil {
		return 0, nil, trail.WrapError(ctx.Err(), "cancelled", trail.NotRun, "caller has gone")
	}
	l, e = s.latestResults(ctx, id, k, after)
	return k.total, limitResults(l), e
}

// awaitResults returns the results from a position on that this process knows. It waits
// until there is one, its patience is at its end, or c ends.
func (s *Jobs) awaitResults(ctx context.Context, cached *cachedJob, after int, wait time.Duration) []*wire.BatchResult {
	t := time.NewTimer(max(wait, 0))
	defer t.Stop()
	for {
		s.mu.Lock()
		l, w := cached.results(after), cached.resultsChanged
		s.mu.Unlock()
		if len(l) > 0 {
			return l
		}
		select {
		case <-w:
		case <-t.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// askOwner asks the front that runs a job for the results from a position on. It
// returns false when the answer does not settle what there is.
func (s *Jobs) askOwner(ctx context.Context, id string, after int, wait time.Duration) ([]*wire.BatchResult, bool) {
	_, w := s.cachedOwner(id)
	if w == s.self.GetName() {
		l, d := s.LocalResults(ctx, id, after, wait)
		return l, d || len(l) > 0
	}
	if w == "" || !s.fleet.Alive(time.Now(), w) {
		return nil, false
	}
	l, d, e := s.peers.Results(ctx, w, id, after, wait)
	if e != nil {
		s.logger.WithError(e).WithFields(log.Fields{"job-id": id, "front": w}).Warn("batch: front that runs a job was not asked for its results")
		return nil, false
	}
	return l, d || len(l) > 0
}

// LocalResults returns the results from a position on that this front knows, for
// another one, and whether there can be no others. It waits for so long until
// there is one.
func (s *Jobs) LocalResults(ctx context.Context, id string, after int, wait time.Duration) ([]*wire.BatchResult, bool) {
	s.mu.Lock()
	k := s.cached[id]
	o := s.owned[id]
	s.mu.Unlock()
	if k == nil {
		return nil, false
	}
	if o == nil {
		return limitResults(s.cachedResults(k, after)), false
	}
	c, f := context.WithCancel(ctx)
	defer f()
	// Nothing more comes once the job is dropped.
	defer context.AfterFunc(o.ctx, f)()
	l := s.awaitResults(c, k, after, wait)
	return limitResults(l), len(l) == 0 && s.isAuthoritative(o)
}

// isAuthoritative says whether this front knows all results of a job that it runs. No
// write to them may be of unknown outcome, and no other front can have taken the
// job over: none has counted this front as gone, or a review since then has
// found the job unchanged.
func (s *Jobs) isAuthoritative(job *ownedJob) bool {
	d := s.fleet.LastPresumedDead(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned[job.id] == job && job.writesSettled && s.reconciled.After(d.Add(maxStaleness))
}

// limitResults cuts results to the size of one answer.
func limitResults(results []*wire.BatchResult) []*wire.BatchResult {
	n := 0
	for i, r := range results {
		n += len(r.GetOutput())
		if i > 0 && n > maxResultsBytes {
			return results[:i]
		}
	}
	return results
}

// getJob returns what is known of a job, and reads its object the first time.
func (s *Jobs) getJob(ctx context.Context, id string) (*cachedJob, error) {
	s.mu.Lock()
	k := s.cached[id]
	s.mu.Unlock()
	if k != nil {
		return k, nil
	}
	// What is needed of it is the same in all versions.
	o, e := s.getImmutable(ctx, kindJobs, id)
	if errors.Is(e, trail.ErrNotFound) {
		return nil, trail.WrapError(e, "job-missing", trail.NotRun, "no such job").At(id)
	}
	if e != nil {
		return nil, e
	}
	j := &wire.BatchJob{}
	e = o.Decode(j)
	if e != nil {
		return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "job is not readable").At(id)
	}
	return s.cacheJob(o, j), nil
}

// getImmutable reads an object, in any version. An old copy may lack it.
func (s *Jobs) getImmutable(ctx context.Context, kind, name string) (object.Object, error) {
	o, e := s.store.GetStale(ctx, kind, name)
	if errors.Is(e, trail.ErrNotFound) {
		return s.store.Get(ctx, kind, name)
	}
	return o, e
}

// cacheJob keeps a job's object unless a newer version is known.
func (s *Jobs) cacheJob(obj object.Object, value *wire.BatchJob) *cachedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.cached[obj.Name()]
	if k == nil {
		k = newCachedJob(value)
		s.cached[obj.Name()] = k
	}
	if obj.Version() > k.object.Version() {
		k.object = obj
		k.job = value
	}
	return k
}

// latestResults returns the results from a position on. Those that an old copy has
// are as good as any, since the list only grows. That there are none is read
// from the platform itself, unless that was done just now.
func (s *Jobs) latestResults(ctx context.Context, id string, cached *cachedJob, after int) ([]*wire.BatchResult, error) {
	s.mu.Lock()
	f := time.Since(cached.resultsRead) < resultsFreshFor
	s.mu.Unlock()
	if f {
		return s.cachedResults(cached, after), nil
	}
	e := s.readParts(ctx, id, cached, s.store.GetStale)
	if e != nil {
		return nil, e
	}
	l := s.cachedResults(cached, after)
	if len(l) > 0 {
		return l, nil
	}
	e = s.refreshResults(ctx, id, cached)
	return s.cachedResults(cached, after), e
}

// cachedResults returns the results from a position on that this process knows.
func (s *Jobs) cachedResults(cached *cachedJob, after int) []*wire.BatchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cached.results(after)
}

// refreshResults reads the newest results objects of a job.
func (s *Jobs) refreshResults(ctx context.Context, id string, cached *cachedJob) error {
	b := time.Now()
	e := s.readParts(ctx, id, cached, s.store.Get)
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cached.resultsRead = b
	return nil
}

// readParts reads the last results object that is known of a job, and those
// after it.
func (s *Jobs) readParts(ctx context.Context, id string, cached *cachedJob, get func(c context.Context, kind, name string) (object.Object, error)) error {
	s.mu.Lock()
	n := max(len(cached.parts)-1, 0)
	s.mu.Unlock()
	for {
		o, e := get(ctx, kindResults, partName(id, n))
		if errors.Is(e, trail.ErrNotFound) {
			break
		}
		if e != nil {
			return e
		}
		p, e := decodePart(o)
		if e != nil {
			return e
		}
		s.cachePart(cached, n, p)
		if !p.value.GetFull() {
			break
		}
		n++
	}
	return nil
}

func decodePart(obj object.Object) (*part, error) {
	v := &wire.BatchResults{}
	e := obj.Decode(v)
	if e != nil {
		return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "results are not readable").At(obj.Name())
	}
	return &part{version: obj.Version(), value: v}, nil
}

// cachePart keeps a results object unless a newer version is known.
func (s *Jobs) cachePart(cached *cachedJob, index int, part *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > len(cached.parts) || index < len(cached.parts) && cached.parts[index].version >= part.version {
		return
	}
	if index == len(cached.parts) {
		cached.parts = append(cached.parts, part)
	} else {
		cached.parts[index] = part
	}
	close(cached.resultsChanged)
	cached.resultsChanged = make(chan struct{})
}

// ItemBody returns the decoded body of an item. The errors are "job-missing",
// "item-missing", and that of a platform that does not answer.
func (s *Jobs) ItemBody(ctx context.Context, id, item string) ([]byte, error) {
	k, e := s.getJob(ctx, id)
	if e != nil {
		return nil, e
	}
	e = s.loadItems(ctx, id, k)
	if e != nil {
		return nil, e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := k.item(item)
	if i == nil {
		return nil, trail.NewError("item-missing", trail.NotRun, "job has no such item").At(item)
	}
	return i.GetBody(), nil
}

// loadItems reads the items of a job the first time.
func (s *Jobs) loadItems(ctx context.Context, id string, cached *cachedJob) error {
	s.mu.Lock()
	d := cached.items != nil
	s.mu.Unlock()
	if d {
		return nil
	}
	var l []*wire.BatchItem
	for i := range cached.inputCount {
		o, e := s.getImmutable(ctx, kindInputs, partName(id, i))
		if e != nil {
			return trail.WrapError(e, "platform-unavailable", trail.NotRun, "items of the job are not at hand").At(id)
		}
		v := &wire.BatchInput{}
		e = o.Decode(v)
		if e != nil {
			return trail.WrapError(e, "object-unreadable", trail.NotRun, "items of the job are not readable").At(id)
		}
		l = append(l, v.GetItems()...)
	}
	s.mu.Lock()
	cached.items = l
	s.mu.Unlock()
	return nil
}

// updateJob updates a job's object by a conditional update. The function returns
// false when there is nothing to change.
func (s *Jobs) updateJob(ctx context.Context, id string, mutate func(j *wire.BatchJob) bool) error {
	o, e := s.store.Get(ctx, kindJobs, id)
	if e != nil {
		return e
	}
	return s.updateObject(ctx, o, mutate)
}

// updateObject does so from a version of the object that may be old, in which case
// it returns trail.ErrConflict.
func (s *Jobs) updateObject(ctx context.Context, obj object.Object, mutate func(j *wire.BatchJob) bool) error {
	j := &wire.BatchJob{}
	e := obj.Decode(j)
	if e != nil {
		return e
	}
	s.cacheJob(obj, j)
	n := proto.CloneOf(j)
	if !mutate(n) {
		return nil
	}
	b, e := object.Encode(kindJobs, obj.Name(), obj.Version(), n)
	if e != nil {
		return e
	}
	b, e = s.store.Update(ctx, b)
	if e == nil {
		s.cacheJob(b, n)
	}
	return e
}
