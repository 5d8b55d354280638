package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// copies of an answer that must exist before the caller is told that it is
// stored.
const copies = 2

// begin registers the request id. It returns the stored answer when the
// request was answered before, and joins one that is running. When the depots
// don't answer, the request runs without registration.
func (x *exchange) begin(c context.Context) (*wire.StoredAnswer, error) {
	if !x.keeps {
		return nil, nil
	}
	q := false
	for {
		r, e := x.ask(c)
		switch {
		case c.Err() != nil:
			return nil, x.stillRunning(q)
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_BEGUN:
			x.begun = true
			return nil, nil
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_STORED:
			return r.GetStored(), nil
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_MISMATCH:
			return nil, trail.NewError("request-id-mismatch", trail.NotRun,
				"the request id was used with another request")
		case e == nil && r.GetResult() == wire.AnswerReply_RESULT_RUNNING:
			q = true
		case !q:
			x.warn(e, "entry: request runs unregistered", r.GetMessage())
			return nil, nil
		}
		if !pause(c) {
			return nil, x.stillRunning(q)
		}
	}
}

func (x *exchange) ask(c context.Context) (*wire.AnswerReply, error) {
	d, f := context.WithTimeout(c, answerTimeout)
	defer f()
	return x.s.answers.Begin(d, x.answer(wire.Answer_ACTION_BEGIN))
}

func (x *exchange) stillRunning(running bool) error {
	if !running {
		return trail.NewError("deadline-exceeded", trail.NotRun, "the deadline passed before the request was sent")
	}
	return trail.NewError("still-running", trail.MayHaveRun,
		"an earlier request with this request id is still running").WithRetryAfter(retryAfter)
}

func (x *exchange) answer(action wire.Answer_Action) *wire.Answer {
	a := &wire.Answer{}
	a.SetAction(action)
	a.SetCaller(x.call.GetCaller())
	a.SetRequestId(x.call.GetRequestId())
	a.SetAttemptId(x.call.GetAttemptId())
	a.SetDigest(x.digest)
	return a
}

// keep stores the answer and returns the number of copies. The caller gets
// the answer also when there is none.
func (x *exchange) keep(c context.Context, v *wire.StoredAnswer) int32 {
	w := x.service.GetLimits().GetAnswerRetentionMs()
	if w == 0 {
		w = defaultRetention.Milliseconds()
	}
	v.SetExpiresUnixMs(time.Now().UnixMilli() + w)
	v.SetDigest(x.digest)
	a := x.answer(wire.Answer_ACTION_STORE)
	a.SetStored(v)
	d, f := context.WithTimeout(context.WithoutCancel(c), answerTimeout)
	defer f()
	r, e := x.s.answers.Store(d, a)
	if e != nil || r.GetResult() != wire.AnswerReply_RESULT_STORED {
		x.warn(e, "entry: answer not stored", r.GetMessage())
		return 0
	}
	return r.GetCopies()
}

// abandon ends the registration, if there is one.
func (x *exchange) abandon(c context.Context) {
	if !x.begun {
		return
	}
	x.begun = false
	d, f := context.WithTimeout(context.WithoutCancel(c), answerTimeout)
	defer f()
	e := x.s.answers.Abandon(d, x.answer(wire.Answer_ACTION_ABANDON))
	if e != nil {
		x.warn(e, "entry: registration not ended", "")
	}
}

func (x *exchange) warn(e error, text, message string) {
	f := log.Fields{
		"request-id": x.call.GetRequestId(),
		"caller":     x.call.GetCaller(),
		"service":    x.service.GetName(),
	}
	if message != "" {
		f["message"] = message
	}
	l := x.s.l.WithFields(f)
	if e != nil {
		l = l.WithError(e)
	}
	l.Warn(text)
}
