package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// requiredCopies is the number of copies of an answer that must exist before
// the response says that it is stored.
const requiredCopies = 2

// register registers the request id at the depots. When the request was answered
// before, it returns the stored answer. While an earlier attempt is running, it
// waits for its answer. When the depots don't reply and no earlier attempt is
// known to be running, the request runs without registration.
func (x *exchange) register(ctx context.Context) (*wire.StoredAnswer, error) {
	if !x.storesAnswer {
		return nil, nil
	}
	// Whether an earlier attempt is known to be running.
	q := false
	for {
		r, e := x.sendBegin(ctx)
		switch {
		case ctx.Err() != nil:
			return nil, x.timeoutError(q)
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_BEGUN:
			x.registered = true
			return nil, nil
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_STORED:
			return r.GetStored(), nil
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_MISMATCH:
			return nil, trail.NewError("request-id-mismatch", trail.NotRun,
				"the request id was used with another request")
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_RUNNING:
			q = true
		case !q:
			x.warn(e, "entry: request id not registered, request runs anyway", r.GetMessage())
			return nil, nil
		}
		if !waitPollInterval(ctx) {
			return nil, x.timeoutError(q)
		}
	}
}

func (x *exchange) sendBegin(ctx context.Context) (*wire.AnswerReply, error) {
	d, f := context.WithTimeout(ctx, answerTimeout)
	defer f()
	return x.entry.answers.Begin(d, x.answerRequest(wire.Answer_ACTION_BEGIN))
}

// timeoutError returns the refusal for a registration that was not granted by
// the deadline. The verdict depends on whether an earlier attempt is running.
func (x *exchange) timeoutError(running bool) error {
	if !running {
		return trail.NewError("deadline-exceeded", trail.NotRun, "the deadline passed before the request was sent")
	}
	return trail.NewError("still-running", trail.MayHaveRun,
		"an earlier request with this request id is still running").WithRetryAfter(retryAfter)
}

func (x *exchange) answerRequest(action wire.Answer_Action) *wire.Answer {
	a := &wire.Answer{}
	a.SetAction(action)
	a.SetCaller(x.call.GetCaller())
	a.SetRequestId(x.call.GetRequestId())
	a.SetAttemptId(x.call.GetAttemptId())
	a.SetDigest(x.digest)
	return a
}

// storeAnswer stores the answer and returns the number of copies. The caller
// gets the answer even when no copy is stored.
func (x *exchange) storeAnswer(ctx context.Context, answer *wire.StoredAnswer) int32 {
	w := x.service.GetLimits().GetAnswerRetentionMs()
	if w == 0 {
		w = defaultAnswerRetention.Milliseconds()
	}
	answer.SetExpiresUnixMs(time.Now().UnixMilli() + w)
	answer.SetDigest(x.digest)
	a := x.answerRequest(wire.Answer_ACTION_STORE)
	a.SetStored(answer)
	d, f := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
	defer f()
	r, e := x.entry.answers.Store(d, a)
	if e != nil || r.GetResult() != wire.AnswerReply_RESULT_STORED {
		x.warn(e, "entry: answer not stored", r.GetMessage())
		return 0
	}
	return r.GetCopies()
}

// abandon ends the registration of the request id, if there is one.
func (x *exchange) abandon(ctx context.Context) {
	if !x.registered {
		return
	}
	x.registered = false
	d, f := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
	defer f()
	e := x.entry.answers.Abandon(d, x.answerRequest(wire.Answer_ACTION_ABANDON))
	if e != nil {
		x.warn(e, "entry: registration of the request id not ended", "")
	}
}

// warn logs a warning with the fields that identify the request.
func (x *exchange) warn(err error, event, detail string) {
	f := log.Fields{
		"request-id": x.call.GetRequestId(),
		"caller":     x.call.GetCaller(),
		"service":    x.service.GetName(),
	}
	if detail != "" {
		f["message"] = detail
	}
	l := x.entry.logger.WithFields(f)
	if err != nil {
		l = l.WithError(err)
	}
	l.Warn(event)
}
