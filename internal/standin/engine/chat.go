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

// completionForm is a chat completion, whole or one chunk of a stream.
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

// exchange is one chat completion while it is served.
type exchange struct {
	s *Engine
	w http.ResponseWriter
	r *http.Request
	k signals
	q *sequence
	// Time of the request, Unix seconds.
	created int64
}

func (s *Engine) chat(w http.ResponseWriter, r *http.Request) {
	b, e := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if e != nil {
		refuse(w, http.StatusBadRequest, "invalid_request", "body can't be read")
		return
	}
	p, e := parse(b)
	if e != nil {
		refuse(w, http.StatusBadRequest, "invalid_request", e.Error())
		return
	}
	o, e := resumeOffset(r)
	if e != nil {
		refuse(w, http.StatusBadRequest, "invalid_request", "Resume-Offset is not a count of tokens")
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
	defer s.do(func(t *table, now time.Time) {
		if q.next < p.answer {
			t.cancel(q, now)
		}
	})
	k, _ := r.Context().Value(signalsKey{}).(signals)
	x := &exchange{s: s, w: w, r: r, k: k, q: q, created: time.Now().Unix()}
	if p.stream {
		x.stream(o)
		return
	}
	x.whole()
}

func resumeOffset(r *http.Request) (int, error) {
	v := r.Header.Get("Resume-Offset")
	if v == "" {
		return 0, nil
	}
	n, e := strconv.ParseUint(v, 10, 31)
	return int(n), e
}

// enqueue submits a request, or returns how to refuse it.
func (s *Engine) enqueue(p *prompt, attempt string, offset int) (q *sequence, refusal func(http.ResponseWriter)) {
	s.do(func(t *table, now time.Time) {
		switch {
		case t.faults.drain:
			refusal = leaving
		case !t.orders.serves(p.model):
			refusal = func(w http.ResponseWriter) {
				refuse(w, http.StatusNotFound, "model_not_found", "model "+p.model+" is not loaded")
			}
		default:
			q = t.submit(p, attempt, offset, now)
		}
	})
	if q == nil && refusal == nil {
		refusal = func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", "1")
			refuse(w, http.StatusTooManyRequests, "queue_full", "too many requests wait")
		}
	}
	return q, refusal
}

func leaving(w http.ResponseWriter) {
	w.Header().Set("Draining", "true")
	refuse(w, http.StatusServiceUnavailable, "draining", "engine takes no new work")
}

// whole answers after the last token.
func (s *exchange) whole() {
	var b strings.Builder
	n := 0
	for {
		i, x := s.k.next(s.r.Context(), s.q.out)
		if x == stateEnd {
			break
		}
		if x != stateFine {
			s.abort(x)
			return
		}
		b.WriteString(s.q.p.piece(i))
		n++
	}
	f := s.form("chat.completion", choiceForm{
		Message: &textForm{Role: "assistant", Content: b.String()}, FinishReason: s.reason(),
	})
	f.Usage = s.usage(n)
	answer(s.w, http.StatusOK, f)
}

// stream sends each token as an event, from token offset on. The head goes out
// with the first token.
func (s *exchange) stream(offset int) {
	n, e := sse.Upgrade(s.w, s.r)
	if e != nil {
		refuse(s.w, http.StatusInternalServerError, "internal", e.Error())
		return
	}
	c := 0
	for {
		i, x := s.k.next(s.r.Context(), s.q.out)
		if x == stateEnd {
			break
		}
		if x != stateFine {
			s.abort(x)
			return
		}
		d := textForm{Content: s.q.p.piece(i)}
		if c == 0 && offset == 0 {
			d.Role = "assistant"
		}
		c++
		e = s.send(n, s.form("chat.completion.chunk", choiceForm{Delta: &d}))
		if e != nil {
			return
		}
	}
	_ = s.send(n, s.form("chat.completion.chunk", choiceForm{Delta: &textForm{}, FinishReason: s.reason()}))
	if s.q.p.usage {
		f := s.form("chat.completion.chunk")
		f.Usage = s.usage(c)
		_ = s.send(n, f)
	}
	m := &sse.Message{}
	m.AppendData("[DONE]")
	_ = n.Send(m)
	_ = n.Flush()
}

func (s *exchange) send(n *sse.Session, f completionForm) error {
	b, e := json.Marshal(f)
	if e != nil {
		return e
	}
	m := &sse.Message{}
	m.AppendData(string(b))
	e = n.Send(m)
	if e != nil {
		return e
	}
	return n.Flush()
}

// abort ends an answer that can't be completed.
func (s *exchange) abort(x state) {
	switch x {
	case stateDown:
		reset(s.w)
	case stateMute:
		silent(s.r)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *exchange) form(object string, l ...choiceForm) completionForm {
	if l == nil {
		l = []choiceForm{}
	}
	return completionForm{ID: "chatcmpl-" + s.q.attempt, Object: object, Created: s.created, Model: s.q.p.model, Choices: l}
}

func (s *exchange) reason() *string {
	r := "stop"
	if s.q.p.cut {
		r = "length"
	}
	return &r
}

func (s *exchange) usage(n int) *usageForm {
	p := s.q.p.tokens()
	return &usageForm{PromptTokens: p, CompletionTokens: n, TotalTokens: p + n, Details: detailsForm{CachedTokens: s.q.cached}}
}
