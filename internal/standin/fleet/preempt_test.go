package fleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	// Less than the slots of the smallest scheduler, so that no question has
	// to wait for another one.
	burstPerEntry = 6
	// The streams and the items last until the test ends them.
	burstTokens = 2000
	itemTokens  = 4096
	shortItems  = 48
)

// P3: with batch items on all engines that last longer than the test, each
// question of a burst has its first token while all others run, and each batch
// attempt that gives way is cancelled in the scheduling step that gives its
// slot to a question. Guards against questions that wait for batch work to
// end.
func TestBurstOverBatch(t *testing.T) {
	s := startSmall(t)
	k := &items{}
	// A job's limit of calls in flight grows with each completed item.
	for i := range shortItems {
		k.add(fmt.Sprintf("short-%d", i), chatBody(fmt.Sprintf("Short summary of store %d", i), 4, false))
	}
	for i := range 64 {
		k.add(fmt.Sprintf("store-%d", i), chatBody(fmt.Sprintf("Restock summary of store %d", i), itemTokens, false))
	}
	b, e := s.submit(1, k)
	if e != nil {
		t.Fatal(e)
	}
	s.fillsEngines()
	c, f := context.WithCancel(t.Context())
	defer f()
	s.burst(c)
	if s.cancelled() == 0 {
		t.Error("no batch item gave way")
	}
	m := 0
	for _, d := range s.Names("sched-") {
		m += checkSteps(t, d, s.Log(d), b.ID)
	}
	if m == 0 {
		t.Error("no scheduler has logged that a batch attempt gave way")
	}
	t.Logf("%d batch attempts gave way", m)
	if o := s.batch(2, b.ID); o == nil || o.RequestCounts.Completed > shortItems {
		t.Errorf("batch items have ended: %v", o)
	}
}

// fillsEngines waits until each engine has work and their number of requests
// stays for some polls.
func (s *small) fillsEngines() {
	s.t.Helper()
	n := 0
	y := 0
	s.until("batch work fills its part of all engines", func() bool {
		r := 0
		for _, g := range s.engines() {
			if s.running(g) == 0 {
				return false
			}
			r += s.running(g)
		}
		if r == n {
			y++
		} else {
			n, y = r, 0
		}
		return y == 20
	})
	s.t.Logf("%d batch items run", n)
}

// burst sends questions that last until c ends, and waits until each has its
// first token while none has ended.
func (s *small) burst(c context.Context) {
	s.t.Helper()
	var u, x atomic.Int64
	for i := range 3 * burstPerEntry {
		q := s.question(c, i%3+1, chatBody(fmt.Sprintf("Burst question %d", i), burstTokens, true), fmt.Sprintf("burst-%d", i))
		go func() {
			s.follow(q, &u)
			x.Add(1)
		}()
	}
	s.until("each question has its first token", func() bool {
		if x.Load() > 0 {
			s.t.Fatalf("%d questions ended when %d had a first token", x.Load(), u.Load())
		}
		return u.Load() == 3*burstPerEntry
	})
}

// follow reads a stream to its end and counts it at its first token.
func (s *small) follow(q *http.Request, first *atomic.Int64) {
	a, e := http.DefaultClient.Do(q)
	if e != nil {
		return
	}
	defer a.Body.Close()
	r := bufio.NewReader(a.Body)
	l, e := r.ReadString('\n')
	if e != nil || a.StatusCode != http.StatusOK || !strings.Contains(l, `"content"`) {
		s.t.Logf("question got %d %s", a.StatusCode, l)
		return
	}
	first.Add(1)
	for e == nil {
		_, e = r.ReadString('\n')
	}
}

// cancelled counts the requests that engines have ended early.
func (s *small) cancelled() int {
	n := 0
	for _, g := range s.engines() {
		for _, r := range s.runs(g).Runs {
			if r.Outcome == "cancelled" {
				n++
			}
		}
	}
	return n
}

// checkSteps fails the test for each cancelled attempt of the batch that is
// not followed by the dispatch of a question to the same engine, before any
// other decision but a cancellation there. It returns the number of cancelled
// attempts.
func checkSteps(t *testing.T, name, log, batch string) int {
	t.Helper()
	type line struct {
		Message string `json:"message"`
		Fields  struct {
			Call   string `json:"call"`
			Server string `json:"backend-server"`
		} `json:"fields"`
	}
	n := 0
	// Engine with a slot that was taken from the batch and not given yet.
	var p string
	for l := range strings.SplitSeq(log, "\n") {
		var v line
		if json.Unmarshal([]byte(l), &v) != nil || v.Fields.Server == "" || !strings.HasPrefix(v.Message, "sched: ") {
			continue
		}
		o := strings.HasPrefix(v.Fields.Call, batch)
		switch {
		case p != "" && (v.Fields.Server != p || v.Message == "sched: runner chosen" && o):
			t.Errorf("%s: slot of %s was taken from the batch, then: %s", name, p, l)
			p = ""
		case v.Message == "sched: attempt cancelled" && o:
			n++
			p = v.Fields.Server
		case v.Message == "sched: runner chosen":
			p = ""
		}
	}
	if p != "" {
		t.Errorf("%s: slot of %s was taken from the batch and not given", name, p)
	}
	return n
}
