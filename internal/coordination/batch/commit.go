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

// commitSoon lists the results of a job after a while, and again while there
// are more.
func (s *Jobs) commitSoon(o *owned, d time.Duration) {
	for {
		wait(o.c, d)
		e := s.commit(o.c, o)
		s.m.Lock()
		if o.c.Err() != nil || e == nil && len(o.results) == 0 {
			o.committing = false
			s.m.Unlock()
			break
		}
		s.m.Unlock()
		d = commitPause
	}
	s.complete(o)
}

// commit lists the results that are at hand. Those that are listed already,
// by an owner before or after this one, are dropped.
func (s *Jobs) commit(c context.Context, o *owned) error {
	for {
		l := s.pending(o)
		if len(l) == 0 {
			return nil
		}
		e := s.append(c, o, l)
		if e == nil {
			continue
		}
		if errors.Is(e, trail.ErrConflict) || errors.Is(e, trail.ErrExists) || trail.VerdictOf(e) != trail.NotRun {
			// The copy is old, or the write may have taken effect.
			e = s.refresh(c, o.id, o.k)
			if e == nil {
				continue
			}
		}
		s.l.WithError(e).WithFields(log.Fields{"job-id": o.id, "results": len(l)}).Warn("batch: results not listed yet")
		return e
	}
}

// pending drops the results that are listed and returns the others.
func (s *Jobs) pending(o *owned) []*wire.BatchResult {
	s.m.Lock()
	defer s.m.Unlock()
	m := o.k.listed()
	var l []*wire.BatchResult
	for _, r := range o.results {
		if !m[r.GetId()] {
			l = append(l, r)
			m[r.GetId()] = true
		}
	}
	o.results = l
	return l
}

// append adds results to the newest results object. An object without room is
// marked as full first, so that its successor is created once.
func (s *Jobs) append(c context.Context, o *owned, l []*wire.BatchResult) error {
	s.m.Lock()
	n := len(o.k.parts) - 1
	var p *part
	if n >= 0 {
		p = o.k.parts[n]
	}
	s.m.Unlock()
	switch {
	case p == nil:
		return s.writePart(c, o, 0, 0, wire.BatchResults_builder{Results: s.fit(0, l)}.Build())
	case p.v.GetFull():
		return s.writePart(c, o, n+1, 0, wire.BatchResults_builder{Results: s.fit(0, l)}.Build())
	}
	f := s.fit(proto.Size(p.v), l)
	v := proto.CloneOf(p.v)
	if len(f) == 0 {
		v.SetFull(true)
	} else {
		v.SetResults(append(v.GetResults(), f...))
	}
	return s.writePart(c, o, n, p.version, v)
}

// fit returns the results for which an object has room, at least one if the
// object is empty.
func (s *Jobs) fit(size int, l []*wire.BatchResult) []*wire.BatchResult {
	n := size
	for i, r := range l {
		n += proto.Size(r)
		if n > s.valueBytes && (i > 0 || size > 0) {
			return l[:i]
		}
	}
	return l
}

// writePart creates or replaces a results object.
func (s *Jobs) writePart(c context.Context, o *owned, n int, version int64, v *wire.BatchResults) error {
	b, e := object.Encode(kindResults, partName(o.id, n), version, v)
	if e != nil {
		return e
	}
	s.settle(o, false)
	if version == 0 {
		b, e = s.store.Create(c, b)
	} else {
		b, e = s.store.Update(c, b)
	}
	if e != nil {
		return e
	}
	s.setPart(o.k, n, &part{version: b.Version(), v: v})
	s.settle(o, true)
	s.l.WithFields(log.Fields{"job-id": o.id, "part": n, "results": len(v.GetResults())}).Info("batch: results listed")
	return nil
}

func (s *Jobs) settle(o *owned, settled bool) {
	s.m.Lock()
	defer s.m.Unlock()
	o.settled = settled
}

// complete marks a job whose items all have a result, and stops running it.
func (s *Jobs) complete(o *owned) {
	s.m.Lock()
	d := s.owned[o.id] == o && s.agenda.Unfinished(o.id) == 0 && len(o.results) == 0
	s.m.Unlock()
	if !d {
		return
	}
	s.m.Lock()
	b := o.k.object
	s.m.Unlock()
	f := func(j *wire.BatchJob) bool {
		d := !j.GetComplete()
		j.SetComplete(true)
		return d
	}
	e := s.update(o.c, b, f)
	for e != nil && o.c.Err() == nil {
		e = s.change(o.c, o.id, f)
		if e == nil {
			break
		}
		s.l.WithError(e).WithField("job-id", o.id).Warn("batch: job not marked as complete yet")
		if !wait(o.c, time.Second) {
			return
		}
	}
	s.drop(o.id, "complete")
}
