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

// chatPath is the endpoint of questions, at the entry and at the engines.
const chatPath = "/v1/chat/completions"

// CreateChatCompletion answers a question whole or as a stream of tokens.
func (s *Entry) CreateChatCompletion(ctx context.Context, req *oapi.ChatRequest, params oapi.CreateChatCompletionParams) (oapi.CreateChatCompletionRes, error) {
	v := s.service(modelKind, req.Model, callerOf(ctx))
	if v == nil {
		return nil, trail.NewError("unknown-model", trail.NotRun, "there is no model %q", req.Model)
	}
	x, e := s.newExchange(v, chatCall(ctx, req, params), time.Duration(params.BulrushtrailDeadlineMs.Value)*time.Millisecond)
	if e != nil {
		return nil, e
	}
	x.keeps = true
	if x.call.GetNonIdempotent() {
		x.key = params.IdempotencyKey.Value
	}
	o, e := x.run(ctx)
	if e != nil {
		return nil, e
	}
	if o.stored != nil {
		return chatAnswer(o.stored, true)
	}
	if o.head.GetStatus() == http.StatusOK && isStream(o.head.GetHeaders()) {
		return eventStream(&events{o: o}), nil
	}
	a, e := o.whole()
	if e != nil {
		return nil, e
	}
	// A failure of the engine is no answer that a resend should get, unless
	// the request must not run again.
	x.keeps = a.GetStatus() == http.StatusOK || x.claimed
	return chatAnswer(a, x.finished(o.c, a))
}

func chatCall(c context.Context, q *oapi.ChatRequest, p oapi.CreateChatCompletionParams) *wire.Call {
	r := &wire.Call{}
	r.SetRequestId(p.XRequestID.Value)
	r.SetCaller(callerOf(c))
	r.SetMethod(http.MethodPost)
	r.SetPath(chatPath)
	h := &wire.Header{}
	h.SetName("Content-Type")
	h.SetValues([]string{"application/json"})
	r.SetHeaders([]*wire.Header{h})
	r.SetBody(rawBodyOf(c))
	r.SetStream(q.Stream.Value)
	r.SetNonIdempotent(p.BulrushtrailNonIdempotent.Value)
	r.SetCostTokens(costTokens(q, len(r.GetBody())))
	r.SetPrefixHashes(prefixHashes(q))
	return r
}

// chatAnswer returns a complete answer in the form of the generated server.
func chatAnswer(a *wire.StoredAnswer, stored bool) (oapi.CreateChatCompletionRes, error) {
	if a.GetStatus() != http.StatusOK {
		return nil, backendRefusal(a)
	}
	if isStream(a.GetHeaders()) {
		return eventStream(bytes.NewReader(withMark(a.GetBody(), stored))), nil
	}
	return &oapi.DocumentHeaders{
		BulrushtrailVerdict: oapi.NewOptString(trail.Ran.String()),
		BulrushtrailStored:  oapi.NewOptString(yesNo(stored)),
		Response:            oapi.Document(a.GetBody()),
	}, nil
}

// backendRefusal passes the failure of a backend server on with its status.
func backendRefusal(a *wire.StoredAnswer) *oapi.RefusalStatusCodeWithHeaders {
	var b struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	// The body may have any form; the status says enough then.
	_ = json.Unmarshal(a.GetBody(), &b)
	f := trail.NewError("backend-server-status", trail.Ran, "the backend server answered with status %d", a.GetStatus())
	if b.Error.Message != "" {
		f = trail.NewError("backend-server-status", trail.Ran, "%s", b.Error.Message)
	}
	r := &oapi.RefusalStatusCodeWithHeaders{
		StatusCode:          int(a.GetStatus()),
		BulrushtrailVerdict: oapi.NewOptString(trail.Ran.String()),
		Response:            errorBody(f),
	}
	r.Response.Error.Type = typeOf(r.StatusCode)
	n, e := strconv.Atoi(headerOf(a.GetHeaders(), retryAfterHeader))
	if e == nil && n > 0 {
		r.RetryAfter = oapi.NewOptInt(n)
	}
	return r
}
