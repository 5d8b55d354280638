package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	recheckInterval = time.Second
	// After its task has ended, this member does not acquire a job again for this
	// time, so that two members with different views don't keep taking it from
	// each other.
	reacquireDelay = 5 * time.Second
)

// taskEnd reports that the task of a job has ended.
type taskEnd struct {
	id, reason string
}

// jobTable is the state of the goroutine that starts the tasks of jobs.
type jobTable struct {
	// Jobs that have not ended, with the earliest time to acquire each.
	unfinished map[string]time.Time
	tasks      map[string]*task
	// Jobs to check again at the next tick.
	recheck map[string]bool
	// Ids of the schedulers when the owners of the jobs were last checked.
	schedulers string
	draining   bool
}

func (s *Jobs) run(ctx context.Context) {
	defer close(s.done)
	t := &jobTable{unfinished: map[string]time.Time{}, tasks: map[string]*task{}, recheck: map[string]bool{}}
	v := s.views.Subscribe(ctx)
	w := time.NewTicker(recheckInterval)
	defer w.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.watchEvents:
			s.handleWatchEvent(ctx, t, n)
		case x, o := <-v:
			if !o {
				v = nil
				continue
			}
			s.handleView(ctx, t, x)
		case e := <-s.taskEnds:
			delete(t.tasks, e.id)
			if _, o := t.unfinished[e.id]; o {
				t.unfinished[e.id] = time.Now().Add(reacquireDelay)
				t.recheck[e.id] = true
			}
		case u := <-s.drainRequests:
			s.startDrain(t, u)
		case <-w.C:
			s.recheckJobs(ctx, t)
		}
		s.unfinished.Store(int64(len(t.unfinished)))
		s.owned.Set(float64(len(t.tasks)))
		if t.draining && len(t.tasks) == 0 && !isClosed(s.drained) {
			close(s.drained)
			s.logger.Info("jobs: drain complete")
		}
	}
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (s *Jobs) startDrain(table *jobTable, deadline time.Time) {
	if table.draining {
		return
	}
	table.draining = true
	s.drainDeadline = deadline
	close(s.draining)
	s.logger.WithField("jobs", len(table.tasks)).Info("jobs: drain started")
}

// handleWatchEvent updates the table from a new list or a change of one job.
func (s *Jobs) handleWatchEvent(ctx context.Context, table *jobTable, event watchEvent) {
	if event.listed {
		k := table.unfinished
		table.unfinished = map[string]time.Time{}
		for _, x := range event.list {
			w := k[x.job.GetId()]
			s.handleJob(ctx, table, x, w)
		}
		return
	}
	if event.deleted {
		delete(table.unfinished, event.id)
		return
	}
	s.handleJob(ctx, table, event.job, table.unfinished[event.id])
}

// handleJob processes one job, which may be acquired from notBefore on.
func (s *Jobs) handleJob(ctx context.Context, table *jobTable, reported versionedJob, notBefore time.Time) {
	d := reported.job.GetId()
	if w := table.tasks[d]; w != nil {
		// Replace an earlier report that the task has not received yet.
		select {
		case <-w.updates:
		default:
		}
		w.updates <- reported
	}
	if isFinal(reported.job.GetState()) {
		delete(table.unfinished, d)
		return
	}
	table.unfinished[d] = notBefore
	s.startIfPreferred(ctx, table, d)
}

// handleView checks all jobs again when the set of schedulers has changed.
func (s *Jobs) handleView(ctx context.Context, table *jobTable, view *wire.View) {
	var l []string
	for _, m := range view.GetMembers() {
		if m.GetRole() == "sched" && !m.GetLeaving() {
			l = append(l, m.GetId())
		}
	}
	slices.Sort(l)
	k := strings.Join(l, "\x00")
	if k == table.schedulers {
		return
	}
	table.schedulers = k
	for d := range table.unfinished {
		s.startIfPreferred(ctx, table, d)
	}
}

func (s *Jobs) recheckJobs(ctx context.Context, table *jobTable) {
	l := table.recheck
	table.recheck = map[string]bool{}
	for d := range l {
		if _, o := table.unfinished[d]; o {
			s.startIfPreferred(ctx, table, d)
		}
	}
}

// startIfPreferred starts the task of a job if this member is the preferred
// owner and the job may be acquired already.
func (s *Jobs) startIfPreferred(ctx context.Context, table *jobTable, id string) {
	if table.draining || table.tasks[id] != nil || !s.isPreferred(id) {
		return
	}
	if time.Now().Before(table.unfinished[id]) {
		table.recheck[id] = true
		return
	}
	w := newTask(s, id)
	table.tasks[id] = w
	go func() {
		r := w.run(ctx)
		select {
		case s.taskEnds <- taskEnd{id, r}:
		case <-ctx.Done():
		}
	}()
}
