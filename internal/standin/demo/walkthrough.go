package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

const (
	pollInterval = 100 * time.Millisecond
	batchTimeout = 60 * time.Second
	batchItems   = 24
	maxRetries   = 3
	// Upper bound of the time until an accepted configuration is in force on all
	// processes.
	configTimeout = 4 * time.Second
)

// Walkthrough is a sequence of checks that one caller makes against a
// deployment. Each step prints its result and returns an error when the
// deployment does not behave as documented.
type Walkthrough struct {
	// Base URLs of two distinct entries.
	entryURL, otherEntryURL string
	apiKey                  string
	// Names of the services.
	modelService, plainService string
	output                     io.Writer
}

// New returns a walkthrough that uses two entries.
func New(entryURL, otherEntryURL, apiKey, modelService, plainService string, output io.Writer) *Walkthrough {
	return &Walkthrough{entryURL: entryURL, otherEntryURL: otherEntryURL, apiKey: apiKey, modelService: modelService, plainService: plainService, output: output}
}

// Run executes all steps in order and stops at the first error.
func (t *Walkthrough) Run(ctx context.Context) error {
	for _, s := range []func(context.Context) error{t.awaitModels, t.checkResentQuestion, t.checkStream, t.checkResentOrder, t.checkBatch} {
		e := s(ctx)
		if e != nil {
			return e
		}
	}
	return nil
}

// client returns an API client that retries after a rejection with Retry-After.
// Retries are needed because a scheduler may receive a new configuration later
// than the entries.
func (t *Walkthrough) client(entryURL string) openai.Client {
	return openai.NewClient(option.WithBaseURL(entryURL+"/v1/"), option.WithAPIKey(t.apiKey), option.WithMaxRetries(maxRetries))
}

// awaitModels waits until both entries list the model.
func (t *Walkthrough) awaitModels(ctx context.Context) error {
	c, f := context.WithTimeout(ctx, configTimeout)
	defer f()
	for _, u := range []string{t.entryURL, t.otherEntryURL} {
		k := t.client(u)
		for {
			l, e := k.Models.List(c)
			if e != nil {
				return errors.Wrap(e, "list models")
			}
			if slices.ContainsFunc(l.Data, func(m openai.Model) bool { return m.ID == t.modelService }) {
				break
			}
			select {
			case <-time.After(pollInterval):
			case <-c.Done():
				return errors.Newf("%s does not list model %s after %v", u, t.modelService, configTimeout)
			}
		}
	}
	_, e := fmt.Fprintf(t.output, "models: both entries list %s\n", t.modelService)
	return e
}

func (t *Walkthrough) question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     t.modelService,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(16),
	}
}

// checkResentQuestion sends a question, resends it with the same request id
// through another entry and expects the same answer.
func (t *Walkthrough) checkResentQuestion(ctx context.Context) error {
	q := t.question("How many mesh racks are left at counter 17?")
	i := option.WithHeader("X-Request-Id", "tour-"+rand.Text())
	k, o := t.client(t.entryURL), t.client(t.otherEntryURL)
	a, e := k.Chat.Completions.New(ctx, q, i)
	if e != nil {
		return wrapAPIError(e, "question")
	}
	b, e := o.Chat.Completions.New(ctx, q, i)
	if e != nil {
		return errors.Wrap(e, "resent question")
	}
	x, y := a.Choices[0].Message.Content, b.Choices[0].Message.Content
	if a.ID != b.ID || x != y {
		return errors.Newf("resent question got a different answer: %q, then %q", x, y)
	}
	_, e = fmt.Fprintf(t.output, "question: %q; sent again through another entry: the same answer\n", x)
	return e
}

// checkStream expects a streamed answer to equal the one that is not streamed.
func (t *Walkthrough) checkStream(ctx context.Context) error {
	q := t.question("How many mesh racks are left at counter 17?")
	k := t.client(t.entryURL)
	w, e := k.Chat.Completions.New(ctx, q)
	if e != nil {
		return wrapAPIError(e, "question")
	}
	s := k.Chat.Completions.NewStreaming(ctx, q)
	var b strings.Builder
	n := 0
	for s.Next() {
		for _, x := range s.Current().Choices {
			b.WriteString(x.Delta.Content)
			n++
		}
	}
	if s.Err() != nil {
		return errors.Wrap(s.Err(), "stream")
	}
	if b.String() != w.Choices[0].Message.Content {
		return errors.Newf("streamed answer %q differs from complete answer %q", b.String(), w.Choices[0].Message.Content)
	}
	_, e = fmt.Fprintf(t.output, "streamed question: %d chunks, equal to the whole answer\n", n)
	return e
}

// checkResentOrder sends an order twice with the same idempotency key and
// expects the same answer, because the order must run only once.
func (t *Walkthrough) checkResentOrder(ctx context.Context) error {
	k := "order-" + rand.Text()
	a, e := t.sendOrder(ctx, t.entryURL, k)
	if e != nil {
		return e
	}
	b, e := t.sendOrder(ctx, t.otherEntryURL, k)
	if e != nil {
		return e
	}
	if a != b {
		return errors.Newf("resent reorder got a different answer: %q, then %q", a, b)
	}
	_, e = fmt.Fprintf(t.output, "reorder: %s; sent again through another entry: the same answer\n", a)
	return e
}

func (t *Walkthrough) sendOrder(ctx context.Context, entryURL, idempotencyKey string) (string, error) {
	r, e := http.NewRequestWithContext(ctx, http.MethodPost, entryURL+"/services/"+t.plainService+"/orders", strings.NewReader(`{"code":"COL-200","crates":1}`))
	if e != nil {
		return "", e
	}
	r.Header.Set("Authorization", "Bearer "+t.apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", idempotencyKey)
	a, e := http.DefaultClient.Do(r)
	if e != nil {
		return "", errors.Wrap(e, "reorder")
	}
	defer a.Body.Close()
	b, e := io.ReadAll(a.Body)
	if e != nil {
		return "", errors.Wrap(e, "reorder")
	}
	if a.StatusCode != http.StatusOK {
		return "", errors.Newf("reorder failed with status %s: %s", a.Status, b)
	}
	return strings.TrimSpace(string(b)), nil
}

// checkBatch submits a job twice, expects a single job, waits for its end and
// checks that its output has one result for each item.
func (t *Walkthrough) checkBatch(ctx context.Context) error {
	k, o := t.client(t.entryURL), t.client(t.otherEntryURL)
	// The random text makes each run submit a new job.
	n := t.batchInput(rand.Text())
	a, e := t.submitBatch(ctx, k, n)
	if e != nil {
		return e
	}
	b, e := t.submitBatch(ctx, o, n)
	if e != nil {
		return e
	}
	if a.ID != b.ID {
		return errors.Newf("resubmitted batch created a second job: %s, then %s", a.ID, b.ID)
	}
	_, e = fmt.Fprintf(t.output, "batch: %s with %d items; submitted again through another entry: the same job\n", a.ID, batchItems)
	if e != nil {
		return e
	}
	b, e = t.awaitBatch(ctx, o, a.ID)
	if e != nil {
		return e
	}
	r, e := o.Files.Content(ctx, b.OutputFileID)
	if e != nil {
		return errors.Wrap(e, "batch output")
	}
	defer r.Body.Close()
	x, e := io.ReadAll(r.Body)
	if e != nil {
		return errors.Wrap(e, "batch output")
	}
	for i := range batchItems {
		s := fmt.Sprintf(`"custom_id":"store-%d"`, i)
		if strings.Count(string(x), s) != 1 {
			return errors.Newf("item store-%d has %d results in the batch output, expected one", i, strings.Count(string(x), s))
		}
	}
	_, e = fmt.Fprintf(t.output, "batch: completed, %d results read back, each once\n", b.RequestCounts.Completed)
	return e
}

func (t *Walkthrough) batchInput(text string) string {
	var b strings.Builder
	for i := range batchItems {
		_, _ = fmt.Fprintf(&b, `{"custom_id":"store-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":12,"messages":[{"role":"user","content":"Restock summary %s for store %d"}]}}`+"\n", i, t.modelService, text, i)
	}
	return b.String()
}

func (t *Walkthrough) submitBatch(ctx context.Context, client openai.Client, items string) (*openai.Batch, error) {
	f, e := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(items), "restock.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if e != nil {
		return nil, errors.Wrap(e, "upload batch input")
	}
	b, e := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      f.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	return b, errors.Wrap(e, "create batch")
}

func (t *Walkthrough) awaitBatch(ctx context.Context, client openai.Client, id string) (*openai.Batch, error) {
	c, f := context.WithTimeout(ctx, batchTimeout)
	defer f()
	for {
		b, e := client.Batches.Get(c, id)
		if e != nil {
			return nil, errors.Wrap(e, "batch status")
		}
		switch b.Status {
		case openai.BatchStatusCompleted:
			return b, nil
		case openai.BatchStatusFailed, openai.BatchStatusCancelled, openai.BatchStatusExpired:
			return nil, errors.Newf("batch ended with status %s", b.Status)
		}
		select {
		case <-time.After(pollInterval):
		case <-c.Done():
			return nil, errors.Newf("batch timed out in status %s with %d of %d items completed", b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
		}
	}
}

// wrapAPIError adds the body of an error response, which has the code and the
// verdict.
func wrapAPIError(err error, step string) error {
	var a *openai.Error
	if errors.As(err, &a) {
		return errors.Wrapf(err, "%s: %s", step, a.RawJSON())
	}
	return errors.Wrap(err, step)
}
