package sched

import (
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// event is a message to the task.
type event interface {
	// apply updates the task's state and returns the decisions to carry out.
	apply(task *task, now time.Time) []decide.Decision
}

// arrival adds a new call.
type arrival struct{ exchange *exchange }

func (e arrival) apply(t *task, now time.Time) []decide.Decision {
	t.lastKey++
	e.exchange.key = t.lastKey
	t.exchanges[e.exchange.key] = e.exchange
	close(e.exchange.accepted)
	d := t.mergeCrashes(now, e.exchange.request.GetCrashes())
	return append(d, t.placer.CallArrived(now, e.exchange.key, e.exchange.request)...)
}

// departure reports that the exchange of a call has ended. A call that the
// Placer still holds is abandoned.
type departure struct{ key uint64 }

func (e departure) apply(t *task, now time.Time) []decide.Decision {
	delete(t.exchanges, e.key)
	return t.placer.CallAbandoned(now, e.key)
}

// attemptStarted reports that the backend server has accepted the attempt.
type attemptStarted struct {
	attemptID string
	// The response has the drain mark.
	draining bool
	// Rate of calls a second that the backend server takes, 0 for no limit.
	callsPerSecond float64
	// Start of the process that answers in Unix milliseconds, 0 if it publishes none,
	// and whether it could not be asked.
	processStart   int64
	processUnknown bool
}

func (e attemptStarted) apply(t *task, now time.Time) []decide.Decision {
	// First, because it discards what the process before has told of itself.
	d := t.placer.AttemptIdentified(now, e.attemptID, e.processStart, e.processUnknown)
	if e.draining {
		t.placer.DrainMarked(now, e.attemptID)
	}
	t.placer.LimitNamed(now, e.attemptID, e.callsPerSecond)
	return append(d, t.placer.AttemptStarted(now, e.attemptID)...)
}

// dataPermissionRequest asks whether the attempt may send data. It is denied if
// the attempt is no longer in flight.
type dataPermissionRequest struct {
	attemptID string
	permitted chan bool
}

func (e dataPermissionRequest) apply(t *task, now time.Time) []decide.Decision {
	e.permitted <- t.inFlight(e.attemptID)
	return t.placer.AnswerStarted(now, e.attemptID)
}

// endPermissionRequest asks whether the attempt may send the end of its answer.
type endPermissionRequest struct {
	attemptID string
	tokens    int64
	permitted chan bool
}

func (e endPermissionRequest) apply(t *task, now time.Time) []decide.Decision {
	e.permitted <- t.inFlight(e.attemptID)
	t.cancelAttempt(e.attemptID)
	return t.placer.AttemptCompleted(now, e.attemptID, e.tokens)
}

// outcome classifies how an attempt ended without a complete answer.
type outcome int

const (
	// No connection was made.
	outcomeRefused outcome = iota
	// The backend server sent its drain mark.
	outcomeDraining
	outcomeFailed
	// The backend server was lost.
	outcomeCrashed
)

// attemptFailure reports that an attempt ended without a complete answer.
type attemptFailure struct {
	attemptID string
	outcome   outcome
	verdict   trail.Verdict
	code      string
}

func (e attemptFailure) apply(t *task, now time.Time) []decide.Decision {
	t.cancelAttempt(e.attemptID)
	switch e.outcome {
	case outcomeRefused:
		return t.placer.ConnectionRefused(now, e.attemptID)
	case outcomeDraining:
		return t.placer.ServerDraining(now, e.attemptID)
	case outcomeCrashed:
		d := t.placer.ServerCrashed(now, e.attemptID)
		t.persistRejections(now)
		// The other schedulers must have the crash before the call is forwarded
		// to them.
		t.report(now)
		return d
	}
	return t.placer.AttemptFailed(now, e.attemptID, e.verdict, e.code)
}

// loadFetched is the result of fetching a backend server's metrics.
type loadFetched struct {
	host string
	// Whether the backend server answered, with whatever status and content.
	answered bool
	// Whether the answer contained the load.
	valid                   bool
	running, waiting, slots int
	// Start of the process in Unix milliseconds, 0 if the answer did not contain it.
	processStart int64
	// To which the request was sent.
	address string
}

func (e loadFetched) apply(t *task, now time.Time) []decide.Decision {
	delete(t.fetching, e.host)
	if !e.answered {
		return nil
	}
	d := t.placer.ProcessSeen(now, e.host, e.address, e.processStart)
	if !e.valid {
		return append(d, t.placer.ServerAlive(now, e.host)...)
	}
	return append(d, t.placer.LoadReported(now, e.host, e.running, e.waiting, e.slots)...)
}

// subscriptionChange adds or removes a subscriber to reports.
type subscriptionChange struct {
	out         chan *wire.Report
	unsubscribe bool
}

func (e subscriptionChange) apply(t *task, now time.Time) []decide.Decision {
	if e.unsubscribe {
		delete(t.subscribers, e.out)
		return nil
	}
	t.subscribers[e.out] = sentReport{}
	t.report(now)
	return nil
}

// drainRequest starts the drain. The task closes idle when the last call has
// ended.
type drainRequest struct{ idle chan struct{} }

func (e drainRequest) apply(t *task, now time.Time) []decide.Decision {
	t.drainWaiters = append(t.drainWaiters, e.idle)
	return t.drain(now)
}
