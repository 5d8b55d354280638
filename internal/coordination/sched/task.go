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
	// Period of decisions that are due by time alone.
	tickPeriod = 100 * time.Millisecond
	// Reports are sent at most 5 times a second.
	reportPeriod = 200 * time.Millisecond
	loadPeriod   = time.Second
)

// task owns the place module and all state of the scheduler.
type task struct {
	c       context.Context
	s       *Sched
	member  *wire.Member
	p       *place.Place
	metrics trail.Metrics
	l       log.Interface
	// Number of calls so far; the key of the last one.
	keys      uint64
	exchanges map[uint64]*exchange
	// Ends the attempts in flight, by attempt id.
	cancels map[string]context.CancelFunc
	// Version of the configuration in force. Never decreases.
	version int64
	// Backend servers given to the place module, by name.
	hosts map[string]*wire.Host
	// Backend servers whose metrics are being fetched.
	fetching map[string]bool
	// Subscribers to reports.
	reports map[chan *wire.Report]sent
	// Set once the process drains. Ownership then stays as it is, so that the
	// calls that wait still run.
	draining bool
	// Closed when the last call has ended after a drain.
	idle []chan struct{}
	// Where rejections are kept, nil for nowhere.
	store trail.Store
	// Fingerprints of the rejections that are kept or being kept.
	kept map[uint64]bool
}

func (t *task) run(latest *wire.View, views <-chan *wire.View) {
	defer close(t.s.done)
	t.view(time.Now(), latest)
	k := time.NewTicker(tickPeriod)
	defer k.Stop()
	r := time.NewTicker(reportPeriod)
	defer r.Stop()
	m := time.NewTicker(loadPeriod)
	defer m.Stop()
	for {
		select {
		case <-t.c.Done():
			return
		case e := <-t.s.events:
			t.carryOut(e.apply(t, time.Now()))
		case v, e := <-views:
			if !e {
				views = nil
				continue
			}
			t.view(time.Now(), v)
		case <-k.C:
			t.carryOut(t.p.Tick(time.Now()))
		case <-r.C:
			t.report(time.Now())
		case <-m.C:
			t.fetchLoads()
		}
		t.checkIdle()
	}
}

// carryOut does what the place module decided, in order.
func (t *task) carryOut(l []decide.Decision) {
	for _, d := range l {
		t.log(d)
		t.s.n.decisions.WithLabelValues(d.Kind(), d.Reason()).Inc()
		x := t.exchanges[d.Key()]
		switch d.Kind() {
		case decide.KindDispatch:
			if x == nil {
				continue
			}
			c, f := context.WithCancel(t.c)
			t.cancels[d.Attempt()] = f
			x.order(order{c: c, attempt: d.Attempt(), address: d.Address()})
		case decide.KindCancel:
			t.forget(d.Attempt())
		case decide.KindReject:
			if x != nil {
				x.order(order{end: t.end(d)})
			}
		}
	}
}

// forget ends an attempt's context.
func (t *task) forget(attempt string) {
	f := t.cancels[attempt]
	if f != nil {
		f()
		delete(t.cancels, attempt)
	}
}

func (t *task) inFlight(attempt string) bool { return t.cancels[attempt] != nil }

func (t *task) drain(now time.Time) []decide.Decision {
	t.draining = true
	return t.p.Drain(now)
}

func (t *task) checkIdle() {
	if !t.draining || len(t.exchanges) > 0 {
		return
	}
	for _, i := range t.idle {
		close(i)
	}
	t.idle = nil
}

// end returns the last reply to a call that was rejected.
func (t *task) end(d decide.Decision) *wire.End {
	v := d.Verdict().Proto()
	r := d.Reason()
	m := messages[r]
	if m == "" {
		m = "the request was not completed"
	}
	w := d.RetryAfter().Milliseconds()
	return wire.End_builder{Verdict: &v, Code: &r, Message: &m, RetryAfterMs: &w, Crashes: t.crashesOf(d.Call())}.Build()
}

// messages explains the codes of the place module to callers.
var messages = map[string]string{
	"scheduler-draining":   "the scheduler is shutting down",
	"unknown-service":      "the service is not configured",
	"no-backend-server":    "no backend server of the service is available",
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

// log writes the line of one decision.
func (t *task) log(d decide.Decision) {
	r := d.Call()
	f := log.Fields{
		"call":    r.GetRequestId(),
		"caller":  r.GetCaller(),
		"service": r.GetService(),
		"reason":  d.Reason(),
	}
	switch d.Kind() {
	case decide.KindDispatch:
		f["attempt"] = d.Attempt()
		f["backend-server"] = d.Host()
		f["alternatives"] = d.Alternatives()
		t.l.WithFields(f).Info("sched: runner chosen")
	case decide.KindCancel:
		f["attempt"] = d.Attempt()
		f["backend-server"] = d.Host()
		t.l.WithFields(f).Info("sched: attempt cancelled")
	case decide.KindReject:
		f["verdict"] = d.Verdict().String()
		f["retry-after-ms"] = d.RetryAfter().Milliseconds()
		t.l.WithFields(f).Info("sched: call rejected")
	}
}
