package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/httpd"
)

// withOpenAIClient starts a system behind an HTTP server, and runs a test with
// an OpenAI client that is connected to it.
func withOpenAIClient(t *testing.T, script string, run func(c context.Context, s *system, k openai.Client)) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		s := newSystem(t, c, script)
		n := memnet.New()
		h := httpd.New(s.entries[0], s.logger(), prometheus.NewRegistry())
		d, g := context.WithCancel(c)
		w := make(chan error)
		go func() { w <- h.Serve(d, n.Listen("entry:80")) }()
		synctest.Wait()
		r := &http.Transport{DialContext: n.DialContext}
		k := openai.NewClient(option.WithBaseURL("http://entry/v1"), option.WithAPIKey("key-ana"),
			option.WithHTTPClient(&http.Client{Transport: r}), option.WithMaxRetries(0))
		run(c, s, k)
		r.CloseIdleConnections()
		g()
		if e := <-w; e != nil {
			t.Error(e)
		}
	})
}

func newChatRequest() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "asistente",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is it in stock?")},
	}
}

const (
	wholeAnswer = `head 200 + data {"id":"c1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"Yes."}}]} + end`
	tokens      = `data data: {"choices":[{"delta":{"content":"Ye"}}]}\n\n + wait + data data: {"choices":[{"delta":{"content":"s."}}]}\n\n`
)

// Guards against chat responses that the OpenAI client can't parse, and against
// a stream that is buffered: the scheduler sends the second token only after
// the client has received the first one.
func TestOpenAIClientWaitsForWholeStream(t *testing.T) {
	l := wholeAnswer + "\nhead 200 text/event-stream + " + tokens + ` + data data: [DONE]\n\n + end` +
		"\nhead 200 text/event-stream + " + tokens + " + lose"
	withOpenAIClient(t, l, func(c context.Context, s *system, k openai.Client) {
		a, e := k.Chat.Completions.New(c, newChatRequest())
		if e != nil {
			t.Fatal(e)
		}
		if d := cmp.Diff("Yes.", a.Choices[0].Message.Content); d != "" {
			t.Error(d)
		}
		for _, w := range []string{"Ye|s.|", "Ye|s.|received error while streaming"} {
			g := ""
			r := k.Chat.Completions.NewStreaming(c, newChatRequest())
			for r.Next() {
				g += r.Current().Choices[0].Delta.Content + "|"
				if g == "Ye|" {
					s.sched.proceed <- struct{}{}
				}
			}
			if r.Err() != nil {
				n, _, _ := strings.Cut(r.Err().Error(), ":")
				g += n
			}
			if d := cmp.Diff(w, g); d != "" {
				t.Error(d)
			}
		}
		q := newChatRequest()
		q.Model = "none"
		_, e = k.Chat.Completions.New(c, q)
		f, b := e.(*openai.Error)
		if !b {
			t.Fatal(e)
		}
		if d := cmp.Diff([]string{"unknown-model", "invalid_request_error"}, []string{f.Code, f.Type}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against responses on files and batches that the OpenAI client can't
// parse.
func TestOpenAIClientFailsOnFilesOrBatches(t *testing.T) {
	withOpenAIClient(t, "none", func(c context.Context, s *system, k openai.Client) {
		b := line("a", "asistente")
		f, e := k.Files.New(c, openai.FileNewParams{
			File: openai.File(strings.NewReader(b), "in.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
		})
		if e != nil {
			t.Fatal(e)
		}
		r, e := k.Files.Content(c, f.ID)
		if e != nil {
			t.Fatal(e)
		}
		g, e := io.ReadAll(r.Body)
		if e != nil || !bytes.Equal(g, []byte(b)) {
			t.Fatal(e, string(g))
		}
		j, e := k.Batches.New(c, openai.BatchNewParams{
			InputFileID: f.ID, Endpoint: "/v1/chat/completions", CompletionWindow: "24h",
		})
		if e != nil {
			t.Fatal(e)
		}
		l := []string{string(j.Status)}
		n, e := k.Batches.Get(c, j.ID)
		if e != nil {
			t.Fatal(e)
		}
		l = append(l, string(n.Status))
		p := k.Batches.ListAutoPaging(c, openai.BatchListParams{})
		for p.Next() {
			l = append(l, p.Current().InputFileID)
		}
		n, e = k.Batches.Cancel(c, j.ID)
		if e != nil || p.Err() != nil {
			t.Fatal(e, p.Err())
		}
		l = append(l, string(n.Status))
		if d := cmp.Diff([]string{"in_progress", "in_progress", f.ID, "cancelling"}, l); d != "" {
			t.Error(d)
		}
	})
}

func line(id, model string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[{"role":"user"}]}}`+"\n", id, model)
}

// Guards against storing an input that contains an invalid line: the upload must
// be refused with the number of the first one, and nothing must be stored.
func TestInputWithBadLineAcceptedInPart(t *testing.T) {
	a := line("a", "asistente")
	m := map[string]string{
		"":                                   "the input has no lines",
		a + "\n":                             "line 2: the line is not a JSON object of the expected form: unexpected end of JSON input",
		a + `{"custom_id":"b"`:               "line 2: the line is not a JSON object of the expected form: unexpected end of JSON input",
		a + a:                                `line 2: custom_id "a" stands in line 1 too`,
		a + line("b", "cerrado"):             `line 2: there is no model "cerrado"`,
		a + line("", "asistente"):            "line 2: custom_id is missing",
		a + line("b", ""):                    "line 2: body is not a chat request: invalid: model (string: len 0 less than minimum 1)",
		strings.Replace(a, "POST", "GET", 1): `line 1: method is "GET", not "POST"`,
		strings.Replace(a, "chat/", "", 1):   `line 1: url is "/v1/completions", not "/v1/chat/completions"`,
		strings.Replace(a, `{"role":"user"}`, "", 1):                    "line 1: body is not a chat request: invalid: messages (array: len 0 less than minimum 1)",
		a + line(strings.Repeat("b", 1000), ""):                         "line 2: the line has more than 1000 bytes",
		strings.Replace(a, `"messages"`, `"stream":true,"messages"`, 1): "line 1: body.stream is true, but items are answered whole",
	}
	withOpenAIClient(t, "none", func(c context.Context, s *system, k openai.Client) {
		for b, w := range m {
			_, e := k.Files.New(c, openai.FileNewParams{
				File: openai.File(strings.NewReader(b), "in.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
			})
			f, n := e.(*openai.Error)
			if !n {
				t.Error(b, e)
				continue
			}
			if d := cmp.Diff([]any{http.StatusBadRequest, "bad-input", w}, []any{f.StatusCode, f.Code, f.Message}); d != "" {
				t.Error(d)
			}
		}
		if d := cmp.Diff(0, len(s.store.objects)+len(s.bulk.segments)); d != "" {
			t.Error(d)
		}
	})
}
