package entry

import (
	"context"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// settleTime is the longest that the outcome of an ended attempt takes to be
// known: storing its answer and settling its claim.
const settleTime = answerTimeout + storeTimeout

// claim commits the key for this attempt. It returns the stored answer when an
// earlier attempt ran, and waits for one whose outcome is not known.
func (x *exchange) claim(c context.Context) (*wire.StoredAnswer, error) {
	h := false
	for {
		r, e := x.s.claims.Claim(c, x.claimRequest())
		switch {
		case h && (e != nil || r.GetResult() == wire.ClaimReply_RESULT_REFUSED):
			// The earlier attempt may still run, whatever fails now.
		case e != nil:
			return nil, x.unclaimed(c, e)
		case r.GetResult() == wire.ClaimReply_RESULT_GRANTED:
			x.claimed = true
			return nil, nil
		case r.GetResult() == wire.ClaimReply_RESULT_MISMATCH:
			return nil, trail.NewError("key-mismatch", trail.NotRun, "the idempotency key was used with another request")
		case r.GetResult() != wire.ClaimReply_RESULT_HELD:
			return nil, refusedClaim(r)
		case r.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_RAN:
			return x.replay(c, r.GetOutcome())
		case r.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_MAY_HAVE_RUN:
			return nil, mayHaveRun()
		case r.GetAgeMs() > x.patience().Milliseconds():
			// Its entry is gone: no outcome comes any more.
			return nil, mayHaveRun()
		default:
			h = true
		}
		if !pause(c) {
			return nil, mayHaveRun()
		}
	}
}

// patience is the age at which a claim without an outcome is given up: an
// attempt ends by the deadline of its service and is settled soon after.
func (x *exchange) patience() time.Duration {
	d := time.Duration(x.service.GetLimits().GetDeadlineMs()) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	return d + settleTime
}

func mayHaveRun() error {
	return trail.NewError("may-have-run", trail.MayHaveRun,
		"an earlier request with this idempotency key may have run, and its outcome is not known")
}

// unclaimed is the failure of a claim that was not granted. The request is not
// dispatched, so a claim whose answer was lost is given back.
func (x *exchange) unclaimed(c context.Context, e error) error {
	if trail.VerdictOf(e) != trail.NotRun {
		x.settle(c, wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build())
	}
	return trail.WrapError(e, "claim-refused", trail.NotRun, "the idempotency key can't be claimed now").WithRetryAfter(retryAfter)
}

func refusedClaim(r *wire.ClaimReply) error {
	w := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	if w == 0 {
		w = retryAfter
	}
	k := r.GetCode()
	if k == "" {
		k = "claim-refused"
	}
	t := r.GetMessage()
	if t == "" {
		t = "the idempotency key can't be claimed now"
	}
	return trail.NewError(k, trail.NotRun, "%s", t).WithRetryAfter(w)
}

// replay returns the answer of the attempt that ran.
func (x *exchange) replay(c context.Context, o *wire.Outcome) (*wire.StoredAnswer, error) {
	if o.GetAnswerId() == "" {
		return nil, trail.NewError("answer-not-stored", trail.Ran,
			"an earlier request with this idempotency key ran with status %d, and its answer was not stored", o.GetStatus())
	}
	a := x.answer(wire.Answer_ACTION_READ)
	a.SetRequestId(o.GetAnswerId())
	d, f := context.WithTimeout(c, answerTimeout)
	defer f()
	r, e := x.s.answers.Read(d, a)
	if e != nil {
		return nil, trail.WrapError(e, "answer-unavailable", trail.Ran,
			"an earlier request with this idempotency key ran, and its answer can't be read now").WithRetryAfter(retryAfter)
	}
	if r.GetResult() != wire.AnswerReply_RESULT_STORED {
		return nil, trail.NewError("answer-not-stored", trail.Ran,
			"an earlier request with this idempotency key ran with status %d, and its answer is gone", o.GetStatus())
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
func (x *exchange) settle(c context.Context, o *wire.Outcome) {
	r := &wire.Settle{}
	r.SetCaller(x.call.GetCaller())
	r.SetKey(x.key)
	r.SetAttemptId(x.call.GetAttemptId())
	r.SetOutcome(o)
	d, f := context.WithTimeout(context.WithoutCancel(c), storeTimeout)
	defer f()
	n, e := x.s.claims.Settle(d, r)
	if e != nil || !n.GetDone() {
		x.warn(e, "entry: claim not settled", n.GetMessage())
	}
}
