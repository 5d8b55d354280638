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
	apply(task *task, now time.Time) []decide.Decision
}

// arrival is a new call.
type arrival struct{ exchange *exchange }

func (e arrival) apply(t *task, now time.Time) []decide.Decision {
	t.lastKey++
	e.exchange.key = t.lastKey
	t.exchanges[e.exchange.key] = e.exchange
	close(e.exchange.accepted)
	d := t.mergeCrashes(now, e.exchange.request.GetCrashes())
	return append(d, t.placer.CallArrived(now, e.exchange.key, e.exchange.request)...)
}

// departure is a call whose exchange has ended. A call that is still in the
// place module is given up.
type departure struct{ key uint64 }

func (e departure) apply(t *task, now time.Time) []decide.Decision {
	delete(t.exchanges, e.key)
	return t.placer.CallAbandoned(now, e.key)
}

// started is an attempt that the backend server has accepted.
type started struct{ attemptID string }

func (e started) apply(t *task, now time.Time) []decide.Decision {
	return t.placer.AttemptStarted(now, e.attemptID)
}

// dataPermission asks whether the attempt may pass on data. The answer is false
// when it is not in flight any more.
type dataPermission struct {
	attemptID string
	permitted chan bool
}

func (e dataPermission) apply(t *task, now time.Time) []decide.Decision {
	e.permitted <- t.inFlight(e.attemptID)
	return t.placer.AnswerStarted(now, e.attemptID)
}

// endPermission asks whether the attempt may pass on the end of its answer.
type endPermission struct {
	attemptID string
	tokens    int64
	permitted chan bool
}

func (e endPermission) apply(t *task, now time.Time) []decide.Decision {
	e.permitted <- t.inFlight(e.attemptID)
	t.cancelAttempt(e.attemptID)
	return t.placer.AttemptCompleted(now, e.attemptID, e.tokens)
}

// outcome says how an attempt without a complete answer ended.
type outcome int

const (
	// No connection was made.
	outcomeRefused outcome = iota
	// The backend server gave its drain mark.
	outcomeDraining
	outcomeFailed
	// The backend server was lost.
	outcomeCrashed
)

// failure is an attempt that ended without a complete answer.
type failure struct {
	attemptID string
	outcome   outcome
	verdict   trail.Verdict
	code      string
}

func (e failure) apply(t *task, now time.Time) []decide.Decision {
	t.cancelAttempt(e.attemptID)
	switch e.outcome {
	case outcomeRefused:
		return t.placer.ConnectionRefused(now, e.attemptID)
	case outcomeDraining:
		return t.placer.ServerDraining(now, e.attemptID)
	case outcomeCrashed:
		d := t.placer.ServerCrashed(now, e.attemptID)
		t.persistRejections(now)
		// The other schedulers must know before the call comes to them.
		t.report(now)
		return d
	}
	return t.placer.AttemptFailed(now, e.attemptID, e.verdict, e.code)
}

// loadFetched is the end of a fetch of a backend server's metrics.
type loadFetched struct {
	host string
	// False when the fetch failed.
	valid                   bool
	running, waiting, slots int
}

func (e loadFetched) apply(t *task, now time.Time) []decide.Decision {
	delete(t.fetching, e.host)
	if !e.valid {
		return nil
	}
	return t.placer.LoadReported(now, e.host, e.running, e.waiting, e.slots)
}

// subscription adds or removes a subscriber to reports.
type subscription struct {
	out         chan *wire.Report
	unsubscribe bool
}

func (e subscription) apply(t *task, now time.Time) []decide.Decision {
	if e.unsubscribe {
		delete(t.subscribers, e.out)
		return nil
	}
	t.subscribers[e.out] = sentReport{}
	t.report(now)
	return nil
}

// drain refuses new calls; idle is closed when the last call has ended.
type drain struct{ idle chan struct{} }

func (e drain) apply(t *task, now time.Time) []decide.Decision {
	t.drainWaiters = append(t.drainWaiters, e.idle)
	return t.drain(now)
}
