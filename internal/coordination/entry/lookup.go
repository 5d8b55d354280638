package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// GetRequest returns the stored answer to an earlier request of the caller.
func (s *Entry) GetRequest(ctx context.Context, params oapi.GetRequestParams) (oapi.GetRequestRes, error) {
	a := &wire.Answer{}
	a.SetAction(wire.Answer_ACTION_READ)
	a.SetCaller(callerFrom(ctx))
	a.SetRequestId(params.RequestID)
	c, f := context.WithTimeout(ctx, answerTimeout)
	defer f()
	r, e := s.answers.Read(c, a)
	if e != nil {
		return nil, trail.WrapError(e, "answers-unavailable", trail.NotRun, "stored answers can't be read now").WithRetryAfter(retryAfter)
	}
	switch r.GetResult() {
	case wire.AnswerReply_RESULT_STORED:
	case wire.AnswerReply_RESULT_RUNNING:
		return nil, trail.NewError("still-running", trail.MayHaveRun, "the request is still running").WithRetryAfter(retryAfter)
	case wire.AnswerReply_RESULT_MISSING:
		return nil, trail.NewError("unknown-request", trail.NotRun, "there is no answer of request %q", params.RequestID)
	default:
		return nil, trail.NewError("answers-unavailable", trail.NotRun, "stored answers can't be read now").WithRetryAfter(retryAfter)
	}
	if isEventStream(r.GetStored().GetHeaders()) {
		return &oapi.GetRequestOKTextEventStream{Data: bytes.NewReader(withStoredComment(r.GetStored().GetBody(), true))}, nil
	}
	return storedDocument(r.GetStored())
}

// storedDocument returns a stored answer that is not a stream. It refuses the
// answer of a plain service that is not JSON, because this operation returns
// only JSON.
func storedDocument(answer *wire.StoredAnswer) (oapi.GetRequestRes, error) {
	if answer.GetStatus() >= http.StatusBadRequest {
		return nil, backendError(answer)
	}
	if !json.Valid(answer.GetBody()) {
		return nil, trail.NewError("answer-not-json", trail.Ran,
			"the request ran with status %d, and its answer is not JSON; a resend with its idempotency key gets it", answer.GetStatus())
	}
	d := oapi.RawJSON(answer.GetBody())
	return &d, nil
}

// ListModels returns the model services that the caller may use.
func (s *Entry) ListModels(ctx context.Context) (*oapi.ModelList, error) {
	l := &oapi.ModelList{Object: "list", Data: []oapi.ModelListDataItem{}}
	for _, v := range s.views.Latest().GetConfig().GetText().GetServices() {
		if v.GetKind() != modelKind || !allows(v, callerFrom(ctx)) {
			continue
		}
		l.Data = append(l.Data, oapi.ModelListDataItem{ID: v.GetName(), Object: "model", OwnedBy: "bulrushtrail"})
	}
	return l, nil
}

// platformError returns the refusal for a failed call to the platform. The
// verdict is NotRun for a read; for a write it says whether the write may have
// taken effect. A cancelled call is returned unchanged.
func platformError(err error, verdict trail.Verdict) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	return trail.WrapError(err, "platform-unavailable", verdict, "the platform does not answer now").WithRetryAfter(retryAfter)
}
