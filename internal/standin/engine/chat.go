package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	sse "github.com/tmaxmax/go-sse"
)

const maxBodyBytes = 16 << 20

// completionForm is a chat completion or one chunk of its stream.
type completionForm struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceForm `json:"choices"`
	Usage   *usageForm   `json:"usage,omitempty"`
}

type choiceForm struct {
	Index        int       `json:"index"`
	Message      *textForm `json:"message,omitempty"`
	Delta        *textForm `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type textForm struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usageForm struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          detailsForm `json:"prompt_tokens_details"`
}

type detailsForm struct {
	CachedTokens int `json:"cached_tokens"`
}

// exchange serves one chat completion request.
type exchange struct {
	engine   *Engine
	response http.ResponseWriter
	request  *http.Request
	signals  faultSignals
	seq      *sequence
	// Start time of the response, Unix seconds.
	created int64
}

func (s *Engine) chat(w http.ResponseWriter, r *http.Request) {
	b, e := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if e != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "body can't be read")
		return
	}
	p, e := parseRequest(b)
	if e != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", e.Error())
		return
	}
	o, e := resumeOffset(r)
	if e != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "Resume-Offset is not a count of tokens")
		return
	}
	i := r.Header.Get("X-Request-Id")
	if i == "" {
		i = uuid.NewString()
	}
	w.Header().Set("X-Request-Id", i)
	q, f := s.enqueue(p, i, o)
	if f != nil {
		f(w)
		return
	}
	defer s.runTask(func(t *scheduler, now time.Time) {
		if q.next < p.answerTokens {
			t.cancel(q, now)
		}
	})
	k, _ := r.Context().Value(faultSignalsKey{}).(faultSignals)
	x := &exchange{engine: s, response: w, request: r, signals: k, seq: q, created: time.Now().Unix()}
	if p.stream {
		x.writeStream(o)
		return
	}
	x.writeResponse()
}

func resumeOffset(r *http.Request) (int, error) {
	v := r.Header.Get("Resume-Offset")
	if v == "" {
		return 0, nil
	}
	n, e := strconv.ParseUint(v, 10, 31)
	return int(n), e
}

// enqueue submits a request. If the engine rejects it, refusal writes the
// error response.
func (s *Engine) enqueue(request *completionRequest, attempt string, offset int) (seq *sequence, refusal func(http.ResponseWriter)) {
	s.runTask(func(t *scheduler, now time.Time) {
		switch {
		case t.faults.drain:
			refusal = writeDraining
		case !t.orders.serves(request.model):
			refusal = func(w http.ResponseWriter) {
				writeError(w, http.StatusNotFound, "model_not_found", "model "+request.model+" is not loaded")
			}
		default:
			seq = t.submit(request, attempt, offset, now)
		}
	})
	if seq == nil && refusal == nil {
		refusal = func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "queue_full", "too many requests wait")
		}
	}
	return seq, refusal
}

func writeDraining(w http.ResponseWriter) {
	w.Header().Set("Draining", "true")
	writeError(w, http.StatusServiceUnavailable, "draining", "engine takes no new work")
}

// writeResponse sends the response in one piece after the last token.
func (s *exchange) writeResponse() {
	var b strings.Builder
	n := 0
	for {
		i, x := s.signals.next(s.request.Context(), s.seq.tokens)
		if x == stateComplete {
			break
		}
		if x != stateRunning {
			s.abort(x)
			return
		}
		b.WriteString(s.seq.request.tokenText(i))
		n++
	}
	f := s.completion("chat.completion", choiceForm{
		Message: &textForm{Role: "assistant", Content: b.String()}, FinishReason: s.finishReason(),
	})
	f.Usage = s.usage(n)
	writeJSON(s.response, http.StatusOK, f)
}

// writeStream sends each token as an event, starting with token offset. The
// response headers are sent with the first token.
func (s *exchange) writeStream(offset int) {
	n, e := sse.Upgrade(s.response, s.request)
	if e != nil {
		writeError(s.response, http.StatusInternalServerError, "internal", e.Error())
		return
	}
	c := 0
	for {
		i, x := s.signals.next(s.request.Context(), s.seq.tokens)
		if x == stateComplete {
			break
		}
		if x != stateRunning {
			s.abort(x)
			return
		}
		d := textForm{Content: s.seq.request.tokenText(i)}
		if c == 0 && offset == 0 {
			d.Role = "assistant"
		}
		c++
		e = s.send(n, s.completion("chat.completion.chunk", choiceForm{Delta: &d}))
		if e != nil {
			return
		}
	}
	_ = s.send(n, s.completion("chat.completion.chunk", choiceForm{Delta: &textForm{}, FinishReason: s.finishReason()}))
	if s.seq.request.includeUsage {
		f := s.completion("chat.completion.chunk")
		f.Usage = s.usage(c)
		_ = s.send(n, f)
	}
	m := &sse.Message{}
	m.AppendData("[DONE]")
	_ = n.Send(m)
	_ = n.Flush()
}

func (s *exchange) send(session *sse.Session, chunk completionForm) error {
	b, e := json.Marshal(chunk)
	if e != nil {
		return e
	}
	m := &sse.Message{}
	m.AppendData(string(b))
	e = session.Send(m)
	if e != nil {
		return e
	}
	return session.Flush()
}

// abort ends a response after a fault or a closed client connection.
func (s *exchange) abort(interruption state) {
	switch interruption {
	case stateCrashed:
		resetConnection(s.response)
	case stateSilenced:
		hang(s.request)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *exchange) completion(object string, choices ...choiceForm) completionForm {
	if choices == nil {
		choices = []choiceForm{}
	}
	return completionForm{ID: "chatcmpl-" + s.seq.attempt, Object: object, Created: s.created, Model: s.seq.request.model, Choices: choices}
}

func (s *exchange) finishReason() *string {
	r := "stop"
	if s.seq.request.limited {
		r = "length"
	}
	return &r
}

func (s *exchange) usage(completionTokens int) *usageForm {
	p := s.seq.request.promptTokens()
	return &usageForm{PromptTokens: p, CompletionTokens: completionTokens, TotalTokens: p + completionTokens, Details: detailsForm{CachedTokens: s.seq.cachedTokens}}
}
