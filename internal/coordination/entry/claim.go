package entry

import (
	"context"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// settleTimeout bounds the time from the end of an attempt until its outcome is
// known: its answer has to be stored and its claim to be settled.
const settleTimeout = answerTimeout + platformTimeout

// claim claims the idempotency key for this attempt. When an earlier attempt
// ran, it returns its stored answer; while the outcome of an earlier attempt is
// not known, it waits for it.
func (x *exchange) claim(ctx context.Context) (*wire.StoredAnswer, error) {
	// Whether an earlier attempt is known to hold the key.
	h := false
	for {
		r, e := x.entry.claims.Claim(ctx, x.claimRequest())
		switch {
		case h && (e != nil || r.GetResult() == wire.ClaimReply_RESULT_REFUSED):
			// The earlier attempt may be running: a failure of this call must not
			// be reported as not run.
		case e != nil:
			return nil, x.claimError(ctx, e)
		case r.GetResult() == wire.ClaimReply_RESULT_GRANTED:
			x.claimed = true
			return nil, nil
		case r.GetResult() == wire.ClaimReply_RESULT_MISMATCH:
			return nil, trail.NewError("key-mismatch", trail.NotRun, "the idempotency key was used with another request")
		case r.GetResult() != wire.ClaimReply_RESULT_HELD:
			return nil, claimRefusal(r)
		case r.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_RAN:
			return x.readAnswerOf(ctx, r.GetOutcome())
		case r.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_MAY_HAVE_RUN:
			return nil, mayHaveRunError()
		case r.GetAgeMs() > x.outcomeTimeout().Milliseconds():
			// The entry that ran the attempt was lost and will not settle it.
			return nil, mayHaveRunError()
		default:
			h = true
		}
		if !waitPollInterval(ctx) {
			return nil, mayHaveRunError()
		}
	}
}

// outcomeTimeout is the age from which on no outcome is expected for a claim
// that has none: an attempt ends by the deadline of its service and is settled
// within settleTimeout.
func (x *exchange) outcomeTimeout() time.Duration {
	d := time.Duration(x.service.GetLimits().GetDeadlineMs()) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	return d + settleTimeout
}

func mayHaveRunError() error {
	return trail.NewError("may-have-run", trail.MayHaveRun,
		"an earlier request with this idempotency key may have run, and its outcome is not known")
}

// claimError returns the refusal for a claim that failed. As the request is not
// dispatched, a claim whose reply was lost is released.
func (x *exchange) claimError(ctx context.Context, err error) error {
	if trail.VerdictOf(err) != trail.NotRun {
		x.settle(ctx, wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build())
	}
	return trail.WrapError(err, "claim-refused", trail.NotRun, "the idempotency key can't be claimed now").WithRetryAfter(retryAfter)
}

// claimRefusal returns the refusal for a claim that the scheduler refused.
func claimRefusal(reply *wire.ClaimReply) error {
	w := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	if w == 0 {
		w = retryAfter
	}
	k := reply.GetCode()
	if k == "" {
		k = "claim-refused"
	}
	t := reply.GetMessage()
	if t == "" {
		t = "the idempotency key can't be claimed now"
	}
	return trail.NewError(k, trail.NotRun, "%s", t).WithRetryAfter(w)
}

// readAnswerOf reads the answer of the attempt with the given outcome.
func (x *exchange) readAnswerOf(ctx context.Context, outcome *wire.Outcome) (*wire.StoredAnswer, error) {
	if outcome.GetAnswerId() == "" {
		return nil, trail.NewError("answer-not-stored", trail.Ran,
			"an earlier request with this idempotency key ran with status %d, and its answer was not stored", outcome.GetStatus())
	}
	a := x.answerRequest(wire.Answer_ACTION_READ)
	a.SetRequestId(outcome.GetAnswerId())
	d, f := context.WithTimeout(ctx, answerTimeout)
	defer f()
	r, e := x.entry.answers.Read(d, a)
	if e != nil {
		return nil, trail.WrapError(e, "answer-unavailable", trail.Ran,
			"an earlier request with this idempotency key ran, and its answer can't be read now").WithRetryAfter(retryAfter)
	}
	if r.GetResult() != wire.AnswerReply_RESULT_STORED {
		return nil, trail.NewError("answer-not-stored", trail.Ran,
			"an earlier request with this idempotency key ran with status %d, and its answer is gone", outcome.GetStatus())
	}
	return r.GetStored(), nil
}

func (x *exchange) claimRequest() *wire.Claim {
	r := &wire.Claim{}
	r.SetCaller(x.call.GetCaller())
	r.SetKey(x.key)
	r.SetAttemptId(x.call.GetAttemptId())
	r.SetDigest(x.digest)
	return r
}

// settle records the outcome of the claimed attempt. When that fails, a resend
// is refused with the verdict that the request may have run.
func (x *exchange) settle(ctx context.Context, outcome *wire.Outcome) {
	r := &wire.Settle{}
	r.SetCaller(x.call.GetCaller())
	r.SetKey(x.key)
	r.SetAttemptId(x.call.GetAttemptId())
	r.SetOutcome(outcome)
	d, f := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer f()
	n, e := x.entry.claims.Settle(d, r)
	if e != nil || !n.GetDone() {
		x.warn(e, "entry: claim not settled", n.GetMessage())
	}
}
