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

// site is an engine with a client, over in-memory connections.
type site struct {
	t *testing.T
	c *http.Client
	// Connections to be accepted.
	accept chan net.Conn
	x      context.CancelFunc
	s      *http.Server
}

func (s *site) Accept() (net.Conn, error) {
	n, y := <-s.accept
	if !y {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (s *site) Close() error   { return nil }
func (s *site) Addr() net.Addr { return &net.TCPAddr{} }

func newSite(t *testing.T, options ...func(*engine.Engine)) *site {
	c, x := context.WithCancel(t.Context())
	options = append([]func(*engine.Engine){
		engine.Model("fit-assistant"), engine.Pace(10*time.Millisecond, 0, time.Millisecond),
	}, options...)
	g := engine.New(c, options...)
	s := &site{t: t, accept: make(chan net.Conn), x: x}
	s.s = &http.Server{Handler: g, ConnContext: g.ConnContext}
	s.c = &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		s.accept <- b
		return a, nil
	}}}
	go func() { _ = s.s.Serve(s) }()
	return s
}

// end closes everything, so that the bubble's goroutines end.
func (s *site) end() {
	s.c.CloseIdleConnections()
	close(s.accept)
	_ = s.s.Close()
	s.x()
	synctest.Wait()
}

func body(content string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"fit-assistant","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`, content, tokens, stream)
}

func (s *site) send(method, path string, b []byte, headers ...string) (*http.Response, error) {
	q, e := http.NewRequest(method, "http://engine"+path, bytes.NewReader(b))
	if e != nil {
		s.t.Fatal(e)
	}
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	return s.c.Do(q)
}

// read returns the whole answer.
func (s *site) read(method, path string, b []byte, headers ...string) (int, string) {
	s.t.Helper()
	a, e := s.send(method, path, b, headers...)
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

// content joins the contents of an event stream or of a whole answer.
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

// An answer that depends on anything but the request, or a resumed one that
// repeats or skips tokens, would make tests of P4 blind.
func TestText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.end()
		w, e := engine.Text(body("box shape?", 9, true))
		if e != nil {
			t.Fatal(e)
		}
		_, a := s.read("POST", chat, body("box shape?", 9, true))
		if d := cmp.Diff(w, content(t, a)); d != "" || !strings.HasSuffix(a, "data: [DONE]\n\n") {
			t.Fatal(d, a)
		}
		_, a = s.read("POST", chat, body("box shape?", 9, false))
		if d := cmp.Diff(w, content(t, a)); d != "" {
			t.Fatal(d)
		}
		_, a = s.read("POST", chat, body("box shape?", 9, true), "Resume-Offset", "4")
		x := strings.Join(strings.SplitAfter(w, " ")[4:], "")
		if d := cmp.Diff(x, content(t, a)); d != "" {
			t.Fatal(d)
		}
	})
}

// Times that are not the stated ones would make every measurement wrong.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engine.Slots(1, 8))
		defer s.end()
		// 480 bytes with role and end: 122 tokens in 7 blocks of 16.
		p := strings.Repeat("vamp length ", 40)
		var l []time.Duration
		for range 2 {
			b := time.Now()
			s.read("POST", chat, body(p, 5, false))
			l = append(l, time.Since(b))
		}
		// 122 ms and then 10 ms a token, on the step's grid; then 10 tokens
		// are not cached.
		if d := cmp.Diff([]time.Duration{170 * time.Millisecond, 50 * time.Millisecond}, l); d != "" {
			t.Fatal(d)
		}
	})
}

// A closed connection must free its slot, or preemption frees nothing (P3).
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engine.Slots(1, 8))
		defer s.end()
		a, e := s.send("POST", chat, body("a", 4000, true), "X-Request-Id", "long")
		if e != nil {
			t.Fatal(e)
		}
		_ = a.Body.Close()
		s.read("POST", chat, body("b", 2, true), "X-Request-Id", "short")
		_, r := s.read("GET", "/control/runs", nil)
		for _, x := range []string{`"attempt-id":"long"`, `"outcome":"cancelled"`, `"total":2`} {
			if !strings.Contains(r, x) {
				t.Fatalf("%s lacks %s", r, x)
			}
		}
	})
}

// A crash that spares some connections, or a silence that strikes new ones,
// is another fault than the one a test means.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.end()
		s.read("POST", "/control/faults", []byte(`{"crash-on-text":"poison","restart-after-ms":1000}`))
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
		n, _ := s.read("POST", chat, body("after", 5, true))
		if d := cmp.Diff(200, n); d != "" {
			t.Fatal(d)
		}

		a, e = s.send("POST", chat, body("mute", 4000, true))
		if e != nil {
			t.Fatal(e)
		}
		s.read("POST", "/control/faults", []byte(`{"silence":true}`))
		c, f := context.WithTimeout(t.Context(), time.Hour)
		go func() { <-c.Done(); _ = a.Body.Close() }()
		_, e = io.ReadAll(a.Body)
		f()
		if e == nil || c.Err() != context.DeadlineExceeded {
			t.Fatalf("a silent connection ended with %v", e)
		}
		s.c.CloseIdleConnections()
		n, _ = s.read("POST", chat, body("new", 5, true))
		if d := cmp.Diff(200, n); d != "" {
			t.Fatal(d)
		}

		s.read("POST", "/control/faults", []byte(`{"drain":true}`))
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

// Reports that are fresh or without gaps would hide faults of their readers.
func TestLateReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engine.Slots(1, 8), engine.CacheBlocks(2), engine.Lag(time.Second, time.Second, 2))
		defer s.end()
		a, e := s.send("POST", chat, body(strings.Repeat("x", 192), 4000, true))
		if e != nil {
			t.Fatal(e)
		}
		var l []string
		for range 2 {
			_, m := s.read("GET", "/metrics", nil)
			_, v := s.read("GET", "/cache-events?after=0", nil)
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

// An engine that checks fencing tokens must refuse an old owner's order, one
// that ignores them must obey it.
func TestFencing(t *testing.T) {
	for _, k := range []struct {
		checks bool
		want   []int
	}{{true, []int{200, 409, 400, 200}}, {false, []int{200, 200, 200, 200}}} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, engine.ChecksFencing(k.checks))
			defer s.end()
			var l []int
			for _, x := range []string{"7", "6", "", "7"} {
				n, _ := s.read("POST", "/v1/load_lora_adapter", []byte(`{"lora_name":"studio"}`), "Fencing-Token", x)
				l = append(l, n)
			}
			if d := cmp.Diff(k.want, l); d != "" {
				t.Fatal(d)
			}
		})
	}
}
