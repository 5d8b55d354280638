package jobs

import (
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

// outcome is how one attempt of an item ended.
type outcome struct {
	item    *item
	attempt string
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
	itemDone   decision = "done"
	itemFailed decision = "failed"
	itemAgain  decision = "retried"
	itemLeft   decision = "left"
)

// settle takes the outcome of a call.
func (p *plan) settle(now time.Time, o *outcome) decision {
	t := o.item
	delete(p.running, t.index)
	if o.complete && !refusedStatus(o.status) {
		p.refusals = 0
		p.limit.accepted()
		return p.answered(now, o)
	}
	switch {
	case o.code == codeRejected:
		return p.fail(t, o)
	case p.mode == expired:
		p.finish(t, 0, nil, deadlineFault())
		return itemFailed
	case p.mode != active:
		return itemLeft
	case o.code == codePreempted:
		// The item had to leave for online work, not for a fault of its own.
		return p.again(t, now.Add(preemptedWait))
	case o.verdict == trail.NotRun || o.complete:
		return p.refused(now, o)
	}
	return p.ran(now, o)
}

// answered finishes an item with a complete answer. A server error is tried
// again, because batch items may be repeated.
func (p *plan) answered(now time.Time, o *outcome) decision {
	t := o.item
	if o.status >= http.StatusInternalServerError && p.mode == active {
		t.attempts++
		if t.attempts < maxAttempts {
			return p.again(t, now.Add(p.wait(o, t.attempts)))
		}
	}
	p.finish(t, o.status, o.body, nil)
	if o.status >= 300 {
		return itemFailed
	}
	return itemDone
}

// refused handles an attempt that did not run. The whole job waits, because
// all its items go to one service.
func (p *plan) refused(now time.Time, o *outcome) decision {
	t := o.item
	p.limit.refuse(now, t.sent)
	p.refusals++
	t.refusals++
	p.holdUntil = later(p.holdUntil, now.Add(p.wait(o, p.refusals)))
	return p.again(t, now.Add(p.wait(o, t.refusals)))
}

// ran handles an attempt that may have run and gave no answer.
func (p *plan) ran(now time.Time, o *outcome) decision {
	t := o.item
	t.attempts++
	t.refusals = 0
	if t.attempts >= maxAttempts {
		return p.fail(t, o)
	}
	return p.again(t, now.Add(p.wait(o, t.attempts)))
}

func (p *plan) fail(t *item, o *outcome) decision {
	p.finish(t, 0, nil, &fault{o.code, o.message})
	return itemFailed
}

func (p *plan) again(t *item, notBefore time.Time) decision {
	t.notBefore = notBefore
	p.waiting = append(p.waiting, t)
	return itemAgain
}

// wait returns how long to wait after the n-th failure.
func (p *plan) wait(o *outcome, n int) time.Duration {
	return max(o.retryAfter, backoff(n, requestID(p.job.GetId(), o.item.index)))
}

// refusedStatus says whether a backend server refused the request.
func refusedStatus(status int32) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
