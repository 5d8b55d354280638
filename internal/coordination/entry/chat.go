package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// chatPath is the path of chat requests, both at the entry and at the engines.
const chatPath = "/v1/chat/completions"

// CreateChatCompletion serves a chat request with a complete answer or with a
// stream of tokens.
func (s *Entry) CreateChatCompletion(ctx context.Context, req *oapi.ChatRequest, params oapi.CreateChatCompletionParams) (oapi.CreateChatCompletionRes, error) {
	v := s.findService(modelKind, req.Model, callerFrom(ctx))
	if v == nil {
		return nil, trail.NewError("unknown-model", trail.NotRun, "there is no model %q", req.Model)
	}
	x, e := s.newExchange(v, newChatCall(ctx, req, params), time.Duration(params.BulrushtrailDeadlineMs.Value)*time.Millisecond)
	if e != nil {
		return nil, e
	}
	x.storesAnswer = true
	if x.call.GetNonIdempotent() {
		x.key = params.IdempotencyKey.Value
	}
	o, e := x.run(ctx)
	if e != nil {
		return nil, e
	}
	if o.stored != nil {
		return chatResponse(o.stored, true)
	}
	if o.head.GetStatus() == http.StatusOK && isEventStream(o.head.GetHeaders()) {
		return eventStream(&eventRelay{response: o}), nil
	}
	a, e := o.readAll()
	if e != nil {
		return nil, e
	}
	// A failure of the engine is not stored, so that a resend runs again, unless
	// the request must not run twice.
	x.storesAnswer = a.GetStatus() == http.StatusOK || x.claimed
	return chatResponse(a, x.finish(o.ctx, a))
}

func newChatCall(ctx context.Context, request *oapi.ChatRequest, params oapi.CreateChatCompletionParams) *wire.Call {
	r := &wire.Call{}
	r.SetRequestId(params.XRequestID.Value)
	r.SetCaller(callerFrom(ctx))
	r.SetMethod(http.MethodPost)
	r.SetPath(chatPath)
	h := &wire.Header{}
	h.SetName("Content-Type")
	h.SetValues([]string{"application/json"})
	r.SetHeaders([]*wire.Header{h})
	r.SetBody(rawBodyFrom(ctx))
	r.SetStream(request.Stream.Value)
	r.SetNonIdempotent(params.BulrushtrailNonIdempotent.Value)
	r.SetCostTokens(estimateTokens(request, len(r.GetBody())))
	r.SetPrefixHashes(prefixHashes(request))
	return r
}

// chatResponse returns the response of the generated server for a complete
// answer.
func chatResponse(answer *wire.StoredAnswer, stored bool) (oapi.CreateChatCompletionRes, error) {
	if answer.GetStatus() != http.StatusOK {
		return nil, backendError(answer)
	}
	if isEventStream(answer.GetHeaders()) {
		return eventStream(bytes.NewReader(withStoredComment(answer.GetBody(), stored))), nil
	}
	return &oapi.RawJSONHeaders{
		BulrushtrailVerdict: oapi.NewOptString(trail.Ran.String()),
		BulrushtrailStored:  oapi.NewOptString(boolText(stored)),
		Response:            oapi.RawJSON(answer.GetBody()),
	}, nil
}

// backendError returns the response for an error status of a backend server.
// It has the same status and, where the body has one, the same message.
func backendError(answer *wire.StoredAnswer) *oapi.ErrorResponseStatusCodeWithHeaders {
	var b struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	// The body may have any form. Without a message, the status is reported.
	_ = json.Unmarshal(answer.GetBody(), &b)
	f := trail.NewError("backend-server-status", trail.Ran, "the backend server answered with status %d", answer.GetStatus())
	if b.Error.Message != "" {
		f = trail.NewError("backend-server-status", trail.Ran, "%s", b.Error.Message)
	}
	r := &oapi.ErrorResponseStatusCodeWithHeaders{
		StatusCode:          int(answer.GetStatus()),
		BulrushtrailVerdict: oapi.NewOptString(trail.Ran.String()),
		Response:            errorBody(f),
	}
	r.Response.Error.Type = errorType(r.StatusCode)
	n, e := strconv.Atoi(headerValue(answer.GetHeaders(), retryAfterHeader))
	if e == nil && n > 0 {
		r.RetryAfter = oapi.NewOptInt(n)
	}
	return r
}
