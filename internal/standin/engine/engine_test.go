package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/engine"
)

// testEngine is an engine with an HTTP client, over in-memory connections.
type testEngine struct {
	t      *testing.T
	client *http.Client
	// Server ends of connections that are to be accepted.
	accept chan net.Conn
	cancel context.CancelFunc
	server *http.Server
}

func (s *testEngine) Accept() (net.Conn, error) {
	n, y := <-s.accept
	if !y {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (s *testEngine) Close() error   { return nil }
func (s *testEngine) Addr() net.Addr { return &net.TCPAddr{} }

func newTestEngine(t *testing.T, options ...func(*engine.Engine)) *testEngine {
	c, x := context.WithCancel(t.Context())
	options = append([]func(*engine.Engine){
		engine.Model("fit-assistant"), engine.Timing(10*time.Millisecond, 0, time.Millisecond),
	}, options...)
	g := engine.New(c, options...)
	s := &testEngine{t: t, accept: make(chan net.Conn), cancel: x}
	s.server = &http.Server{Handler: g, ConnContext: g.ConnContext}
	s.client = &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		s.accept <- b
		return a, nil
	}}}
	go func() { _ = s.server.Serve(s) }()
	return s
}

// shutdown stops the client, the server and the engine. All goroutines of a
// synctest bubble must end before the test does.
func (s *testEngine) shutdown() {
	s.client.CloseIdleConnections()
	close(s.accept)
	_ = s.server.Close()
	s.cancel()
	synctest.Wait()
}

func body(content string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"fit-assistant","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`, content, tokens, stream)
}

func (s *testEngine) send(method, path string, payload []byte, headers ...string) (*http.Response, error) {
	q, e := http.NewRequest(method, "http://engine"+path, bytes.NewReader(payload))
	if e != nil {
		s.t.Fatal(e)
	}
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	return s.client.Do(q)
}

// fetch returns the status and the whole body of the response.
func (s *testEngine) fetch(method, path string, payload []byte, headers ...string) (int, string) {
	s.t.Helper()
	a, e := s.send(method, path, payload, headers...)
	if e != nil {
		s.t.Fatal(e)
	}
	defer a.Body.Close()
	t, e := io.ReadAll(a.Body)
	if e != nil {
		s.t.Fatal(e)
	}
	return a.StatusCode, string(t)
}

// content joins the text of an event stream or of a response in one piece.
func content(t *testing.T, answer string) string {
	t.Helper()
	var b strings.Builder
	l := bufio.NewScanner(strings.NewReader(answer))
	for l.Scan() {
		x := strings.TrimPrefix(l.Text(), "data: ")
		if x == "" || x == "[DONE]" {
			continue
		}
		f := struct {
			Choices []struct {
				Delta, Message struct{ Content string }
			}
		}{}
		e := json.Unmarshal([]byte(x), &f)
		if e != nil {
			t.Fatal(e)
		}
		for _, c := range f.Choices {
			b.WriteString(c.Delta.Content + c.Message.Content)
		}
	}
	return b.String()
}

const chat = "/v1/chat/completions"

// Guards against an answer that depends on anything but the request, and
// against a resumed answer that repeats or skips tokens. Either would keep the
// tests of resumed answers (P4) from detecting faults.
func TestAnswerDependsOnRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(t)
		defer s.shutdown()
		w, e := engine.Text(body("box shape?", 9, true))
		if e != nil {
			t.Fatal(e)
		}
		_, a := s.fetch("POST", chat, body("box shape?", 9, true))
		if d := cmp.Diff(w, content(t, a)); d != "" || !strings.HasSuffix(a, "data: [DONE]\n\n") {
			t.Fatal(d, a)
		}
		_, a = s.fetch("POST", chat, body("box shape?", 9, false))
		if d := cmp.Diff(w, content(t, a)); d != "" {
			t.Fatal(d)
		}
		_, a = s.fetch("POST", chat, body("box shape?", 9, true), "Resume-Offset", "4")
		x := strings.Join(strings.SplitAfter(w, " ")[4:], "")
		if d := cmp.Diff(x, content(t, a)); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against step and prefill times that differ from the settings, which
// would distort every measurement with the engine.
func TestTimesMatchSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(t, engine.Slots(1, 8))
		defer s.shutdown()
		// 480 bytes plus role and line end: 122 tokens, of which 7 complete
		// blocks of 16 can be cached.
		p := strings.Repeat("vamp length ", 40)
		var l []time.Duration
		for range 2 {
			b := time.Now()
			s.fetch("POST", chat, body(p, 5, false))
			l = append(l, time.Since(b))
		}
		// The first request takes 122 ms of prefill, rounded up to the end of a
		// step, and 10 ms a token. The second has 10 tokens not in the cache.
		if d := cmp.Diff([]time.Duration{170 * time.Millisecond, 50 * time.Millisecond}, l); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against a request that keeps its slot after its connection is closed;
// preemption (P3) would then free no slot.
func TestClosedConnectionFreesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(t, engine.Slots(1, 8))
		defer s.shutdown()
		a, e := s.send("POST", chat, body("a", 4000, true), "X-Request-Id", "long")
		if e != nil {
			t.Fatal(e)
		}
		_ = a.Body.Close()
		s.fetch("POST", chat, body("b", 2, true), "X-Request-Id", "short")
		_, r := s.fetch("GET", "/control/runs", nil)
		for _, x := range []string{`"attempt-id":"long"`, `"outcome":"cancelled"`, `"total":2`} {
			if !strings.Contains(r, x) {
				t.Fatalf("%s lacks %s", r, x)
			}
		}
	})
}

// Guards against a restart after a crash that the metrics do not show: schedulers would
// take the engine for the process before.
func TestRestartIsNewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(t)
		defer s.shutdown()
		f := func() string {
			_, b := s.fetch("GET", "/metrics", nil)
			_, v, _ := strings.Cut(b, "\nprocess_start_time_seconds ")
			v, _, _ = strings.Cut(v, "\n")
			return v
		}
		// The clock of the test starts on 1 January 2000.
		g := []string{f()}
		time.Sleep(time.Second)
		g = append(g, f())
		s.fetch("POST", "/control/faults", []byte(`{"crash":true}`))
		s.fetch("POST", "/control/faults", []byte(`{"restart":true}`))
		g = append(g, f())
		if d := cmp.Diff([]string{"9.466848e+08", "9.466848e+08", "9.46684801e+08"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a crash that leaves some connections open, and against a
// silence that also affects new connections. Tests that inject these faults
// would then exercise other faults than intended.
func TestFaultsAffectIntendedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(t)
		defer s.shutdown()
		s.fetch("POST", "/control/faults", []byte(`{"crash-on-text":"poison","restart-after-ms":1000}`))
		a, e := s.send("POST", chat, body("innocent", 4000, true))
		if e != nil {
			t.Fatal(e)
		}
		_, e = s.send("POST", chat, body("poison", 5, true))
		if e == nil {
			t.Fatal("poison was answered")
		}
		_, e = io.ReadAll(a.Body)
		if e == nil {
			t.Fatal("another request survived the crash")
		}
		time.Sleep(time.Second)
		n, _ := s.fetch("POST", chat, body("after", 5, true))
		if d := cmp.Diff(200, n); d != "" {
			t.Fatal(d)
		}

		a, e = s.send("POST", chat, body("mute", 4000, true))
		if e != nil {
			t.Fatal(e)
		}
		s.fetch("POST", "/control/faults", []byte(`{"silence":true}`))
		c, f := context.WithTimeout(t.Context(), time.Hour)
		go func() { <-c.Done(); _ = a.Body.Close() }()
		_, e = io.ReadAll(a.Body)
		f()
		if e == nil || c.Err() != context.DeadlineExceeded {
			t.Fatalf("a silent connection ended with %v", e)
		}
		s.client.CloseIdleConnections()
		n, _ = s.fetch("POST", chat, body("new", 5, true))
		if d := cmp.Diff(200, n); d != "" {
			t.Fatal(d)
		}

		s.fetch("POST", "/control/faults", []byte(`{"drain":true}`))
		a, e = s.send("POST", chat, body("late", 5, true))
		if e != nil {
			t.Fatal(e)
		}
		_ = a.Body.Close()
		if d := cmp.Diff("503 true", fmt.Sprint(a.StatusCode, " ", a.Header.Get("Draining"))); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against load and cache reports without lag or gaps, which would hide
// faults in the components that read them.
func TestReportsLagAndLoseEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(t, engine.Slots(1, 8), engine.CacheBlocks(2), engine.ReportLag(time.Second, time.Second, 2))
		defer s.shutdown()
		a, e := s.send("POST", chat, body(strings.Repeat("x", 192), 4000, true))
		if e != nil {
			t.Fatal(e)
		}
		var l []string
		for range 2 {
			_, m := s.fetch("GET", "/metrics", nil)
			_, v := s.fetch("GET", "/cache-events?after=0", nil)
			l = append(l, fmt.Sprint(strings.Contains(m, "engine_requests_running 1"), strings.Count(v, "seq")))
			time.Sleep(time.Second)
		}
		_ = a.Body.Close()
		// The second event, which removes a block, is lost.
		if d := cmp.Diff([]string{"false 0", "true 1"}, l); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against an engine that accepts an order of a fenced owner although it
// checks fencing tokens, or rejects it although it does not check them.
func TestStaleFencingTokenRejectedOnlyWhenChecked(t *testing.T) {
	for _, k := range []struct {
		checks bool
		want   []int
	}{{true, []int{200, 409, 400, 200}}, {false, []int{200, 200, 200, 200}}} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestEngine(t, engine.ChecksFencing(k.checks))
			defer s.shutdown()
			var l []int
			for _, x := range []string{"7", "6", "", "7"} {
				n, _ := s.fetch("POST", "/v1/load_lora_adapter", []byte(`{"lora_name":"studio"}`), "Fencing-Token", x)
				l = append(l, n)
			}
			if d := cmp.Diff(k.want, l); d != "" {
				t.Fatal(d)
			}
		})
	}
}
