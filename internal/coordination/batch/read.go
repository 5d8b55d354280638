package batch

import (
	"context"
	"time"

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
// on, at least one if there is one, and at most 1 MB. While there is none it
// waits. The errors are "job-missing", and that of a platform that does not
// answer.
func (s *Jobs) Results(c context.Context, id string, after int, patience time.Duration) (int, []*wire.BatchResult, error) {
	d := time.Now().Add(patience)
	for {
		k, e := s.job(c, id)
		if e != nil {
			return 0, nil, e
		}
		l, w, e := s.current(c, id, k, after)
		if e != nil {
			return 0, nil, e
		}
		if len(l) > 0 || !time.Now().Before(d) || after >= k.total {
			return k.total, bound(l), nil
		}
		t := time.NewTimer(time.Until(d))
		select {
		case <-w:
		case <-t.C:
		case <-c.Done():
			t.Stop()
			return 0, nil, trail.WrapError(c.Err(), "cancelled", trail.NotRun, "caller has gone")
		}
		t.Stop()
	}
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
	o, e := s.store.Get(c, kindJobs, id)
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
	return s.remember(id, j), nil
}

func (s *Jobs) remember(id string, j *wire.BatchJob) *known {
	s.m.Lock()
	defer s.m.Unlock()
	k := s.known[id]
	if k == nil {
		k = newKnown(j)
		s.known[id] = k
	}
	// A read that was overtaken must not revive an ended job.
	if k.job.GetEnded() && !j.GetEnded() {
		return k
	}
	k.job = j
	return k
}

// current returns the results from a position on and a channel that is closed
// when this process learns of more. It reads the platform when its copy has
// none and is not fresh.
func (s *Jobs) current(c context.Context, id string, k *known, after int) ([]*wire.BatchResult, <-chan struct{}, error) {
	s.m.Lock()
	l, w, f := k.results(after), k.changed, time.Since(k.read) < freshFor
	s.m.Unlock()
	if len(l) > 0 || f {
		return l, w, nil
	}
	e := s.refresh(c, id, k)
	if e != nil {
		return nil, nil, e
	}
	s.m.Lock()
	defer s.m.Unlock()
	return k.results(after), k.changed, nil
}

// refresh reads the newest results objects of a job.
func (s *Jobs) refresh(c context.Context, id string, k *known) error {
	b := time.Now()
	s.m.Lock()
	n := max(len(k.parts)-1, 0)
	s.m.Unlock()
	for {
		o, e := s.store.Get(c, kindResults, partName(id, n))
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
	s.m.Lock()
	k.read = b
	s.m.Unlock()
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
		o, e := s.store.Get(c, kindInputs, partName(id, i))
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

// End ends a job and returns once that is kept. The errors are those of
// Results.
func (s *Jobs) End(c context.Context, id string) error {
	for {
		e := s.change(c, id, func(j *wire.BatchJob) bool {
			d := !j.GetEnded()
			j.SetEnded(true)
			return d
		})
		if e == nil {
			s.drop(id, "ended by its caller")
			return nil
		}
		if errors.Is(e, trail.ErrNotFound) {
			return trail.WrapError(e, "job-missing", trail.NotRun, "no such job").At(id)
		}
		if !wait(c, writePause) {
			return e
		}
	}
}

// change updates a job's object by a conditional update. The function returns
// false when there is nothing to change.
func (s *Jobs) change(c context.Context, id string, f func(j *wire.BatchJob) bool) error {
	o, e := s.store.Get(c, kindJobs, id)
	if e != nil {
		return e
	}
	j := &wire.BatchJob{}
	e = o.Decode(j)
	if e != nil {
		return e
	}
	s.remember(id, proto.CloneOf(j))
	if !f(j) {
		return nil
	}
	n, e := object.Encode(kindJobs, id, o.Version(), j)
	if e != nil {
		return e
	}
	_, e = s.store.Update(c, n)
	if e == nil {
		s.remember(id, j)
	}
	return e
}
