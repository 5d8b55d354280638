package decide

import (
	"fmt"
	"strings"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Kinds of decisions.
const (
	// KindDispatch starts an attempt at a backend server.
	KindDispatch = "dispatch"
	// KindCancel ends an attempt and returns its call to the queue.
	KindCancel = "cancel"
	// KindReject ends a call without an answer. The verdict is NotRun unless an
	// earlier attempt of the call may have run.
	KindReject = "reject"
)

// Decision is one decision about one call.
type Decision struct {
	kind string
	key  uint64
	call *wire.Call
	// Empty for a rejection.
	attempt string
	host    string
	address string
	// Reason of a dispatch or cancellation, or error code of a rejection.
	reason       string
	alternatives []string
	verdict      trail.Verdict
	retryAfter   time.Duration
	// Why a call is rejected, where the code does not say it all.
	evidence string
}

// Dispatch returns the decision to start an attempt of a call on a host. The
// alternatives are the other hosts that could have run the call.
func Dispatch(key uint64, call *wire.Call, attempt, host, address, reason string, alternatives []string) Decision {
	return Decision{
		kind:         KindDispatch,
		key:          key,
		call:         call,
		attempt:      attempt,
		host:         host,
		address:      address,
		reason:       reason,
		alternatives: alternatives,
	}
}

// Cancel returns the decision to end an attempt and return its call to the
// queue.
func Cancel(key uint64, call *wire.Call, attempt, host, reason string) Decision {
	return Decision{kind: KindCancel, key: key, call: call, attempt: attempt, host: host, reason: reason}
}

// Reject returns the decision to end a call without an answer. A retryAfter of
// 0 means that the caller should not retry the call.
func Reject(key uint64, call *wire.Call, code string, verdict trail.Verdict, retryAfter time.Duration) Decision {
	return Decision{kind: KindReject, key: key, call: call, reason: code, verdict: verdict, retryAfter: retryAfter}
}

// WithEvidence returns a copy of a rejection that states what it rests on.
func (d Decision) WithEvidence(text string) Decision {
	d.evidence = text
	return d
}

// Evidence returns what a rejection rests on, or an empty string.
func (d Decision) Evidence() string { return d.evidence }

// Kind returns KindDispatch, KindCancel or KindReject.
func (d Decision) Kind() string { return d.kind }

// Key returns the number that identifies the call within its scheduler.
func (d Decision) Key() uint64 { return d.key }

// Call returns the request, which must not be changed.
func (d Decision) Call() *wire.Call { return d.call }

// Attempt returns the attempt id of a dispatch or a cancellation.
func (d Decision) Attempt() string { return d.attempt }

// Host returns the name of the backend server.
func (d Decision) Host() string { return d.host }

// Address returns the IP and port of the backend server of a dispatch.
func (d Decision) Address() string { return d.address }

// Reason returns the reason of a dispatch or cancellation, or the error code of
// a rejection, in kebab case.
func (d Decision) Reason() string { return d.reason }

// Alternatives returns the names of the other hosts that could have run a
// dispatched call.
func (d Decision) Alternatives() []string { return d.alternatives }

// Verdict returns whether a rejected call may have run.
func (d Decision) Verdict() trail.Verdict { return d.verdict }

// RetryAfter returns the delay after which a rejected call may be retried, or 0
// if it should not be retried.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// String returns the decision as one line, as golden files contain it.
func (d Decision) String() string {
	switch d.kind {
	case KindDispatch:
		return fmt.Sprintf("dispatch call=%d attempt=%s host=%s reason=%s alternatives=%s",
			d.key, d.attempt, d.host, d.reason, strings.Join(d.alternatives, ","))
	case KindCancel:
		return fmt.Sprintf("cancel call=%d attempt=%s host=%s reason=%s", d.key, d.attempt, d.host, d.reason)
	}
	t := fmt.Sprintf("reject call=%d code=%s verdict=%s retry-after=%s", d.key, d.reason, d.verdict, d.retryAfter)
	if d.evidence != "" {
		t += fmt.Sprintf(" evidence=%q", d.evidence)
	}
	return t
}
