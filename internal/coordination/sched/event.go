package sched

import (
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// event is a message to the task.
type event interface {
	// apply changes the task's state and returns the decisions to carry out.
	apply(t *task, now time.Time) []decide.Decision
}

// arrival is a new call.
type arrival struct{ x *exchange }

func (e arrival) apply(t *task, now time.Time) []decide.Decision {
	t.keys++
	e.x.key = t.keys
	t.exchanges[e.x.key] = e.x
	close(e.x.accepted)
	d := t.learn(now, e.x.r.GetCrashes())
	return append(d, t.p.Arrived(now, e.x.key, e.x.r)...)
}

// departure is a call whose exchange has ended. A call that is still in the
// place module is given up.
type departure struct{ key uint64 }

func (e departure) apply(t *task, now time.Time) []decide.Decision {
	delete(t.exchanges, e.key)
	return t.p.GivenUp(now, e.key)
}

// started is an attempt that the backend server has accepted.
type started struct{ attempt string }

func (e started) apply(t *task, now time.Time) []decide.Decision {
	return t.p.Started(now, e.attempt)
}

// firstToken asks whether the attempt may pass on data. The answer is false
// when it is not in flight any more.
type firstToken struct {
	attempt string
	answer  chan bool
}

func (e firstToken) apply(t *task, now time.Time) []decide.Decision {
	e.answer <- t.inFlight(e.attempt)
	return t.p.FirstToken(now, e.attempt)
}

// completion asks whether the attempt may pass on the end of its answer.
type completion struct {
	attempt string
	tokens  int64
	answer  chan bool
}

func (e completion) apply(t *task, now time.Time) []decide.Decision {
	e.answer <- t.inFlight(e.attempt)
	t.forget(e.attempt)
	return t.p.Completed(now, e.attempt, e.tokens)
}

// outcome says how an attempt without a complete answer ended.
type outcome int

const (
	// No connection was made.
	refused outcome = iota
	// The backend server gave its drain mark.
	draining
	failed
	// The backend server was lost.
	crashed
)

// failure is an attempt that ended without a complete answer.
type failure struct {
	attempt string
	o       outcome
	verdict trail.Verdict
	code    string
}

func (e failure) apply(t *task, now time.Time) []decide.Decision {
	t.forget(e.attempt)
	switch e.o {
	case refused:
		return t.p.Refused(now, e.attempt)
	case draining:
		return t.p.Draining(now, e.attempt)
	case crashed:
		d := t.p.Crashed(now, e.attempt)
		t.keepRejections(now)
		// The other schedulers must know before the call comes to them.
		t.report(now)
		return d
	}
	return t.p.Failed(now, e.attempt, e.verdict, e.code)
}

// loaded is the end of a fetch of a backend server's metrics.
type loaded struct {
	host string
	// False when the fetch failed.
	valid                   bool
	running, waiting, slots int
}

func (e loaded) apply(t *task, now time.Time) []decide.Decision {
	delete(t.fetching, e.host)
	if !e.valid {
		return nil
	}
	return t.p.LoadReported(now, e.host, e.running, e.waiting, e.slots)
}

// subscription adds or removes a subscriber to reports.
type subscription struct {
	out chan *wire.Report
	end bool
}

func (e subscription) apply(t *task, now time.Time) []decide.Decision {
	if e.end {
		delete(t.reports, e.out)
		return nil
	}
	t.reports[e.out] = sent{}
	t.report(now)
	return nil
}

// drain refuses new calls; idle is closed when the last call has ended.
type drain struct{ idle chan struct{} }

func (e drain) apply(t *task, now time.Time) []decide.Decision {
	t.idle = append(t.idle, e.idle)
	return t.drain(now)
}
