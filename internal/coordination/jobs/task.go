package jobs

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// seen is a job as the watch reported it.
type seen struct {
	job     *wire.Job
	version int64
}

// task runs one job.
type task struct {
	s  *Jobs
	id string
	p  *plan
	l  log.Interface
	// Holds the newest report of the watch.
	updates  chan seen
	outcomes chan *outcome
	tries    chan tried
	// Context of the running calls.
	calls context.Context
	stop  context.CancelFunc
	// The plan knows that the process shuts down.
	drains bool
}

func newTask(s *Jobs, id string) *task {
	return &task{
		s: s, id: id, l: s.l.WithField("job", id),
		updates: make(chan seen, 1), outcomes: make(chan *outcome, maxLimit), tries: make(chan tried, 1),
	}
}

// run takes the job and runs it until it has ended, belongs to another owner
// or c ends. It returns why.
func (t *task) run(c context.Context) string {
	c, f := context.WithCancel(c)
	defer f()
	j, v, e := t.s.take(c, t.id)
	if e != nil {
		t.l.WithError(e).Info("jobs: job not taken")
		return e.Error()
	}
	t.p = newPlan(t.s.id, j, v, time.Now())
	t.l.WithFields(log.Fields{
		"epoch": j.GetEpoch(), "items": j.GetItems(), "state": stateName(j.GetState()), "service": j.GetService(),
	}).Info("jobs: job taken")
	t.calls, t.stop = context.WithCancel(c)
	defer t.stop()
	n := newInput(t.s.store, t.s.bulk, j)
	go n.run(c)
	w := time.NewTimer(time.Hour)
	defer w.Stop()
	for c.Err() == nil {
		x := time.Now()
		t.act(c, x)
		if t.p.mode == ended || t.p.left() {
			break
		}
		d := time.Hour
		if u := t.p.wake(x); !u.IsZero() {
			d = max(u.Sub(x), 0)
		}
		w.Reset(d)
		t.wait(c, n, w)
	}
	t.report()
	return t.p.reason
}

// wait takes one event.
func (t *task) wait(c context.Context, n *input, w *time.Timer) {
	var q chan line
	if t.p.wantsInput() {
		q = n.lines
	}
	d := t.s.draining
	if t.drains {
		d = nil
	}
	select {
	case <-c.Done():
	case <-w.C:
	case x := <-q:
		if x.end {
			t.p.readAll(x.count)
		} else {
			t.p.read(x.item)
		}
	case e := <-n.faults:
		t.unreadable(e)
	case o := <-t.outcomes:
		t.settle(o)
	case x := <-t.tries:
		t.tried(x)
	case x := <-t.updates:
		t.p.observe(x.job, x.version)
	case <-d:
		t.drains = true
		t.p.drain(t.s.drainUntil)
	}
}

// act carries out what the plan has decided.
func (t *task) act(c context.Context, now time.Time) {
	t.p.spread(int(t.s.active.Load()))
	t.p.tick(now)
	if t.p.stopsCalls(now) {
		t.stop()
	}
	for {
		x := t.p.next(now)
		if x == nil {
			break
		}
		t.dispatch(x)
	}
	x := t.p.commit(now)
	if x != nil {
		go func() { t.tries <- x.run(c, t.s.store, t.s.bulk) }()
	}
}

// dispatch starts one attempt of an item.
func (t *task) dispatch(x *item) {
	j := t.p.job
	m, v := t.s.model(j.GetService())
	r := x.call(j, m, uuid.NewString(), v)
	t.s.attempts.Inc()
	t.l.WithFields(log.Fields{
		"item": x.index, "attempt-id": r.GetAttemptId(), "attempts": x.attempts, "refusals": x.refusals,
		"in-flight": len(t.p.running), "limit": int(t.p.limit.size),
	}).Debug("jobs: item dispatched")
	go func() { t.outcomes <- run(t.calls, t.s.caller, j.GetService(), x, r) }()
}

func (t *task) settle(o *outcome) {
	d := t.p.settle(time.Now(), o)
	t.s.items.WithLabelValues(string(d)).Inc()
	t.l.WithFields(log.Fields{
		"item": o.item.index, "attempt-id": o.attempt, "decision": string(d), "status": o.status,
		"verdict": o.verdict.String(), "code": o.code, "attempts": o.item.attempts, "refusals": o.item.refusals,
	}).Info("jobs: item settled")
}

func (t *task) unreadable(e error) {
	t.l.WithError(e).Warn("jobs: input can't be read")
	if isNotFound(e) {
		t.p.inputGone()
		return
	}
	t.p.readFailed()
}

func (t *task) tried(x tried) {
	a := t.p.attempt
	t.p.tried(time.Now(), x)
	t.s.commits.WithLabelValues(kindNames[x.kind]).Inc()
	f := t.l.WithFields(log.Fields{
		"attempt-id": a.id, "items": len(a.results), "result": kindNames[x.kind], "tries": a.tries,
		"version": t.p.version, "settled": t.p.attempt != a,
	})
	if x.e != nil {
		f = f.WithError(x.e)
	}
	f.Info("jobs: commit tried")
}

// report logs how the job's run ended.
func (t *task) report() {
	if t.p.reason == "" {
		t.p.reason = "process shuts down"
	}
	t.l.WithFields(log.Fields{
		"reason": t.p.reason, "state": stateName(t.p.job.GetState()), "epoch": t.p.epoch,
		"results": len(t.p.job.GetResults()), "errors": len(t.p.job.GetErrors()), "running": len(t.p.running),
	}).Info("jobs: job left")
}
