package fleet_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

const (
	// Streams that run at each fault, through all entries.
	faultStreams = 24
	// An answer takes some seconds, so that the fault comes in its middle.
	streamTokens = 150
)

// P4: streams through all entries are each whole and the engine's text for
// their own prompt, or a beginning of it that ends in an error event with a
// verdict, while engines are killed, crash and go silent, also twice while the
// platform is down. Guards against mixed, repeated and missing tokens and
// against streams that end without a word.
func TestOwnAnswer(t *testing.T) {
	s := startSmall(t)
	e := s.engines()
	s.during("killed", e[:1], func() { s.Kill(e[0]) })
	s.restart(e[0])

	r := map[string]any{"crash": true, "crash-mode": "refuse"}
	s.during("crashed", e[1:2], func() { s.engineFaults(e[1], r) })
	s.engineFaults(e[1], map[string]any{"restart": true})

	q := map[string]any{"silence": true}
	s.during("silent", e[2:3], func() { s.engineFaults(e[2], q) })
	s.serves(e[2])

	s.platformFaults(map[string]any{"outage": "close"})
	for _, n := range []string{"silent, platform down", "silent again, platform down"} {
		s.during(n, e[2:], func() {
			s.engineFaults(e[2], q)
			s.engineFaults(e[3], q)
		})
		s.serves(e[2])
		s.serves(e[3])
	}
	s.platformFaults(map[string]any{})
	s.during("no fault", nil, func() {})
}

// during starts streams, makes the fault happen while each of the engines runs
// one of them, and checks all.
func (s *small) during(what string, engines []string, fault func()) {
	s.t.Helper()
	w := s.startStreams(what, faultStreams)
	n := faultStreams
	s.until(what+": engines run streams", func() bool {
		for _, b := range engines {
			if s.running(b) == 0 {
				n++
				w = append(w, s.startStream(fmt.Sprintf("%s %d", what, n), n%3+1))
				return false
			}
		}
		return true
	})
	fault()
	h := s.checkStreams(what, w)
	s.t.Logf("%s: %d of %d streams are whole", what, h, len(w))
	if len(engines) == 0 && h < len(w) {
		s.t.Errorf("%s: %d of %d streams are whole", what, h, len(w))
	}
}

// stream is a question whose answer is being received.
type stream struct {
	what, body string
	// Receives the answer's end.
	out chan received
}

type received struct {
	status int
	body   string
	e      error
}

func (s *small) startStreams(what string, n int) []*stream {
	var l []*stream
	for i := range n {
		l = append(l, s.startStream(fmt.Sprintf("%s %d", what, i), i%3+1))
	}
	return l
}

func (s *small) startStream(what string, entry int) *stream {
	k := &stream{what: what, body: chatBody("Restock question "+what, streamTokens, true), out: make(chan received, 1)}
	q := s.question(s.t.Context(), entry, k.body, "")
	go func() {
		a, e := http.DefaultClient.Do(q)
		if e != nil {
			k.out <- received{e: e}
			return
		}
		defer a.Body.Close()
		b, e := io.ReadAll(a.Body)
		k.out <- received{a.StatusCode, string(b), e}
	}()
	return k
}

// checkStreams waits for the ends of streams, fails the test for each that is
// neither whole nor explicitly broken off, and returns how many are whole.
func (s *small) checkStreams(what string, l []*stream) int {
	s.t.Helper()
	n := 0
	for _, k := range l {
		r := <-k.out
		v, f := outcomeOf(r)
		w := textOf(s.t, k.body)
		switch {
		case f == "" && v == w:
			n++
		case f == "":
			s.t.Errorf("%s: stream %s ended well with %q, want %q", what, k.what, v, w)
		case !strings.HasPrefix(w, v):
			s.t.Errorf("%s: stream %s ended in %q with %q, which does not begin %q", what, k.what, f, v, w)
		case !explicit(f):
			s.t.Errorf("%s: stream %s has no explicit end: %s", what, k.what, f)
		default:
			s.t.Logf("%s: stream %s: %s after %d bytes", what, k.what, f, len(v))
		}
	}
	return n
}

// outcomeOf returns the text of a stream, and why it is not whole.
func outcomeOf(r received) (text, fault string) {
	if r.e != nil {
		return "", "connection lost: " + r.e.Error()
	}
	if r.status == http.StatusOK {
		return streamOf(r.body)
	}
	var v struct {
		Error struct {
			Code    string `json:"code"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	e := json.Unmarshal([]byte(r.body), &v)
	if e != nil {
		return "", fmt.Sprintf("status %d without an error: %s", r.status, r.body)
	}
	return "", v.Error.Code + " " + v.Error.Verdict
}

// explicit says whether a fault is a code with a verdict.
func explicit(fault string) bool {
	c, v, y := strings.Cut(fault, " ")
	return y && c != "" && (v == "not-run" || v == "may-have-run" || v == "ran")
}

// running counts the requests that an engine runs now.
func (s *small) running(name string) int {
	n := 0
	for _, r := range s.runs(name).Runs {
		if r.Outcome == "running" {
			n++
		}
	}
	return n
}

// engineRuns is what an engine says of its requests.
type engineRuns struct {
	Total int `json:"total"`
	Runs  []struct {
		Outcome string `json:"outcome"`
	} `json:"runs"`
}

func (s *small) runs(name string) engineRuns {
	var r engineRuns
	s.read(s.BackendURL(name)+"/control/runs", &r)
	return r
}

// serves sends questions until the engine runs one.
func (s *small) serves(name string) {
	s.t.Helper()
	n := s.runs(name).Total
	i := 0
	s.until(name+" gets work again", func() bool {
		i++
		s.ask(i%3+1, chatBody(fmt.Sprintf("Is code COL-%d in stock?", i), 2, false), "")
		return s.runs(name).Total > n
	})
}
