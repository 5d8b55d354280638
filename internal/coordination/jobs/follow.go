package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const followRetry = time.Second

// news is what the watch of the jobs reports.
type news struct {
	// All jobs when a new list was read; job is empty then.
	listed  bool
	all     []seen
	job     seen
	id      string
	deleted bool
}

// follow lists and watches the jobs until c ends.
func (s *Jobs) follow(c context.Context) {
	var v int64
	for c.Err() == nil {
		b := time.Now()
		e := error(nil)
		if v == 0 {
			v, e = s.list(c)
		}
		if e == nil {
			v, e = s.watch(c, v)
		}
		if errors.Is(e, trail.ErrTooOld) {
			v = 0
		}
		if e != nil && c.Err() == nil {
			s.l.WithError(e).Warn("jobs: jobs can't be watched")
		}
		// Also after a watch that the platform closed at once: each one counts
		// against its rate.
		w := time.NewTimer(max(followRetry-time.Since(b), 0))
		select {
		case <-c.Done():
		case <-w.C:
		}
		w.Stop()
	}
}

func (s *Jobs) list(c context.Context) (int64, error) {
	l, v, e := s.store.List(c, kindJobs)
	if e != nil {
		return 0, e
	}
	n := news{listed: true}
	for _, o := range l {
		x, e := decode(o)
		if e != nil {
			s.l.WithField("job", o.Name()).WithError(e).Error("jobs: job can't be decoded")
			continue
		}
		n.all = append(n.all, x)
	}
	s.publish(c, n)
	return v, nil
}

// watch reports changes until the platform closes the watch. It returns the
// version of the last one.
func (s *Jobs) watch(c context.Context, v int64) (int64, error) {
	w, e := s.store.Watch(c, kindJobs, v)
	if e != nil {
		return v, e
	}
	for x := range w {
		if x.Cause() != nil {
			return v, x.Cause()
		}
		v = max(v, x.Object().Version())
		n := news{id: x.Object().Name(), deleted: x.Deleted()}
		if !n.deleted {
			n.job, e = decode(x.Object())
		}
		if e != nil {
			s.l.WithField("job", n.id).WithError(e).Error("jobs: job can't be decoded")
			continue
		}
		s.publish(c, n)
	}
	return v, nil
}

func (s *Jobs) publish(c context.Context, n news) {
	select {
	case s.news <- n:
	case <-c.Done():
	}
}

func decode(o object.Object) (seen, error) {
	j := &wire.Job{}
	e := o.Decode(j)
	if j.GetId() == "" {
		j.SetId(o.Name())
	}
	return seen{j, o.Version()}, e
}
