package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"bulrushtrail.example/trail/internal/standin/engine"
	"bulrushtrail.example/trail/internal/standin/fleet"
)

const (
	smallModel  = "asistente-lm"
	smallCaller = "supervisor-bajio"
	askPeriod   = 100 * time.Millisecond
)

// small is a deployment with few processes, because each of them runs under
// the race detector.
type small struct {
	*fleet.Fleet
	t      *testing.T
	folder string
}

// startSmall starts the deployment of testdata/small-once.json and waits until
// each entry serves a question.
func startSmall(t *testing.T) *small {
	t.Helper()
	s := &small{t: t, folder: t.TempDir()}
	x, e := fleet.New("testdata/small-once.json", s.folder, program)
	if e != nil {
		t.Fatal(e)
	}
	s.Fleet = x
	t.Cleanup(func() {
		if t.Failed() {
			s.keepLogs()
		}
		x.Close()
		races(t, x)
	})
	e = x.Start(t.Context())
	if e != nil {
		t.Fatal(e)
	}
	operate(t, x, "apply", "-f", filepath.Join(examples, "coladores", "services.json"))
	for i := 1; i <= 3; i++ {
		s.until(fmt.Sprintf("entry %d serves a question", i), func() bool {
			c, _ := s.ask(i, chatBody("Are the 14 cm strainers back?", 2, false), "")
			return c == http.StatusOK
		})
	}
	return s
}

// keepLogs copies the logs of a failed test to the folder that the variable
// BULRUSHTRAIL_TEST_LOGS names.
func (s *small) keepLogs() {
	d := os.Getenv("BULRUSHTRAIL_TEST_LOGS")
	if d == "" {
		return
	}
	for _, n := range s.Names("") {
		_ = os.WriteFile(filepath.Join(d, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+n+".log"), []byte(s.Log(n)), 0o600)
	}
}

// until polls for a condition. Only the end of the test's time ends it early.
func (s *small) until(what string, condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case <-s.t.Context().Done():
			s.t.Fatalf("test ended before: %s", what)
		case <-time.After(askPeriod):
		}
	}
	s.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), what)
}

func (s *small) restart(name string) {
	s.t.Helper()
	e := s.Restart(s.t.Context(), name)
	if e != nil {
		s.t.Fatal(e)
	}
}

func (s *small) control(url string, order any) {
	s.t.Helper()
	e := s.Control(s.t.Context(), http.MethodPost, url, order)
	if e != nil {
		s.t.Fatal(e)
	}
}

func (s *small) platformFaults(order map[string]any) {
	s.t.Helper()
	s.control(s.PlatformURL()+"/control/faults", order)
}

func (s *small) engineFaults(name string, order map[string]any) {
	s.t.Helper()
	s.control(s.BackendURL(name)+"/control/faults", order)
}

func (s *small) engines() []string { return s.Names(smallModel + "-") }

// read gets a JSON document and returns whether it came.
func (s *small) read(url string, v any) bool {
	b, n := s.get(url, "")
	return n == http.StatusOK && json.Unmarshal([]byte(b), v) == nil
}

// get returns the body and status of a GET, status 0 when none came.
func (s *small) get(url, key string) (string, int) {
	q, e := http.NewRequestWithContext(s.t.Context(), http.MethodGet, url, nil)
	if e != nil {
		s.t.Fatal(e)
	}
	return send(q, key)
}

// ask sends the body of a question through an entry, counted from 1, and
// returns the status, 0 for a lost connection, and the body. The request id
// may be empty.
func (s *small) ask(entry int, body, requestID string) (int, string) {
	q := s.question(s.t.Context(), entry, body, requestID)
	b, n := send(q, smallCaller)
	return n, b
}

func (s *small) question(c context.Context, entry int, body, requestID string) *http.Request {
	q, e := http.NewRequestWithContext(c, http.MethodPost, s.EntryURL(entry)+"/v1/chat/completions", strings.NewReader(body))
	if e != nil {
		s.t.Fatal(e)
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+smallCaller)
	if requestID != "" {
		q.Header.Set("X-Request-Id", requestID)
	}
	return q
}

func send(q *http.Request, key string) (string, int) {
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	a, e := http.DefaultClient.Do(q)
	if e != nil {
		return e.Error(), 0
	}
	defer a.Body.Close()
	b, e := io.ReadAll(a.Body)
	if e != nil {
		return e.Error(), 0
	}
	return string(b), a.StatusCode
}

func (s *small) client(entry int) openai.Client {
	return openai.NewClient(option.WithBaseURL(s.EntryURL(entry)+"/v1/"), option.WithAPIKey(smallCaller), option.WithMaxRetries(0))
}

// chatBody is the body of a question with a limit of tokens.
func chatBody(text string, tokens int, stream bool) string {
	b, e := json.Marshal(map[string]any{
		"model": smallModel, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if e != nil {
		panic(e)
	}
	return string(b)
}

// textOf is what every engine generates for a body.
func textOf(t *testing.T, body string) string {
	t.Helper()
	s, e := engine.Text([]byte(body))
	if e != nil {
		t.Fatal(e)
	}
	return s
}

// contentOf returns the text of a whole answer.
func contentOf(body string) string {
	a := openai.ChatCompletion{}
	e := json.Unmarshal([]byte(body), &a)
	if e != nil || len(a.Choices) != 1 {
		return "no whole answer: " + body
	}
	return a.Choices[0].Message.Content
}
