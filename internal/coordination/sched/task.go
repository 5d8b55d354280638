package sched

import (
	"context"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/place"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Period of the decisions that depend on time alone.
	tickPeriod = 100 * time.Millisecond
	// Reports are sent at most 5 times per second.
	reportPeriod    = 200 * time.Millisecond
	loadFetchPeriod = time.Second
)

// task owns the Placer and all other state of the scheduler. Only its goroutine
// accesses the state.
type task struct {
	ctx       context.Context
	scheduler *Scheduler
	member    *wire.Member
	placer    *place.Placer
	metrics   trail.Metrics
	logger    log.Interface
	// Key of the latest call; keys count up from 1.
	lastKey   uint64
	exchanges map[uint64]*exchange
	// Cancel functions of the attempts in flight, by attempt id.
	cancelFuncs map[string]context.CancelFunc
	// Version of the current configuration. Never decreases.
	configVersion int64
	// Backend servers owned by this scheduler, by name.
	hosts map[string]*wire.Host
	// Backend servers with a fetch of their metrics in progress, by name.
	fetching map[string]bool
	// Last report sent to each subscriber.
	subscribers map[chan *wire.Report]sentReport
	// Set once the process drains. The backend servers owned at that time are
	// kept from then on, so that waiting calls still run.
	draining bool
	// Closed when the last call has ended after a drain.
	drainWaiters []chan struct{}
	// Nil if rejections are not persisted.
	rejectionStore trail.Store
	// Rejections whose write has been started: the time of their last crash in
	// Unix milliseconds, by fingerprint.
	persistedRejections map[uint64]int64
}

func (t *task) run(latest *wire.View, views <-chan *wire.View) {
	defer close(t.scheduler.done)
	t.applyView(time.Now(), latest)
	k := time.NewTicker(tickPeriod)
	defer k.Stop()
	r := time.NewTicker(reportPeriod)
	defer r.Stop()
	m := time.NewTicker(loadFetchPeriod)
	defer m.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case e := <-t.scheduler.events:
			t.execute(e.apply(t, time.Now()))
		case v, e := <-views:
			if !e {
				views = nil
				continue
			}
			t.applyView(time.Now(), v)
		case <-k.C:
			t.execute(t.placer.Tick(time.Now()))
		case <-r.C:
			t.report(time.Now())
		case <-m.C:
			t.fetchLoads()
		}
		t.completeDrain()
	}
}

// execute carries out the decisions of the Placer in order.
func (t *task) execute(decisions []decide.Decision) {
	for _, d := range decisions {
		t.logDecision(d)
		t.scheduler.counters.decisions.WithLabelValues(d.Kind(), d.Reason()).Inc()
		x := t.exchanges[d.Key()]
		switch d.Kind() {
		case decide.KindDispatch:
			if x == nil {
				continue
			}
			c, f := context.WithCancel(t.ctx)
			t.cancelFuncs[d.Attempt()] = f
			x.setOrder(order{ctx: c, attemptID: d.Attempt(), address: d.Address()})
		case decide.KindCancel:
			t.cancelAttempt(d.Attempt())
		case decide.KindReject:
			if x != nil {
				x.setOrder(order{end: t.rejectionEnd(d)})
			}
		}
	}
}

// cancelAttempt cancels the context of an attempt. The attempt is no longer in
// flight then.
func (t *task) cancelAttempt(attemptID string) {
	f := t.cancelFuncs[attemptID]
	if f != nil {
		f()
		delete(t.cancelFuncs, attemptID)
	}
}

func (t *task) inFlight(attemptID string) bool { return t.cancelFuncs[attemptID] != nil }

func (t *task) drain(now time.Time) []decide.Decision {
	t.draining = true
	return t.placer.Drain(now)
}

func (t *task) completeDrain() {
	if !t.draining || len(t.exchanges) > 0 {
		return
	}
	for _, i := range t.drainWaiters {
		close(i)
	}
	t.drainWaiters = nil
}

// rejectionEnd returns the last reply to a rejected call.
func (t *task) rejectionEnd(rejection decide.Decision) *wire.End {
	v := rejection.Verdict().Proto()
	r := rejection.Reason()
	m := rejectionMessages[r]
	if m == "" {
		m = "the request was not completed"
	}
	w := rejection.RetryAfter().Milliseconds()
	return wire.End_builder{Verdict: &v, Code: &r, Message: &m, RetryAfterMs: &w, Crashes: t.crashesOf(rejection.Call())}.Build()
}

// rejectionMessages contains the messages to callers for the codes of
// rejections.
var rejectionMessages = map[string]string{
	"scheduler-draining":   "the scheduler is shutting down",
	"unknown-service":      "the service is not configured",
	"no-backend-server":    "no backend server of the service is available",
	"request-too-large":    "backend servers reject the request, maybe for its size",
	"queue-full":           "too many requests wait for the service",
	"deadline-unreachable": "the deadline can't be met",
	"deadline-exceeded":    "the deadline passed before the answer was complete",
	"request-rejected":     "backend servers were lost each time they ran this request",
	"backend-refused":      "the backend server refused the connection",
	"backend-draining":     "the backend server is shutting down",
	"backend-failed":       "the backend server did not complete the request",
	"backend-unreachable":  "the backend server can't be reached",
	"answer-incomplete":    "the answer of the backend server is incomplete",
	"backend-silent":       "the backend server sent nothing in time",
	"backend-lost":         "the backend server was lost while it ran the request",
}

// logDecision logs one decision.
func (t *task) logDecision(decision decide.Decision) {
	r := decision.Call()
	f := log.Fields{
		"call":    r.GetRequestId(),
		"caller":  r.GetCaller(),
		"service": r.GetService(),
		"reason":  decision.Reason(),
	}
	switch decision.Kind() {
	case decide.KindDispatch:
		f["attempt"] = decision.Attempt()
		f["backend-server"] = decision.Host()
		f["alternatives"] = decision.Alternatives()
		t.logger.WithFields(f).Info("sched: runner chosen")
	case decide.KindCancel:
		f["attempt"] = decision.Attempt()
		f["backend-server"] = decision.Host()
		t.logger.WithFields(f).Info("sched: attempt cancelled")
	case decide.KindReject:
		f["verdict"] = decision.Verdict().String()
		f["retry-after-ms"] = decision.RetryAfter().Milliseconds()
		if e := decision.Evidence(); e != "" {
			f["evidence"] = e
		}
		t.logger.WithFields(f).Info("sched: call rejected")
	}
}
