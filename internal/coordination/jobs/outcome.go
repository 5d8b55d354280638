package jobs

import (
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

// callOutcome is how one attempt of an item ended.
type callOutcome struct {
	item      *batchItem
	attemptID string
	// Whether the answer is complete.
	complete bool
	// HTTP status and body of a complete answer.
	status int32
	body   []byte
	// The rest describes an incomplete one.
	verdict trail.Verdict
	code    string
	message string
	// 0 when the other side named none.
	retryAfter time.Duration
	// The attempt was cancelled from here.
	cancelled bool
}

// verdict of the plan on an outcome, as it stands in the log.
type decision string

const (
	itemDone      decision = "done"
	itemFailed    decision = "failed"
	itemRetried   decision = "retried"
	itemAbandoned decision = "left"
)

// handleOutcome takes the outcome of a call.
func (p *plan) handleOutcome(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	delete(p.inFlight, t.index)
	if outcome.complete && !isRefusal(outcome.status) {
		p.consecutiveRefusals = 0
		p.limit.increase()
		return p.handleAnswer(now, outcome)
	}
	switch {
	case outcome.code == codeRejected:
		return p.failItem(t, outcome)
	case p.mode == modeExpired:
		p.addResult(t, 0, nil, deadlineError())
		return itemFailed
	case p.mode != modeActive:
		return itemAbandoned
	case outcome.code == codePreempted:
		// The item had to leave for online work, not for a fault of its own.
		return p.requeue(t, now.Add(preemptedDelay))
	case outcome.verdict == trail.NotRun || outcome.complete:
		return p.handleRefusal(now, outcome)
	}
	return p.handleMissingAnswer(now, outcome)
}

// handleAnswer finishes an item with a complete answer. A server error is tried
// again, because batch items may be repeated.
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

// handleRefusal handles an attempt that did not run. The whole job waits, because
// all its items go to one service.
func (p *plan) handleRefusal(now time.Time, outcome *callOutcome) decision {
	t := outcome.item
	p.limit.decrease(now, t.lastStart)
	p.consecutiveRefusals++
	t.refusals++
	p.dispatchNotBefore = laterTime(p.dispatchNotBefore, now.Add(p.retryDelay(outcome, p.consecutiveRefusals)))
	return p.requeue(t, now.Add(p.retryDelay(outcome, t.refusals)))
}

// handleMissingAnswer handles an attempt that may have run and gave no answer.
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

// retryDelay returns how long to wait after the n-th failure.
func (p *plan) retryDelay(outcome *callOutcome, failures int) time.Duration {
	return max(outcome.retryAfter, backoff(failures, requestID(p.job.GetId(), outcome.item.index)))
}

// isRefusal says whether a backend server refused the request.
func isRefusal(status int32) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
