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
	maxResponseBytes = 16 << 20
	doneEvent        = "[DONE]"
	notRun           = "not-run"
	// Delay before a resend when the answer gives none.
	resendPause = 200 * time.Millisecond
)

// responseForm holds the parts that the tool reads of a complete answer, of one
// event of a stream, or of an error response.
type responseForm struct {
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

// content returns the text of a complete answer or of an event.
func (s *responseForm) content() string {
	t := ""
	for _, c := range s.Choices {
		t += c.Delta.Content + c.Message.Content
	}
	return t
}

// attempt is the outcome of sending a request once.
type attempt struct {
	code, verdict string
	// Delay before a resend; 0 when the answer gives none.
	retryAfter time.Duration
	// Times at which content was received.
	tokenTimes []time.Time
	text       string
}

// sendRequest sends a question or a call of a plain service, including resends.
func (s *Tool) sendRequest(ctx context.Context, outcome *result, planned time.Time) {
	x := outcome.line
	b := []byte(x.Body)
	if x.Kind == kindOnline {
		var e error
		b, e = x.chatBody(0)
		if e != nil {
			outcome.code, outcome.verdict = codeInvalidAnswer, notRun
			return
		}
	}
	var a attempt
	n := s.nextEntry.Add(1)
	for i := range 1 + s.maxResends {
		outcome.attempts++
		a = s.sendOnce(ctx, s.entryFor(n, i), x, b, planned)
		if !a.canResend(x) || !sleep(ctx, a.retryAfter) {
			break
		}
	}
	if a.code == "" && s.checkText && x.Kind == kindOnline {
		t, e := engine.Text(b)
		if e != nil || t != a.text {
			a.code, a.verdict = codeWrongText, "ran"
		}
	}
	outcome.code, outcome.verdict = a.code, a.verdict
	outcome.total = time.Since(planned)
	for i, t := range a.tokenTimes {
		if i == 0 {
			outcome.firstToken = t.Sub(planned)
			continue
		}
		outcome.tokenIntervals = append(outcome.tokenIntervals, t.Sub(a.tokenTimes[i-1]))
	}
}

// canResend reports whether the request may safely be sent again.
func (s *attempt) canResend(line *traceLine) bool {
	if s.code == "" || s.code == codeTimeout {
		return false
	}
	if s.verdict == notRun {
		return s.retryAfter > 0
	}
	return s.code == codeConnectionLost && (line.Kind == kindOnline || line.IdempotencyKey != "" || !line.NonIdempotent)
}

func (s *Tool) sendOnce(ctx context.Context, entry string, line *traceLine, body []byte, planned time.Time) attempt {
	q, e := s.newRequest(ctx, entry, line, body, planned)
	if e != nil {
		return attempt{code: codeInvalidAnswer, verdict: notRun}
	}
	a, e := s.client.Do(q)
	if e != nil {
		return classifyConnError(ctx, e)
	}
	defer a.Body.Close()
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return readEventStream(ctx, a.Body)
	}
	b, e := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	if e != nil {
		return classifyConnError(ctx, e)
	}
	return readResponse(a, b, line)
}

func (s *Tool) newRequest(ctx context.Context, entry string, line *traceLine, body []byte, planned time.Time) (*http.Request, error) {
	m, u := http.MethodPost, "/v1/chat/completions"
	if line.Kind == kindService {
		m, u = line.Method, "/services/"+line.Service+line.Path
	}
	q, e := http.NewRequestWithContext(ctx, m, "http://"+entry+u, bytes.NewReader(body))
	if e != nil {
		return nil, e
	}
	// Prevents automatic retries by net/http, which would not be counted.
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+s.apiKey(line.Caller))
	q.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", s.runID, line.number))
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	if line.IdempotencyKey != "" {
		q.Header.Set("Idempotency-Key", line.IdempotencyKey)
	}
	if line.NonIdempotent {
		q.Header.Set("Bulrushtrail-Non-Idempotent", "true")
	}
	if line.DeadlineMS > 0 {
		d := time.Until(planned.Add(time.Duration(line.DeadlineMS) * time.Millisecond))
		q.Header.Set("Bulrushtrail-Deadline-Ms", strconv.FormatInt(max(1, d.Milliseconds()), 10))
	}
	return q, nil
}

// classifyConnError maps a connection error to a failure code.
func classifyConnError(ctx context.Context, err error) attempt {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return attempt{code: codeTimeout, verdict: unknownVerdict}
	}
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return attempt{code: codeUnreachable, verdict: notRun, retryAfter: resendPause}
	}
	return attempt{code: codeConnectionLost, verdict: unknownVerdict, retryAfter: resendPause}
}

func readEventStream(ctx context.Context, reader io.Reader) attempt {
	var a attempt
	var b strings.Builder
	d := false
	for v, e := range sse.Read(reader, &sse.ReadConfig{MaxEventSize: maxResponseBytes}) {
		if e != nil {
			return classifyConnError(ctx, e)
		}
		if v.Data == doneEvent {
			d = true
			continue
		}
		f := responseForm{}
		if json.Unmarshal([]byte(v.Data), &f) != nil {
			return attempt{code: codeInvalidAnswer, verdict: unknownVerdict}
		}
		if f.Error != nil {
			return f.failedAttempt("", "")
		}
		if t := f.content(); t != "" {
			a.tokenTimes = append(a.tokenTimes, time.Now())
			b.WriteString(t)
		}
	}
	if !d {
		return attempt{code: codeInvalidAnswer, verdict: unknownVerdict}
	}
	a.text = b.String()
	return a
}

// readResponse interprets a response that is not a stream.
func readResponse(response *http.Response, body []byte, line *traceLine) attempt {
	f := responseForm{}
	e := json.Unmarshal(body, &f)
	v := response.Header.Get("Bulrushtrail-Verdict")
	if response.StatusCode < http.StatusBadRequest {
		if line.Kind == kindOnline && e != nil {
			return attempt{code: codeInvalidAnswer, verdict: unknownVerdict}
		}
		return attempt{text: f.content()}
	}
	// An error status of the plain service itself is a valid answer.
	if line.Kind == kindService && v == "ran" {
		return attempt{}
	}
	return f.failedAttempt(v, "status-"+strconv.Itoa(response.StatusCode))
}

// failedAttempt converts an error response to an attempt. The given verdict and
// code apply when the body has no error object.
func (s *responseForm) failedAttempt(verdict, code string) attempt {
	a := attempt{code: code, verdict: verdict}
	if s.Error != nil {
		a.code, a.retryAfter = s.Error.Code, time.Duration(s.Error.RetryAfterMS)*time.Millisecond
		a.verdict = s.Error.Verdict
	}
	if a.verdict == "" {
		a.verdict = unknownVerdict
	}
	if a.code == "" {
		a.code = codeInvalidAnswer
	}
	return a
}
