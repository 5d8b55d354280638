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
	pollPeriod   = 100 * time.Millisecond
	batchTimeout = 60 * time.Second
	batchItems   = 24
	maxRetries   = 3
	// An accepted configuration is in force everywhere within this time.
	configBound = 4 * time.Second
)

// Tour is one visit of a deployment by a caller. Its steps print what they
// see and return an error when it is not what was promised.
type Tour struct {
	// Base URLs of two different entries.
	entry, other string
	// Key of the caller.
	key string
	// Model service and plain service.
	model, plain string
	out          io.Writer
}

// New returns a tour through two entries.
func New(entry, other, key, model, plain string, out io.Writer) *Tour {
	return &Tour{entry: entry, other: other, key: key, model: model, plain: plain, out: out}
}

// Run takes all steps in order.
func (t *Tour) Run(c context.Context) error {
	for _, s := range []func(context.Context) error{t.models, t.ask, t.stream, t.reorder, t.batch} {
		e := s(c)
		if e != nil {
			return e
		}
	}
	return nil
}

// client returns the callers' library, which comes back after a refusal with
// Retry-After. A scheduler may learn a new configuration after the entries.
func (t *Tour) client(entry string) openai.Client {
	return openai.NewClient(option.WithBaseURL(entry+"/v1/"), option.WithAPIKey(t.key), option.WithMaxRetries(maxRetries))
}

// models waits until both entries know the model.
func (t *Tour) models(c context.Context) error {
	c, f := context.WithTimeout(c, configBound)
	defer f()
	for _, u := range []string{t.entry, t.other} {
		k := t.client(u)
		for {
			l, e := k.Models.List(c)
			if e != nil {
				return errors.Wrap(e, "list of models")
			}
			if slices.ContainsFunc(l.Data, func(m openai.Model) bool { return m.ID == t.model }) {
				break
			}
			select {
			case <-time.After(pollPeriod):
			case <-c.Done():
				return errors.Newf("%s does not list model %s after %v", u, t.model, configBound)
			}
		}
	}
	_, e := fmt.Fprintf(t.out, "models: both entries list %s\n", t.model)
	return e
}

func (t *Tour) question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     t.model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(16),
	}
}

// ask asks a question and resends it through another entry.
func (t *Tour) ask(c context.Context) error {
	q := t.question("How many mesh racks are left at counter 17?")
	i := option.WithHeader("X-Request-Id", "tour-"+rand.Text())
	k, o := t.client(t.entry), t.client(t.other)
	a, e := k.Chat.Completions.New(c, q, i)
	if e != nil {
		return explain(e, "question")
	}
	b, e := o.Chat.Completions.New(c, q, i)
	if e != nil {
		return errors.Wrap(e, "question sent again")
	}
	x, y := a.Choices[0].Message.Content, b.Choices[0].Message.Content
	if a.ID != b.ID || x != y {
		return errors.Newf("question sent again got another answer: %q, %q", x, y)
	}
	_, e = fmt.Fprintf(t.out, "question: %q; sent again through another entry: the same answer\n", x)
	return e
}

// stream asks for the same answer token by token.
func (t *Tour) stream(c context.Context) error {
	q := t.question("How many mesh racks are left at counter 17?")
	k := t.client(t.entry)
	w, e := k.Chat.Completions.New(c, q)
	if e != nil {
		return explain(e, "question")
	}
	s := k.Chat.Completions.NewStreaming(c, q)
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
		return errors.Newf("stream gave %q, the whole answer is %q", b.String(), w.Choices[0].Message.Content)
	}
	_, e = fmt.Fprintf(t.out, "streamed question: %d chunks, equal to the whole answer\n", n)
	return e
}

// reorder sends an order that must run once, twice.
func (t *Tour) reorder(c context.Context) error {
	k := "order-" + rand.Text()
	a, e := t.order(c, t.entry, k)
	if e != nil {
		return e
	}
	b, e := t.order(c, t.other, k)
	if e != nil {
		return e
	}
	if a != b {
		return errors.Newf("reorder sent again got another answer: %q, %q", a, b)
	}
	_, e = fmt.Fprintf(t.out, "reorder: %s; sent again through another entry: the same answer\n", a)
	return e
}

func (t *Tour) order(c context.Context, entry, key string) (string, error) {
	r, e := http.NewRequestWithContext(c, http.MethodPost, entry+"/services/"+t.plain+"/orders", strings.NewReader(`{"code":"COL-200","crates":1}`))
	if e != nil {
		return "", e
	}
	r.Header.Set("Authorization", "Bearer "+t.key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", key)
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
		return "", errors.Newf("reorder got %s: %s", a.Status, b)
	}
	return strings.TrimSpace(string(b)), nil
}

// batch submits a job twice, waits for its end and reads every result.
func (t *Tour) batch(c context.Context) error {
	k, o := t.client(t.entry), t.client(t.other)
	// The text differs from run to run, so that each run is a job of its own.
	n := t.items(rand.Text())
	a, e := t.submit(c, k, n)
	if e != nil {
		return e
	}
	b, e := t.submit(c, o, n)
	if e != nil {
		return e
	}
	if a.ID != b.ID {
		return errors.Newf("batch submitted again became another job: %s, %s", a.ID, b.ID)
	}
	_, e = fmt.Fprintf(t.out, "batch: %s with %d items; submitted again through another entry: the same job\n", a.ID, batchItems)
	if e != nil {
		return e
	}
	b, e = t.finished(c, o, a.ID)
	if e != nil {
		return e
	}
	r, e := o.Files.Content(c, b.OutputFileID)
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
			return errors.Newf("result of item store-%d stands %d times in the output", i, strings.Count(string(x), s))
		}
	}
	_, e = fmt.Fprintf(t.out, "batch: completed, %d results read back, each once\n", b.RequestCounts.Completed)
	return e
}

func (t *Tour) items(text string) string {
	var b strings.Builder
	for i := range batchItems {
		_, _ = fmt.Fprintf(&b, `{"custom_id":"store-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":12,"messages":[{"role":"user","content":"Restock summary %s for store %d"}]}}`+"\n", i, t.model, text, i)
	}
	return b.String()
}

func (t *Tour) submit(c context.Context, k openai.Client, items string) (*openai.Batch, error) {
	f, e := k.Files.New(c, openai.FileNewParams{
		File:    openai.File(strings.NewReader(items), "restock.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if e != nil {
		return nil, errors.Wrap(e, "upload")
	}
	b, e := k.Batches.New(c, openai.BatchNewParams{
		InputFileID:      f.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	return b, errors.Wrap(e, "batch")
}

func (t *Tour) finished(c context.Context, k openai.Client, id string) (*openai.Batch, error) {
	c, f := context.WithTimeout(c, batchTimeout)
	defer f()
	for {
		b, e := k.Batches.Get(c, id)
		if e != nil {
			return nil, errors.Wrap(e, "batch status")
		}
		switch b.Status {
		case openai.BatchStatusCompleted:
			return b, nil
		case openai.BatchStatusFailed, openai.BatchStatusCancelled, openai.BatchStatusExpired:
			return nil, errors.Newf("batch is %s", b.Status)
		}
		select {
		case <-time.After(pollPeriod):
		case <-c.Done():
			return nil, errors.Newf("batch is still %s with %d of %d items", b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
		}
	}
}

// explain adds the body of a refusal, which names the code and the verdict.
func explain(e error, step string) error {
	var a *openai.Error
	if errors.As(e, &a) {
		return errors.Wrapf(e, "%s: %s", step, a.RawJSON())
	}
	return errors.Wrap(e, step)
}
