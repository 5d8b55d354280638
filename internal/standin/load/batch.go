package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	openai "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"bulrushtrail.example/trail/internal/standin/engine"
)

const chatEndpoint = "/v1/chat/completions"

// itemForm is one line of a job's input.
type itemForm struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// outputForm is one line of a job's output or error file.
type outputForm struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Body answerForm `json:"body"`
	} `json:"response"`
}

// submit uploads a job, follows it to its end and checks its files.
func (s *Tool) submit(c context.Context, r *result) {
	x := r.line
	b := time.Now()
	p, e := x.input()
	var f *openai.FileObject
	if e == nil {
		e = s.try(c, x, func(k openai.Client) (e error) {
			f, e = k.Files.New(c, openai.FileNewParams{
				File: openai.File(bytes.NewReader(p), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
			})
			return e
		})
	}
	var j *openai.Batch
	if e == nil {
		e = s.try(c, x, func(k openai.Client) (e error) {
			j, e = k.Batches.New(c, openai.BatchNewParams{
				InputFileID: f.ID, Endpoint: chatEndpoint, CompletionWindow: openai.BatchNewParamsCompletionWindow(x.Window),
			}, option.WithHeader("Idempotency-Key", fmt.Sprintf("%s-%d", s.id, x.number)))
			return e
		})
	}
	if e == nil {
		j, e = s.follow(c, x, j)
	}
	r.job = time.Since(b)
	if j != nil {
		r.completed, r.failed = int(j.RequestCounts.Completed), int(j.RequestCounts.Failed)
	}
	if e == nil {
		e = s.audit(c, r, j)
	}
	if e != nil {
		a := refusalOf(c, e)
		r.code, r.verdict = a.code, a.verdict
		if errors.HasType(e, endError("")) {
			r.code = e.Error()
		}
		s.l.WithError(e).WithFields(log.Fields{"caller": x.Caller, "line": x.number, "code": r.code}).Warn("load: job did not end well")
	}
}

// input returns the job's file.
func (s *line) input() ([]byte, error) {
	var b bytes.Buffer
	n := json.NewEncoder(&b)
	for i := range s.Items {
		p, e := s.chat(i)
		if e != nil {
			return nil, e
		}
		e = n.Encode(itemForm{CustomID: customID(i), Method: "POST", URL: chatEndpoint, Body: p})
		if e != nil {
			return nil, e
		}
	}
	return b.Bytes(), nil
}

func customID(i int) string { return fmt.Sprintf("item-%d", i) }

// try calls the next entry, and others in turn while the resends last.
func (s *Tool) try(c context.Context, x *line, f func(openai.Client) error) error {
	var e error
	n := s.turn.Add(1)
	for i := range 1 + s.resends {
		e = f(openai.NewClient(
			option.WithBaseURL("http://"+s.entry(n, i)+"/v1/"), option.WithUnsafeAllowHTTP(),
			option.WithAPIKey(s.key(x.Caller)), option.WithMaxRetries(0), option.WithHTTPClient(s.h),
		))
		if e == nil {
			return nil
		}
		if !sleep(c, max(refusalOf(c, e).wait, resendPause)) {
			return e
		}
	}
	return e
}

// follow asks for a job until it has ended or c has.
func (s *Tool) follow(c context.Context, x *line, j *openai.Batch) (*openai.Batch, error) {
	for n := s.jobTimeout/s.poll + 1; n > 0; n-- {
		switch j.Status {
		case openai.BatchStatusCompleted, openai.BatchStatusFailed, openai.BatchStatusExpired, openai.BatchStatusCancelled:
			return j, nil
		}
		if !sleep(c, s.poll) {
			return j, c.Err()
		}
		e := s.try(c, x, func(k openai.Client) error {
			o, e := k.Batches.Get(c, j.ID)
			if e == nil {
				j = o
			}
			return e
		})
		// An entry that is down must not end a job that goes on.
		if e != nil && c.Err() != nil {
			return j, c.Err()
		}
	}
	return j, context.DeadlineExceeded
}

// endError is the code of a job that ended without completing.
type endError string

func (s endError) Error() string { return "job-" + string(s) }

// audit counts the results of a job that has ended: each item must have one.
func (s *Tool) audit(c context.Context, r *result, j *openai.Batch) error {
	n := map[string]int{}
	for _, i := range []string{j.OutputFileID, j.ErrorFileID} {
		if i == "" {
			continue
		}
		var l []outputForm
		e := s.try(c, r.line, func(k openai.Client) (e error) {
			l, e = fetch(c, k, i)
			return e
		})
		if e != nil {
			return e
		}
		for _, o := range l {
			n[o.CustomID]++
			if s.checkText && i == j.OutputFileID && !r.line.gives(o) {
				r.wrong++
			}
		}
	}
	for i := range r.line.Items {
		k := n[customID(i)]
		if k == 0 {
			r.missing++
			continue
		}
		r.repeated += k - 1
	}
	if j.Status != openai.BatchStatusCompleted {
		return endError(j.Status)
	}
	return nil
}

// gives reports whether an output has the text that its item must give.
func (s *line) gives(o outputForm) bool {
	var i int
	_, e := fmt.Sscanf(o.CustomID, "item-%d", &i)
	if e != nil {
		return false
	}
	b, e := s.chat(i)
	if e != nil {
		return false
	}
	t, e := engine.Text(b)
	return e == nil && t == o.Response.Body.content()
}

// fetch reads the lines of a file.
func fetch(c context.Context, k openai.Client, id string) ([]outputForm, error) {
	a, e := k.Files.Content(c, id)
	if e != nil {
		return nil, e
	}
	defer a.Body.Close()
	var l []outputForm
	b := bufio.NewScanner(a.Body)
	b.Buffer(nil, maxLineBytes)
	for b.Scan() {
		f := outputForm{}
		e = json.Unmarshal(b.Bytes(), &f)
		if e != nil {
			return nil, errors.Wrapf(e, "line %d of file %s", len(l)+1, id)
		}
		l = append(l, f)
	}
	return l, b.Err()
}

// refusalOf reads code, verdict and wait from an error of the client.
func refusalOf(c context.Context, e error) attempt {
	var a *openai.Error
	if !errors.As(e, &a) {
		var u *url.Error
		if errors.As(e, &u) || c.Err() != nil {
			return failure(c, e)
		}
		return attempt{code: codeBroken, verdict: noVerdict}
	}
	f := answerForm{}
	_ = json.Unmarshal([]byte(`{"error":`+a.RawJSON()+`}`), &f)
	return f.refusal("", fmt.Sprintf("status-%d", a.StatusCode))
}
