package jobs

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/chunks"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxAnswerBytes limits the size of one item's answer.
const maxAnswerBytes = 8 << 20

// callItem makes one attempt of an item.
func callItem(ctx context.Context, caller trail.Caller, service string, item *batchItem, call *wire.Call) *callOutcome {
	o := &callOutcome{item: item, attemptID: call.GetAttemptId()}
	p, e := caller.Call(ctx, service, call)
	if e == nil {
		e = o.receive(p)
		_ = p.Close()
	}
	if e != nil {
		o.setError(e)
	}
	o.cancelled = ctx.Err() != nil
	return o
}

// setError records the error of a call that gave no complete answer.
func (o *callOutcome) setError(err error) {
	o.verdict, o.code, o.message = trail.VerdictOf(err), trail.CodeOf(err), err.Error()
	var t *trail.Error
	if errors.As(err, &t) {
		o.message, o.retryAfter = t.Message(), t.RetryAfter()
	}
}

// receive reads the replies up to the end of the answer. Replies to another
// attempt are dropped. The answer is complete only if its bytes arrived without
// a gap.
func (o *callOutcome) receive(replies trail.Replies) error {
	for {
		r, e := replies.Recv()
		if e == io.EOF {
			return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has no end")
		}
		if e != nil {
			return e
		}
		if r.GetAttemptId() != o.attemptID {
			continue
		}
		switch {
		case r.HasHead():
			o.status = r.GetHead().GetStatus()
		case r.HasData():
			if r.GetData().GetOffset() != int64(len(o.body)) {
				return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has a gap at byte %d", len(o.body))
			}
			if len(o.body)+len(r.GetData().GetChunk()) > maxAnswerBytes {
				return trail.NewError("answer-too-large", trail.MayHaveRun, "the answer is larger than %d bytes", maxAnswerBytes)
			}
			o.body = append(o.body, r.GetData().GetChunk()...)
		case r.HasEnd():
			o.setEnd(r.GetEnd())
			return o.joinStream()
		}
	}
}

func (o *callOutcome) setEnd(end *wire.End) {
	o.retryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	o.code, o.message = end.GetCode(), end.GetMessage()
	o.complete = o.code == "" && o.status != 0
	o.verdict = trail.VerdictFromProto(end.GetVerdict())
	if !o.complete && o.code == "" {
		o.code, o.message = "answer-incomplete", "the answer has no status"
	}
}

// joinStream converts an event stream into the equivalent non-streaming answer.
// The JSON answer of a backend server that does not stream stays as it is.
func (o *callOutcome) joinStream() error {
	if !o.complete || !bytes.HasPrefix(o.body, []byte("data:")) {
		return nil
	}
	b, e := chunks.Join(o.body)
	if e != nil {
		o.complete = false
		return e
	}
	o.body = b
	return nil
}
