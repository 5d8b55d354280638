package jobs

import (
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

// callOutcome describes how one attempt of an item ended.
type callOutcome struct {
	item      *batchItem
	attemptID string
	// Set when the whole answer was received.
	complete bool
	// HTTP status and body of a complete answer.
	status int32
	body   []byte
	// Verdict and error when the answer is incomplete.
	verdict trail.Verdict
	code    string
	message string
	// Delay that the remote side asks for, 0 for none.
	retryAfter time.Duration
	// Set when the context of the call had ended.
	cancelled bool
}

// decision is what the plan decides for an item after a call, as written to the
// log and the metrics.
type decision string

const (
	itemDone    decision = "done"
	itemFailed  decision = "failed"
	itemRetried decision = "retried"
	// Not retried here: the next owner runs it, or the job is ending.
	itemAbandoned decision = "left"
)

// handleOutcome processes the outcome of a call.
func (p *plan) handleOutcome(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	delete(p.inFlight, t.index)
	if outcome.complete && !isRefusal(outcome.status) {
		p.consecutiveRefusals = 0
		p.limit.increase()
		return p.handleAnswer(now, outcome)
	}
	switch {
	case p.mode == modeExpired:
		p.addResult(t, 0, nil, deadlineError())
		return itemFailed
	case p.mode != modeActive:
		return itemAbandoned
	case outcome.code == codePreempted:
		// Online work took the slot. This does not count as a failed attempt.
		return p.requeue(t, now.Add(preemptedDelay))
	case outcome.code == codeRejected || outcome.code == codeLost:
		return p.handleLoss(now, outcome)
	case outcome.verdict == trail.NotRun || outcome.complete:
		return p.handleRefusal(now, outcome)
	}
	return p.handleMissingAnswer(now, outcome)
}

// handleAnswer finishes an item with a complete answer. After a server error
// the item is retried, because batch items may be repeated.
func (p *plan) handleAnswer(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	if outcome.status >= http.StatusInternalServerError && p.mode == modeActive {
		t.attempts++
		if t.attempts < maxItemAttempts {
			return p.requeue(t, now.Add(p.retryDelay(outcome, t.attempts)))
		}
	}
	p.addResult(t, outcome.status, outcome.body, nil)
	if outcome.status >= 300 {
		return itemFailed
	}
	return itemDone
}

// handleRefusal requeues an item whose attempt did not run. It delays the
// dispatch of the whole job, because all its items go to the same service, unless
// the reason may be the size of the item.
func (p *plan) handleRefusal(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	t.tooLarge = outcome.code == codeTooLarge
	if t.tooLarge {
		t.refusals++
		return p.requeue(t, now.Add(p.retryDelay(outcome, t.refusals)))
	}
	p.limit.decrease(now, t.lastStart)
	p.consecutiveRefusals++
	t.refusals++
	p.dispatchNotBefore = laterTime(p.dispatchNotBefore, now.Add(p.retryDelay(outcome, p.consecutiveRefusals)))
	return p.requeue(t, now.Add(p.retryDelay(outcome, t.refusals)))
}

// handleLoss requeues an item under which a backend server was lost, or that is
// stopped for a while because this happened several times. It is not the item's
// fault as far as is known, so that it is owed until the job's deadline, but it
// waits longer after each time.
func (p *plan) handleLoss(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	t.losses++
	return p.requeue(t, now.Add(p.retryDelay(outcome, t.losses)))
}

// handleMissingAnswer requeues or fails an item whose attempt may have run but
// gave no complete answer.
func (p *plan) handleMissingAnswer(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	t.attempts++
	t.refusals = 0
	if t.attempts >= maxItemAttempts {
		return p.failItem(t, outcome)
	}
	return p.requeue(t, now.Add(p.retryDelay(outcome, t.attempts)))
}

func (p *plan) failItem(item *batchItem, outcome *callOutcome) decision {
	p.addResult(item, 0, nil, &itemError{outcome.code, outcome.message})
	return itemFailed
}

func (p *plan) requeue(item *batchItem, notBefore time.Time) decision {
	item.notBefore = notBefore
	p.queued = append(p.queued, item)
	return itemRetried
}

// retryDelay returns the delay after a number of failures. It is at least the
// retry-after of the outcome.
func (p *plan) retryDelay(outcome *callOutcome, failures int) time.Duration {
	return max(outcome.retryAfter, backoff(failures, requestID(p.job.GetId(), outcome.item.index)))
}

// isRefusal reports whether a backend server refused the request.
func isRefusal(status int32) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
