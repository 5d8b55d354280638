package jobs

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// versionedJob is a job that the watch reported, with its version.
type versionedJob struct {
	job     *wire.Job
	version int64
}

// task runs one job.
type task struct {
	jobs   *Jobs
	id     string
	plan   *plan
	logger log.Interface
	// Holds the newest report of the watch that was not processed yet.
	updates    chan versionedJob
	outcomes   chan *callOutcome
	tryResults chan tryResult
	// Context of the calls in flight.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	// Set after the drain was passed on to the plan.
	drainStarted bool
}

func newTask(jobs *Jobs, id string) *task {
	return &task{
		jobs: jobs, id: id, logger: jobs.logger.WithField("job", id),
		updates: make(chan versionedJob, 1), outcomes: make(chan *callOutcome, maxLimit), tryResults: make(chan tryResult, 1),
	}
}

// run acquires the job and runs it until the job has ended or belongs to
// another owner, a drain is complete, or ctx ends. It returns the reason.
func (t *task) run(ctx context.Context) string {
	c, f := context.WithCancel(ctx)
	defer f()
	j, v, e := t.jobs.acquire(c, t.id)
	if e != nil {
		t.logger.WithError(e).Info("jobs: job not acquired")
		return e.Error()
	}
	t.plan = newPlan(t.jobs.memberID, j, v, time.Now())
	t.logger.WithFields(log.Fields{
		"epoch": j.GetEpoch(), "items": j.GetItems(), "state": stateName(j.GetState()), "service": j.GetService(),
	}).Info("jobs: job acquired")
	t.callsCtx, t.cancelCalls = context.WithCancel(c)
	defer t.cancelCalls()
	n := newInputReader(t.jobs.store, t.jobs.bulk, j)
	go n.run(c)
	w := time.NewTimer(time.Hour)
	defer w.Stop()
	for c.Err() == nil {
		x := time.Now()
		t.runPlan(c, x)
		if t.plan.mode == modeEnded || t.plan.drainDone() {
			break
		}
		d := time.Hour
		if u := t.plan.nextWake(x); !u.IsZero() {
			d = max(u.Sub(x), 0)
		}
		w.Reset(d)
		t.handleNextEvent(c, n, w)
	}
	t.logEnd()
	return t.plan.endReason
}

// handleNextEvent waits for one event and processes it.
func (t *task) handleNextEvent(ctx context.Context, input *inputReader, timer *time.Timer) {
	var q chan inputLine
	if t.plan.wantsInput() {
		q = input.lines
	}
	d := t.jobs.draining
	if t.drainStarted {
		d = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case x := <-q:
		if x.end {
			t.plan.handleInputEnd(x.itemCount)
		} else {
			t.plan.addItem(x.item)
		}
	case e := <-input.readErrors:
		t.handleReadError(e)
	case o := <-t.outcomes:
		t.handleOutcome(o)
	case x := <-t.tryResults:
		t.handleTry(x)
	case x := <-t.updates:
		t.plan.handleUpdate(x.job, x.version)
	case <-d:
		t.drainStarted = true
		t.plan.startDrain(t.jobs.drainDeadline)
	}
}

// runPlan carries out what the plan decides at this time.
func (t *task) runPlan(ctx context.Context, now time.Time) {
	t.plan.setCommitInterval(int(t.jobs.unfinished.Load()))
	t.plan.checkDeadline(now)
	if t.plan.shouldCancelCalls(now) {
		t.cancelCalls()
	}
	for {
		x := t.plan.nextItem(now)
		if x == nil {
			break
		}
		t.dispatch(x)
	}
	x := t.plan.nextTry(now)
	if x != nil {
		go func() { t.tryResults <- x.run(ctx, t.jobs.store, t.jobs.bulk) }()
	}
}

// dispatch starts one attempt of an item.
func (t *task) dispatch(item *batchItem) {
	j := t.plan.job
	m, v := t.jobs.serviceModel(j.GetService())
	r := item.newCall(j, m, uuid.NewString(), v)
	t.jobs.attempts.Inc()
	t.logger.WithFields(log.Fields{
		"item": item.index, "attempt-id": r.GetAttemptId(), "attempts": item.attempts, "refusals": item.refusals,
		"in-flight": len(t.plan.inFlight), "limit": int(t.plan.limit.size),
	}).Debug("jobs: item dispatched")
	go func() { t.outcomes <- callItem(t.callsCtx, t.jobs.caller, j.GetService(), item, r) }()
}

func (t *task) handleOutcome(outcome *callOutcome) {
	d := t.plan.handleOutcome(time.Now(), outcome)
	t.jobs.items.WithLabelValues(string(d)).Inc()
	t.logger.WithFields(log.Fields{
		"item": outcome.item.index, "attempt-id": outcome.attemptID, "decision": string(d), "status": outcome.status,
		"verdict": outcome.verdict.String(), "code": outcome.code, "attempts": outcome.item.attempts, "refusals": outcome.item.refusals,
	}).Info("jobs: batch call ended")
}

func (t *task) handleReadError(err error) {
	t.logger.WithError(err).Warn("jobs: read of the input failed")
	if isNotFound(err) {
		t.plan.handleInputMissing()
		return
	}
	t.plan.handleReadError()
}

func (t *task) handleTry(result tryResult) {
	a := t.plan.commit
	t.plan.handleTry(time.Now(), result)
	t.jobs.commits.WithLabelValues(tryLabels[result.status]).Inc()
	f := t.logger.WithFields(log.Fields{
		"attempt-id": a.id, "items": len(a.results), "result": tryLabels[result.status], "tries": a.tries,
		"version": t.plan.version, "settled": t.plan.commit != a,
	})
	if result.err != nil {
		f = f.WithError(result.err)
	}
	f.Info("jobs: try to commit results ended")
}

func (t *task) logEnd() {
	if t.plan.endReason == "" {
		t.plan.endReason = "process shuts down"
	}
	t.logger.WithFields(log.Fields{
		"reason": t.plan.endReason, "state": stateName(t.plan.job.GetState()), "epoch": t.plan.epoch,
		"results": len(t.plan.job.GetResults()), "errors": len(t.plan.job.GetErrors()), "running": len(t.plan.inFlight),
	}).Info("jobs: run of a job ended")
}
