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
	freshFor = 300 * time.Millisecond
	// Bytes of results in one answer.
	maxAnswer = 1 << 20
)

// Results returns the number of items of a job and the results from a position
// on, at least one if there is one, and at most 1 MB. While this process knows
// of none it waits, and at the end of its patience it reads the platform. The
// errors are "job-missing", and that of a platform that does not answer.
func (s *Jobs) Results(c context.Context, id string, after int, patience time.Duration) (int, []*wire.BatchResult, error) {
	k, e := s.job(c, id)
	if e != nil {
		return 0, nil, e
	}
	if after >= k.total {
		return k.total, nil, nil
	}
	l := s.after(k, after)
	if len(l) > 0 {
		return k.total, bound(l), nil
	}
	b := time.Now()
	l, d := s.ask(c, id, after, patience)
	if d {
		return k.total, bound(l), nil
	}
	l = s.await(c, k, after, patience-time.Since(b))
	if len(l) > 0 {
		return k.total, bound(l), nil
	}
	if c.Err() != nil {
		return 0, nil, trail.WrapError(c.Err(), "cancelled", trail.NotRun, "caller has gone")
	}
	l, e = s.current(c, id, k, after)
	return k.total, bound(l), e
}

// await returns the results from a position on that this process knows. It waits
// until there is one, its patience is at its end, or c ends.
func (s *Jobs) await(c context.Context, k *known, after int, patience time.Duration) []*wire.BatchResult {
	t := time.NewTimer(max(patience, 0))
	defer t.Stop()
	for {
		s.m.Lock()
		l, w := k.results(after), k.changed
		s.m.Unlock()
		if len(l) > 0 {
			return l
		}
		select {
		case <-w:
		case <-t.C:
			return nil
		case <-c.Done():
			return nil
		}
	}
}

// ask asks the front that runs a job for the results from a position on. It
// returns false when the answer does not settle what there is.
func (s *Jobs) ask(c context.Context, id string, after int, patience time.Duration) ([]*wire.BatchResult, bool) {
	_, w := s.owner(id)
	if w == s.self.GetName() {
		l, d := s.Known(c, id, after, patience)
		return l, d || len(l) > 0
	}
	if w == "" || !s.f.Alive(time.Now(), w) {
		return nil, false
	}
	l, d, e := s.peers.Results(c, w, id, after, patience)
	if e != nil {
		s.l.WithError(e).WithFields(log.Fields{"job-id": id, "front": w}).Warn("batch: front that runs a job was not asked for its results")
		return nil, false
	}
	return l, d || len(l) > 0
}

// Known returns the results from a position on that this front knows, for
// another one, and whether there can be no others. It waits for so long until
// there is one.
func (s *Jobs) Known(c context.Context, id string, after int, patience time.Duration) ([]*wire.BatchResult, bool) {
	s.m.Lock()
	k := s.known[id]
	o := s.owned[id]
	s.m.Unlock()
	if k == nil {
		return nil, false
	}
	if o == nil {
		return bound(s.after(k, after)), false
	}
	c, f := context.WithCancel(c)
	defer f()
	// Nothing more comes once the job is dropped.
	defer context.AfterFunc(o.c, f)()
	l := s.await(c, k, after, patience)
	return bound(l), len(l) == 0 && s.certain(o)
}

// certain says whether this front knows all results of a job that it runs. No
// write to them may be of unknown outcome, and no other front can have taken the
// job over: none has counted this front as gone, or a review since then has
// found the job unchanged.
func (s *Jobs) certain(o *owned) bool {
	d := s.f.LastPresumedDead(time.Now())
	s.m.Lock()
	defer s.m.Unlock()
	return s.owned[o.id] == o && o.settled && s.reviewed.After(d.Add(copyAge))
}

// bound cuts results to the size of one answer.
func bound(l []*wire.BatchResult) []*wire.BatchResult {
	n := 0
	for i, r := range l {
		n += len(r.GetOutput())
		if i > 0 && n > maxAnswer {
			return l[:i]
		}
	}
	return l
}

// job returns what is known of a job, and reads its object the first time.
func (s *Jobs) job(c context.Context, id string) (*known, error) {
	s.m.Lock()
	k := s.known[id]
	s.m.Unlock()
	if k != nil {
		return k, nil
	}
	// What is needed of it is the same in all versions.
	o, e := s.unchanging(c, kindJobs, id)
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
	return s.remember(o, j), nil
}

// unchanging reads an object, in any version. An old copy may lack it.
func (s *Jobs) unchanging(c context.Context, kind, name string) (object.Object, error) {
	o, e := s.store.GetStale(c, kind, name)
	if errors.Is(e, trail.ErrNotFound) {
		return s.store.Get(c, kind, name)
	}
	return o, e
}

// remember keeps a job's object unless a newer version is known.
func (s *Jobs) remember(o object.Object, j *wire.BatchJob) *known {
	s.m.Lock()
	defer s.m.Unlock()
	k := s.known[o.Name()]
	if k == nil {
		k = newKnown(j)
		s.known[o.Name()] = k
	}
	if o.Version() > k.object.Version() {
		k.object = o
		k.job = j
	}
	return k
}

// current returns the results from a position on. Those that an old copy has
// are as good as any, since the list only grows. That there are none is read
// from the platform itself, unless that was done just now.
func (s *Jobs) current(c context.Context, id string, k *known, after int) ([]*wire.BatchResult, error) {
	s.m.Lock()
	f := time.Since(k.read) < freshFor
	s.m.Unlock()
	if f {
		return s.after(k, after), nil
	}
	e := s.readParts(c, id, k, s.store.GetStale)
	if e != nil {
		return nil, e
	}
	l := s.after(k, after)
	if len(l) > 0 {
		return l, nil
	}
	e = s.refresh(c, id, k)
	return s.after(k, after), e
}

// after returns the results from a position on that this process knows.
func (s *Jobs) after(k *known, position int) []*wire.BatchResult {
	s.m.Lock()
	defer s.m.Unlock()
	return k.results(position)
}

// refresh reads the newest results objects of a job.
func (s *Jobs) refresh(c context.Context, id string, k *known) error {
	b := time.Now()
	e := s.readParts(c, id, k, s.store.Get)
	if e != nil {
		return e
	}
	s.m.Lock()
	defer s.m.Unlock()
	k.read = b
	return nil
}

// readParts reads the last results object that is known of a job, and those
// after it.
func (s *Jobs) readParts(c context.Context, id string, k *known, get func(c context.Context, kind, name string) (object.Object, error)) error {
	s.m.Lock()
	n := max(len(k.parts)-1, 0)
	s.m.Unlock()
	for {
		o, e := get(c, kindResults, partName(id, n))
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
		s.setPart(k, n, p)
		if !p.v.GetFull() {
			break
		}
		n++
	}
	return nil
}

func decodePart(o object.Object) (*part, error) {
	v := &wire.BatchResults{}
	e := o.Decode(v)
	if e != nil {
		return nil, trail.WrapError(e, "object-unreadable", trail.NotRun, "results are not readable").At(o.Name())
	}
	return &part{version: o.Version(), v: v}, nil
}

// setPart keeps a results object unless a newer version is known.
func (s *Jobs) setPart(k *known, n int, p *part) {
	s.m.Lock()
	defer s.m.Unlock()
	if n > len(k.parts) || n < len(k.parts) && k.parts[n].version >= p.version {
		return
	}
	if n == len(k.parts) {
		k.parts = append(k.parts, p)
	} else {
		k.parts[n] = p
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// Body returns the decoded body of an item. The errors are "job-missing",
// "item-missing", and that of a platform that does not answer.
func (s *Jobs) Body(c context.Context, id, item string) ([]byte, error) {
	k, e := s.job(c, id)
	if e != nil {
		return nil, e
	}
	e = s.readInput(c, id, k)
	if e != nil {
		return nil, e
	}
	s.m.Lock()
	defer s.m.Unlock()
	i := k.item(item)
	if i == nil {
		return nil, trail.NewError("item-missing", trail.NotRun, "job has no such item").At(item)
	}
	return i.GetBody(), nil
}

// readInput reads the items of a job the first time.
func (s *Jobs) readInput(c context.Context, id string, k *known) error {
	s.m.Lock()
	d := k.input != nil
	s.m.Unlock()
	if d {
		return nil
	}
	var l []*wire.BatchItem
	for i := range k.inputs {
		o, e := s.unchanging(c, kindInputs, partName(id, i))
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
	s.m.Lock()
	k.input = l
	s.m.Unlock()
	return nil
}

// change updates a job's object by a conditional update. The function returns
// false when there is nothing to change.
func (s *Jobs) change(c context.Context, id string, f func(j *wire.BatchJob) bool) error {
	o, e := s.store.Get(c, kindJobs, id)
	if e != nil {
		return e
	}
	return s.update(c, o, f)
}

// update does so from a version of the object that may be old, in which case
// it returns trail.ErrConflict.
func (s *Jobs) update(c context.Context, o object.Object, f func(j *wire.BatchJob) bool) error {
	j := &wire.BatchJob{}
	e := o.Decode(j)
	if e != nil {
		return e
	}
	s.remember(o, j)
	n := proto.CloneOf(j)
	if !f(n) {
		return nil
	}
	b, e := object.Encode(kindJobs, o.Name(), o.Version(), n)
	if e != nil {
		return e
	}
	b, e = s.store.Update(c, b)
	if e == nil {
		s.remember(b, n)
	}
	return e
}
