package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	tickPeriod = time.Second
	// A job that was left is not taken again before this, so that two members
	// with different views don't take it from each other without pause.
	retakePause = 5 * time.Second
)

// ending says that the task of a job has ended.
type ending struct {
	id, reason string
}

// table is the state of the task that takes jobs.
type table struct {
	// Jobs that have not ended, and when each may be taken.
	known map[string]time.Time
	tasks map[string]*task
	// Jobs to look at again with the next tick.
	again map[string]bool
	// The schedulers that the jobs were last checked against.
	scheds   string
	draining bool
}

func (s *Jobs) run(c context.Context) {
	defer close(s.done)
	t := &table{known: map[string]time.Time{}, tasks: map[string]*task{}, again: map[string]bool{}}
	v := s.v.Subscribe(c)
	w := time.NewTicker(tickPeriod)
	defer w.Stop()
	for {
		select {
		case <-c.Done():
			return
		case n := <-s.news:
			s.learn(c, t, n)
		case x, o := <-v:
			if !o {
				v = nil
				continue
			}
			s.compare(c, t, x)
		case e := <-s.ends:
			delete(t.tasks, e.id)
			if _, o := t.known[e.id]; o {
				t.known[e.id] = time.Now().Add(retakePause)
				t.again[e.id] = true
			}
		case u := <-s.drains:
			s.startDrain(t, u)
		case <-w.C:
			s.retry(c, t)
		}
		s.active.Store(int64(len(t.known)))
		s.owned.Set(float64(len(t.tasks)))
		if t.draining && len(t.tasks) == 0 && !closed(s.drained) {
			close(s.drained)
			s.l.Info("jobs: drained")
		}
	}
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *Jobs) startDrain(t *table, until time.Time) {
	if t.draining {
		return
	}
	t.draining = true
	s.drainUntil = until
	close(s.draining)
	s.l.WithField("jobs", len(t.tasks)).Info("jobs: drain started")
}

// learn takes a report of the watch.
func (s *Jobs) learn(c context.Context, t *table, n news) {
	if n.listed {
		k := t.known
		t.known = map[string]time.Time{}
		for _, x := range n.all {
			w := k[x.job.GetId()]
			s.learnJob(c, t, x, w)
		}
		return
	}
	if n.deleted {
		delete(t.known, n.id)
		return
	}
	s.learnJob(c, t, n.job, t.known[n.id])
}

// learnJob takes one job, which may be taken from the given time.
func (s *Jobs) learnJob(c context.Context, t *table, x seen, from time.Time) {
	d := x.job.GetId()
	if w := t.tasks[d]; w != nil {
		// The task may not have received the last report; this one replaces it.
		select {
		case <-w.updates:
		default:
		}
		w.updates <- x
	}
	if final(x.job.GetState()) {
		delete(t.known, d)
		return
	}
	t.known[d] = from
	s.consider(c, t, d)
}

// compare looks at all jobs again when the schedulers have changed.
func (s *Jobs) compare(c context.Context, t *table, v *wire.View) {
	var l []string
	for _, m := range v.GetMembers() {
		if m.GetRole() == "sched" && !m.GetLeaving() {
			l = append(l, m.GetId())
		}
	}
	slices.Sort(l)
	k := strings.Join(l, "\x00")
	if k == t.scheds {
		return
	}
	t.scheds = k
	for d := range t.known {
		s.consider(c, t, d)
	}
}

func (s *Jobs) retry(c context.Context, t *table) {
	l := t.again
	t.again = map[string]bool{}
	for d := range l {
		if _, o := t.known[d]; o {
			s.consider(c, t, d)
		}
	}
}

// consider starts the task of a job for which this member is preferred.
func (s *Jobs) consider(c context.Context, t *table, id string) {
	if t.draining || t.tasks[id] != nil || !s.preferred(id) {
		return
	}
	if time.Now().Before(t.known[id]) {
		t.again[id] = true
		return
	}
	w := newTask(s, id)
	t.tasks[id] = w
	go func() {
		r := w.run(c)
		select {
		case s.ends <- ending{id, r}:
		case <-c.Done():
		}
	}()
}
