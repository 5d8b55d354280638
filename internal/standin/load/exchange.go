package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	sse "github.com/tmaxmax/go-sse"

	"bulrushtrail.example/trail/internal/standin/engine"
)

const (
	maxAnswerBytes = 16 << 20
	doneEvent      = "[DONE]"
	notRun         = "not-run"
	// Pause before a resend when the answer names none.
	resendPause = 200 * time.Millisecond
)

// answerForm is the part of an answer that the tool reads: of a whole one, of
// one event, or of a refusal.
type answerForm struct {
	Choices []struct {
		Delta   messageForm `json:"delta"`
		Message messageForm `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code         string `json:"code"`
		Verdict      string `json:"verdict"`
		RetryAfterMS int64  `json:"retry-after-ms"`
	} `json:"error"`
}

// content returns the text of an answer or event.
func (s *answerForm) content() string {
	t := ""
	for _, c := range s.Choices {
		t += c.Delta.Content + c.Message.Content
	}
	return t
}

// attempt is one sending of a request.
type attempt struct {
	code, verdict string
	// Pause that the answer asks for.
	wait time.Duration
	// Times at which content came.
	tokens []time.Time
	text   string
}

// exchange sends a question or a call of a service, with its resends.
func (s *Tool) exchange(c context.Context, r *result, planned time.Time) {
	x := r.line
	b := []byte(x.Body)
	if x.Kind == kindOnline {
		var e error
		b, e = x.chat(0)
		if e != nil {
			r.code, r.verdict = codeBroken, notRun
			return
		}
	}
	var a attempt
	n := s.turn.Add(1)
	for i := range 1 + s.resends {
		r.attempts++
		a = s.once(c, s.entry(n, i), x, b, planned)
		if !a.again(x) || !sleep(c, a.wait) {
			break
		}
	}
	if a.code == "" && s.checkText && x.Kind == kindOnline {
		t, e := engine.Text(b)
		if e != nil || t != a.text {
			a.code, a.verdict = codeWrong, "ran"
		}
	}
	r.code, r.verdict = a.code, a.verdict
	r.total = time.Since(planned)
	for i, t := range a.tokens {
		if i == 0 {
			r.first = t.Sub(planned)
			continue
		}
		r.gaps = append(r.gaps, t.Sub(a.tokens[i-1]))
	}
}

// again reports whether the request may be sent again.
func (s *attempt) again(x *line) bool {
	if s.code == "" || s.code == codeTimeout {
		return false
	}
	if s.verdict == notRun {
		return s.wait > 0
	}
	return s.code == codeLost && (x.Kind == kindOnline || x.IdempotencyKey != "" || !x.NonIdempotent)
}

// once sends a request one time.
func (s *Tool) once(c context.Context, entry string, x *line, body []byte, planned time.Time) attempt {
	q, e := s.request(c, entry, x, body, planned)
	if e != nil {
		return attempt{code: codeBroken, verdict: notRun}
	}
	a, e := s.h.Do(q)
	if e != nil {
		return failure(c, e)
	}
	defer a.Body.Close()
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return events(c, a.Body)
	}
	b, e := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if e != nil {
		return failure(c, e)
	}
	return whole(a, b, x)
}

func (s *Tool) request(c context.Context, entry string, x *line, body []byte, planned time.Time) (*http.Request, error) {
	m, u := http.MethodPost, "/v1/chat/completions"
	if x.Kind == kindService {
		m, u = x.Method, "/services/"+x.Service+x.Path
	}
	q, e := http.NewRequestWithContext(c, m, "http://"+entry+u, bytes.NewReader(body))
	if e != nil {
		return nil, e
	}
	// Keeps net/http from repeating requests by itself, uncounted.
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+s.key(x.Caller))
	q.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", s.id, x.number))
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	if x.IdempotencyKey != "" {
		q.Header.Set("Idempotency-Key", x.IdempotencyKey)
	}
	if x.NonIdempotent {
		q.Header.Set("Bulrushtrail-Non-Idempotent", "true")
	}
	if x.DeadlineMS > 0 {
		d := time.Until(planned.Add(time.Duration(x.DeadlineMS) * time.Millisecond))
		q.Header.Set("Bulrushtrail-Deadline-Ms", strconv.FormatInt(max(1, d.Milliseconds()), 10))
	}
	return q, nil
}

// failure names an error of the connection.
func failure(c context.Context, e error) attempt {
	if errors.Is(c.Err(), context.DeadlineExceeded) || errors.Is(e, context.DeadlineExceeded) {
		return attempt{code: codeTimeout, verdict: noVerdict}
	}
	var o *net.OpError
	if errors.As(e, &o) && o.Op == "dial" {
		return attempt{code: codeUnreachable, verdict: notRun, wait: resendPause}
	}
	return attempt{code: codeLost, verdict: noVerdict, wait: resendPause}
}

// events reads an event stream.
func events(c context.Context, r io.Reader) attempt {
	var a attempt
	var b strings.Builder
	d := false
	for v, e := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxAnswerBytes}) {
		if e != nil {
			return failure(c, e)
		}
		if v.Data == doneEvent {
			d = true
			continue
		}
		f := answerForm{}
		if json.Unmarshal([]byte(v.Data), &f) != nil {
			return attempt{code: codeBroken, verdict: noVerdict}
		}
		if f.Error != nil {
			return f.refusal("", "")
		}
		if t := f.content(); t != "" {
			a.tokens = append(a.tokens, time.Now())
			b.WriteString(t)
		}
	}
	if !d {
		return attempt{code: codeBroken, verdict: noVerdict}
	}
	a.text = b.String()
	return a
}

// whole reads an answer that is not a stream.
func whole(a *http.Response, b []byte, x *line) attempt {
	f := answerForm{}
	e := json.Unmarshal(b, &f)
	v := a.Header.Get("Bulrushtrail-Verdict")
	if a.StatusCode < http.StatusBadRequest {
		if x.Kind == kindOnline && e != nil {
			return attempt{code: codeBroken, verdict: noVerdict}
		}
		return attempt{text: f.content()}
	}
	// A plain service may answer with an error status of its own.
	if x.Kind == kindService && v == "ran" {
		return attempt{}
	}
	return f.refusal(v, "status-"+strconv.Itoa(a.StatusCode))
}

// refusal returns the attempt of an answer with an error. Verdict and code are
// used when the body has none.
func (s *answerForm) refusal(verdict, code string) attempt {
	a := attempt{code: code, verdict: verdict}
	if s.Error != nil {
		a.code, a.wait = s.Error.Code, time.Duration(s.Error.RetryAfterMS)*time.Millisecond
		a.verdict = s.Error.Verdict
	}
	if a.verdict == "" {
		a.verdict = noVerdict
	}
	if a.code == "" {
		a.code = codeBroken
	}
	return a
}
