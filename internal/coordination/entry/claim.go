package entry

import (
	"context"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// settleTimeout is the longest that the outcome of an ended attempt takes to be
// known: storing its answer and settling its claim.
const settleTimeout = answerTimeout + platformTimeout

// claim commits the key for this attempt. It returns the stored answer when an
// earlier attempt ran, and waits for one whose outcome is not known.
func (x *exchange) claim(ctx context.Context) (*wire.StoredAnswer, error) {
	h := false
	for {
		r, e := x.entry.claims.Claim(ctx, x.claimRequest())
		switch {
		case h && (e != nil || r.GetResult() == wire.ClaimReply_RESULT_REFUSED):
			// The earlier attempt may still run, whatever fails now.
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
			// Its entry is gone: no outcome comes any more.
			return nil, mayHaveRunError()
		default:
			h = true
		}
		if !waitPollInterval(ctx) {
			return nil, mayHaveRunError()
		}
	}
}

// outcomeTimeout is the age at which a claim without an outcome is given up: an
// attempt ends by the deadline of its service and is settled soon after.
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

// claimError is the failure of a claim that was not granted. The request is not
// dispatched, so a claim whose answer was lost is given back.
func (x *exchange) claimError(ctx context.Context, err error) error {
	if trail.VerdictOf(err) != trail.NotRun {
		x.settle(ctx, wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build())
	}
	return trail.WrapError(err, "claim-refused", trail.NotRun, "the idempotency key can't be claimed now").WithRetryAfter(retryAfter)
}

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

// readAnswerOf returns the answer of the attempt that ran.
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
// is told that the request may have run.
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
