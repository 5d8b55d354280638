package fleet_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
)

const (
	onceItems = 120
	// Items that run until the engines are made fast, so that the batch can't
	// end before the last fault.
	onceLongItems  = 4
	onceLongTokens = 4096
	// Makes a step of an engine 1 ms.
	fastFactor = 0.05
)

// P1: a batch completes with one result for each item, readable everywhere,
// although its owner, a depot, an entry and an engine are killed, its owner is
// frozen while another scheduler takes the job, answers of the platform are
// lost, and the platform is down for a while. Guards against items that are
// lost, committed twice or committed by an owner that was replaced.
func TestBatchOnce(t *testing.T) {
	s := startSmall(t)
	k := onceInput()
	b, e := s.submit(1, k)
	if e != nil {
		t.Fatal(e)
	}
	u := b.ID
	s.resubmit(2, k, u)
	s.completes(1, u, 1)

	s.killAndRestart(s.owner(u))
	s.resubmit(3, k, u)
	s.completes(1, u, 1)

	s.killAndRestart("depot-1")
	s.completes(1, u, 1)

	s.Kill("entry-1")
	s.resubmit(2, k, u)
	s.restart("entry-1")
	s.completes(1, u, 1)

	s.platformFaults(map[string]any{"lost-answers": map[string]any{"kind": "jobs"}})
	s.completes(1, u, 2)
	s.platformFaults(map[string]any{})
	s.completes(1, u, 1)

	s.platformOutage()
	s.completes(1, u, 1)

	s.replaceOwner(u)
	s.completes(1, u, 1)

	n := s.engines()[0]
	s.Kill(n)
	s.resubmit(3, k, u)
	if b := s.batch(2, u); b == nil || b.Status != openai.BatchStatusInProgress {
		t.Fatalf("batch is not in progress at the last fault: %v", b)
	}
	s.restart(n)
	for _, n := range s.engines() {
		s.engineFaults(n, map[string]any{"slow": fastFactor})
	}
	s.endsOnce(u, k)
}

// endsOnce waits for the end of the batch and checks its results through every
// entry, also after a depot has lost its data.
func (s *small) endsOnce(id string, k *items) {
	s.t.Helper()
	b := s.finished(2, id)
	if b.Status != openai.BatchStatusCompleted {
		s.t.Fatalf("batch is %s with %d of %d items", b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
	}
	for i := 1; i <= 3; i++ {
		s.checkOutput(i, b, k)
	}
	s.Kill("depot-2")
	e := os.RemoveAll(filepath.Join(s.folder, "data-2"))
	if e != nil {
		s.t.Fatal(e)
	}
	for i := 1; i <= 3; i++ {
		s.checkOutput(i, b, k)
		s.resubmit(i, k, id)
	}
}

// onceInput is a batch whose items end one after the other.
func onceInput() *items {
	k := &items{}
	for i := range onceLongItems {
		k.add(fmt.Sprintf("long-%d", i), chatBody(fmt.Sprintf("Restock summary of region %d", i), onceLongTokens, false))
	}
	for i := range onceItems {
		k.add(fmt.Sprintf("store-%d", i), chatBody(fmt.Sprintf("Restock summary of store %d", i), 20+10*i, false))
	}
	return k
}

// owner returns the owner that the platform names for the job, empty for none.
func (s *small) owner(id string) string {
	var d struct {
		Spec struct {
			Owner string `json:"owner"`
		} `json:"spec"`
	}
	s.read(s.PlatformURL()+"/apis/bulrushtrail.example/v1/jobs/"+id, &d)
	return d.Spec.Owner
}

func (s *small) killAndRestart(name string) {
	s.t.Helper()
	s.t.Logf("%s is killed", name)
	s.Kill(name)
	s.restart(name)
}

// platformOutage keeps the platform down until engines have ended more items.
func (s *small) platformOutage() {
	s.t.Helper()
	s.platformFaults(map[string]any{"outage": "refuse"})
	n := s.ran()
	s.until("engines run items while the platform is down", func() bool { return s.ran() >= n+10 })
	s.platformFaults(map[string]any{})
}

// ran counts the requests that all engines have begun.
func (s *small) ran() int {
	n := 0
	for _, b := range s.engines() {
		var r struct {
			Total int `json:"total"`
		}
		s.read(s.BackendURL(b)+"/control/runs", &r)
		n += r.Total
	}
	return n
}

// replaceOwner freezes the owner until another scheduler has taken the job.
func (s *small) replaceOwner(id string) {
	s.t.Helper()
	o := s.owner(id)
	s.t.Logf("%s is frozen", o)
	s.Freeze(o)
	s.until("another scheduler owns the job", func() bool {
		n := s.owner(id)
		return n != "" && n != o
	})
	s.Thaw(o)
}

// P1: a question whose entry is killed in the middle of its answer gets one
// whole answer when it is resent elsewhere, and the stored answer stays
// readable from every entry after a depot is lost. Guards against partial
// stored answers and registrations that outlive their entry.
func TestQuestionOnce(t *testing.T) {
	s := startSmall(t)
	for i := 1; i <= 3; i++ {
		s.questionOnce(i)
	}
}

func (s *small) questionOnce(n int) {
	s.t.Helper()
	u := fmt.Sprintf("pregunta-%d", n)
	o, d := fmt.Sprintf("entry-%d", n), fmt.Sprintf("depot-%d", n)
	b := chatBody("How many mesh racks are left at counter "+u, 100, true)
	a, e := http.DefaultClient.Do(s.question(s.t.Context(), n, b, u))
	if e != nil {
		s.t.Fatal(e)
	}
	defer a.Body.Close()
	_, e = bufio.NewReader(a.Body).ReadString('\n')
	if e != nil {
		s.t.Fatal(e)
	}
	s.Kill(o)
	r := n%3 + 1
	var h string
	s.until("resent question is answered", func() bool {
		v, w := s.ask(r, b, u)
		h = w
		return v == http.StatusOK
	})
	s.checkStream("resent", h, b)
	if !strings.Contains(h, ": stored=true") {
		s.t.Errorf("answer is not stored:\n%s", h)
	}
	s.restart(o)
	s.Kill(d)
	e = os.RemoveAll(filepath.Join(s.folder, fmt.Sprintf("data-%d", n)))
	if e != nil {
		s.t.Fatal(e)
	}
	for i := 1; i <= 3; i++ {
		var w string
		s.until(fmt.Sprintf("entry %d gives the stored answer", i), func() bool {
			v, x := s.get(s.EntryURL(i)+"/v1/requests/"+u, smallCaller)
			w = v
			return x == http.StatusOK
		})
		if d := cmp.Diff(h, w); d != "" {
			s.t.Errorf("stored answer through entry %d (-sent +stored):\n%s", i, d)
		}
	}
	s.restart(d)
}

// checkStream fails the test unless the events are one whole answer to the
// question.
func (s *small) checkStream(what, events, body string) {
	s.t.Helper()
	t, f := streamOf(events)
	if f != "" {
		s.t.Errorf("%s: stream is not whole: %s", what, f)
		return
	}
	if d := cmp.Diff(textOf(s.t, body), t); d != "" {
		s.t.Errorf("%s (-want +got):\n%s", what, d)
	}
}
