package batch

import (
	"cmp"
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
	// Cached results up to this age are served without another read: they lack
	// only what was listed less than a second ago.
	resultsFreshFor = 300 * time.Millisecond
	// Most bytes of results in one response.
	maxResultsBytes = 1 << 20
	// Most bytes of a response without results, and of a result without the texts of
	// its id and output.
	responseBytes       = 100
	resultOverheadBytes = 60
)

// Results returns the number of items of a job and the results from position
// after on: at least one if there is any, and at most 1 MiB. Without a cached
// one it asks the owner of the job or waits for one, and in the end reads the
// platform, unless the owner is sure that there is none. The errors are
// "job-missing", "cancelled" and those of the platform.
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
		return 0, nil, trail.WrapError(ctx.Err(), "cancelled", trail.NotRun, "call was cancelled while waiting for results")
	}
	l, e = s.latestResults(ctx, id, k, after)
	return k.total, limitResults(l), e
}

// awaitResults returns the cached results from position after on. It waits
// until there is one, the wait is over, or ctx ends.
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

// askOwner asks the owner of a job for the results from position after on. It
// returns false when the owner has none and can't be sure that none are listed,
// or could not be asked.
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

// LocalResults returns the results from position after on that this front has
// cached. It returns true when there are none and none can be listed elsewhere.
// For a job that runs here it waits up to the given time until there is one.
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
	// This front lists no more results once the job has stopped.
	defer context.AfterFunc(o.ctx, f)()
	l := s.awaitResults(c, k, after, wait)
	return limitResults(l), len(l) == 0 && s.isAuthoritative(o)
}

// isAuthoritative says whether this front is sure to know all listed results of
// a job that it runs. For this no write to them may be of unknown outcome, and
// this front must be sure to be the owner.
func (s *Jobs) isAuthoritative(job *ownedJob) bool {
	d := s.fleet.LastPresumedDead(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned[job.id] == job && job.writesSettled && job.confirmed(d)
}

// limitResults cuts results to the size of one response in JSON, but keeps at least
// one.
func limitResults(results []*wire.BatchResult) []*wire.BatchResult {
	n := responseBytes
	for i, r := range results {
		n += resultOverheadBytes + object.TextSize(r.GetId()) + object.TextSize(r.GetOutput())
		if i > 0 && n > maxResultsBytes {
			return results[:i]
		}
	}
	return results
}

// getJob returns the cached job, and reads its object the first time.
func (s *Jobs) getJob(ctx context.Context, id string) (*cachedJob, error) {
	s.mu.Lock()
	k := s.cached[id]
	s.mu.Unlock()
	if k != nil {
		return k, nil
	}
	// A stale read will do: callers need only fields that never change.
	o, e := s.getImmutable(ctx, kindJobs, id)
	if errors.Is(e, trail.ErrNotFound) {
		return nil, trail.WrapError(e, codeJobMissing, trail.NotRun, "no such job").WithPlace(id)
	}
	if e != nil {
		return nil, e
	}
	j := &wire.BatchJob{}
	e = o.Decode(j)
	if e != nil {
		return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "job object is not decodable").WithPlace(id)
	}
	return s.cacheJob(o, j), nil
}

// Origin returns the host and the path of the submission of a job. The errors are
// "job-missing" and those of the platform.
func (s *Jobs) Origin(ctx context.Context, id string) (host, path string, err error) {
	k, e := s.getJob(ctx, id)
	if e != nil {
		return "", "", e
	}
	return k.host, k.path, nil
}

// getImmutable reads an object of which any version will do: stale first, and
// from the platform itself if the stale copy lacks it.
func (s *Jobs) getImmutable(ctx context.Context, kind, name string) (object.Object, error) {
	o, e := s.store.GetStale(ctx, kind, name)
	if errors.Is(e, trail.ErrNotFound) {
		return s.store.Get(ctx, kind, name)
	}
	return o, e
}

// cacheJob caches a job's object unless a newer version is cached.
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
		k.route = cmp.Or(k.route, value.GetRoute())
		k.team = cmp.Or(k.team, value.GetTeam())
	}
	return k
}

// latestResults reads the results from position after on. Results of a stale
// read are valid, since the list is append-only. That there are none is only
// believed of the platform itself, which is read unless that was done within
// resultsFreshFor.
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

// cachedResults returns the cached results from position after on.
func (s *Jobs) cachedResults(cached *cachedJob, after int) []*wire.BatchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cached.results(after)
}

// refreshResults reads the newest results objects of a job from the platform
// itself.
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

// readParts reads the last cached results object of a job and all after it.
// Those before it are full and don't change.
func (s *Jobs) readParts(ctx context.Context, id string, cached *cachedJob, get func(ctx context.Context, kind, name string) (object.Object, error)) error {
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
		return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "results object is not decodable").WithPlace(obj.Name())
	}
	return &part{version: obj.Version(), value: v}, nil
}

// cachePart caches a results object unless a newer version is cached.
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
// "item-missing" and those of the platform.
func (s *Jobs) ItemBody(ctx context.Context, id, item string) ([]byte, error) {
	k, e := s.getJob(ctx, id)
	if e != nil {
		return nil, e
	}
	l, e := s.loadItems(ctx, id, k)
	if e != nil {
		return nil, e
	}
	i := findItem(l, item)
	if i == nil {
		return nil, trail.NewError("item-missing", trail.NotRun, "job has no such item").WithPlace(item)
	}
	return i.GetBody(), nil
}

// loadItems returns the items of a job, and reads them unless they are cached.
func (s *Jobs) loadItems(ctx context.Context, id string, cached *cachedJob) ([]*wire.BatchItem, error) {
	s.mu.Lock()
	l := cached.items
	s.mu.Unlock()
	if l != nil {
		return l, nil
	}
	r, t := "", ""
	for i := range cached.inputCount {
		o, e := s.getImmutable(ctx, kindInputs, partName(id, i))
		if e != nil {
			return nil, trail.WrapError(e, "platform-unavailable", trail.NotRun, "items of the job could not be read").WithPlace(id)
		}
		v := &wire.BatchInput{}
		e = o.Decode(v)
		if e != nil {
			return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "input object is not decodable").WithPlace(id)
		}
		l = append(l, v.GetItems()...)
		r, t = cmp.Or(r, v.GetRoute()), cmp.Or(t, v.GetTeam())
	}
	s.mu.Lock()
	cached.items = l
	cached.route = cmp.Or(cached.route, r)
	cached.team, cached.teamRead = cmp.Or(cached.team, t), true
	if s.itemLimit > 0 {
		s.trimItems(s.itemLimit)
	}
	s.mu.Unlock()
	return l, nil
}

// updateJob reads a job's object and changes it by a conditional update. mutate
// returns false when there is nothing to change.
func (s *Jobs) updateJob(ctx context.Context, id string, mutate func(j *wire.BatchJob) bool) error {
	o, e := s.store.Get(ctx, kindJobs, id)
	if e != nil {
		return e
	}
	return s.updateObject(ctx, o, mutate)
}

// updateObject does the same with a version of the object that was read before.
// It returns trail.ErrConflict if that version is outdated.
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
