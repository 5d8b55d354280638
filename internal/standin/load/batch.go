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
		Body responseForm `json:"body"`
	} `json:"response"`
}

// runJob uploads and submits a job, polls it until it ends and checks its
// result files.
func (s *Tool) runJob(ctx context.Context, outcome *result) {
	x := outcome.line
	b := time.Now()
	p, e := x.jobInput()
	var f *openai.FileObject
	if e == nil {
		e = s.withResends(ctx, x, func(k openai.Client) (e error) {
			f, e = k.Files.New(ctx, openai.FileNewParams{
				File: openai.File(bytes.NewReader(p), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
			})
			return e
		})
	}
	var j *openai.Batch
	if e == nil {
		e = s.withResends(ctx, x, func(k openai.Client) (e error) {
			j, e = k.Batches.New(ctx, openai.BatchNewParams{
				InputFileID: f.ID, Endpoint: chatEndpoint, CompletionWindow: openai.BatchNewParamsCompletionWindow(x.Window),
			}, option.WithHeader("Idempotency-Key", fmt.Sprintf("%s-%d", s.runID, x.number)))
			return e
		})
	}
	if e == nil {
		j, e = s.awaitJob(ctx, x, j)
	}
	outcome.jobDuration = time.Since(b)
	if j != nil {
		outcome.completed, outcome.failed = int(j.RequestCounts.Completed), int(j.RequestCounts.Failed)
	}
	if e == nil {
		e = s.checkResults(ctx, outcome, j)
	}
	if e != nil {
		a := classifyAPIError(ctx, e)
		outcome.code, outcome.verdict = a.code, a.verdict
		if errors.HasType(e, endError("")) {
			outcome.code = e.Error()
		}
		s.logger.WithError(e).WithFields(log.Fields{"caller": x.Caller, "line": x.number, "code": outcome.code}).Warn("load: batch job failed")
	}
}

// jobInput returns the content of the job's input file.
func (s *traceLine) jobInput() ([]byte, error) {
	var b bytes.Buffer
	n := json.NewEncoder(&b)
	for i := range s.Items {
		p, e := s.chatBody(i)
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

func customID(index int) string { return fmt.Sprintf("item-%d", index) }

// withResends calls the next entry and, after an error, further entries in
// round-robin order up to the limit of resends.
func (s *Tool) withResends(ctx context.Context, line *traceLine, call func(openai.Client) error) error {
	var e error
	n := s.nextEntry.Add(1)
	for i := range 1 + s.maxResends {
		e = call(openai.NewClient(
			option.WithBaseURL("http://"+s.entryFor(n, i)+"/v1/"), option.WithUnsafeAllowHTTP(),
			option.WithAPIKey(s.apiKey(line.Caller)), option.WithMaxRetries(0), option.WithHTTPClient(s.client),
		))
		if e == nil {
			return nil
		}
		if !sleep(ctx, max(classifyAPIError(ctx, e).retryAfter, resendPause)) {
			return e
		}
	}
	return e
}

// awaitJob polls a job until it ends or ctx does.
func (s *Tool) awaitJob(ctx context.Context, line *traceLine, job *openai.Batch) (*openai.Batch, error) {
	for n := s.jobTimeout/s.pollInterval + 1; n > 0; n-- {
		switch job.Status {
		case openai.BatchStatusCompleted, openai.BatchStatusFailed, openai.BatchStatusExpired, openai.BatchStatusCancelled:
			return job, nil
		}
		if !sleep(ctx, s.pollInterval) {
			return job, ctx.Err()
		}
		e := s.withResends(ctx, line, func(k openai.Client) error {
			o, e := k.Batches.Get(ctx, job.ID)
			if e == nil {
				job = o
			}
			return e
		})
		// The job continues to run while an entry is unavailable, so errors of
		// a poll are ignored.
		if e != nil && ctx.Err() != nil {
			return job, ctx.Err()
		}
	}
	return job, context.DeadlineExceeded
}

// endError is the code of a job that ended without completing.
type endError string

func (s endError) Error() string { return "job-" + string(s) }

// checkResults counts missing, duplicated and wrong results of a job that has
// ended. Each item must have exactly one.
func (s *Tool) checkResults(ctx context.Context, outcome *result, job *openai.Batch) error {
	n := map[string]int{}
	for _, i := range []string{job.OutputFileID, job.ErrorFileID} {
		if i == "" {
			continue
		}
		var l []outputForm
		e := s.withResends(ctx, outcome.line, func(k openai.Client) (e error) {
			l, e = fetch(ctx, k, i)
			return e
		})
		if e != nil {
			return e
		}
		for _, o := range l {
			n[o.CustomID]++
			if s.checkText && i == job.OutputFileID && !outcome.line.matchesExpected(o) {
				outcome.wrong++
			}
		}
	}
	for i := range outcome.line.Items {
		k := n[customID(i)]
		if k == 0 {
			outcome.missing++
			continue
		}
		outcome.duplicated += k - 1
	}
	if job.Status != openai.BatchStatusCompleted {
		return endError(job.Status)
	}
	return nil
}

// matchesExpected reports whether an output has the text expected for its item.
func (s *traceLine) matchesExpected(output outputForm) bool {
	var i int
	_, e := fmt.Sscanf(output.CustomID, "item-%d", &i)
	if e != nil {
		return false
	}
	b, e := s.chatBody(i)
	if e != nil {
		return false
	}
	t, e := engine.Text(b)
	return e == nil && t == output.Response.Body.content()
}

// fetch downloads and parses an output or error file.
func fetch(ctx context.Context, client openai.Client, id string) ([]outputForm, error) {
	a, e := client.Files.Content(ctx, id)
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

// classifyAPIError extracts code, verdict and retry delay from an error of the
// API client.
func classifyAPIError(ctx context.Context, err error) attempt {
	var a *openai.Error
	if !errors.As(err, &a) {
		var u *url.Error
		if errors.As(err, &u) || ctx.Err() != nil {
			return classifyConnError(ctx, err)
		}
		return attempt{code: codeInvalidAnswer, verdict: unknownVerdict}
	}
	f := responseForm{}
	_ = json.Unmarshal([]byte(`{"error":`+a.RawJSON()+`}`), &f)
	return f.failedAttempt("", fmt.Sprintf("status-%d", a.StatusCode))
}
