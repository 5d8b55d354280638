package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
)

const (
	poisonText = "veneno"
	// Code of a request that has crashed two engines.
	rejectedCode = "request-rejected"
	// Resends, through all entries one after the other.
	poisonResends = 9
)

// armPoison makes each engine crash on a prompt with poisonText.
func (s *small) armPoison() {
	s.t.Helper()
	for _, n := range s.engines() {
		s.engineFaults(n, map[string]any{"crash-on-text": poisonText, "crash-mode": "refuse"})
	}
}

// disarmPoison takes armPoison back.
func (s *small) disarmPoison() {
	s.t.Helper()
	for _, n := range s.engines() {
		s.engineFaults(n, map[string]any{"crash-on-text": ""})
	}
}

// crashed returns the engines that have crashed.
func (s *small) crashed() []string {
	var l []string
	for _, n := range s.engines() {
		for _, r := range s.runs(n).Runs {
			if r.Outcome == "crashed" {
				l = append(l, n)
				break
			}
		}
	}
	return l
}

// Poison: a question that crashes each engine that runs it, and is resent by
// its caller through all entries, costs at most two engines; then every resend
// is rejected with one code and the verdict not-run, everywhere, and the
// innocent requests complete. Guards against schedulers that count crashes
// each on its own.
func TestPoisonedQuestion(t *testing.T) {
	s := startSmall(t)
	s.armPoison()
	b := chatBody("Is "+poisonText+" in stock?", 8, false)
	h := make([]string, 12)
	var w sync.WaitGroup
	for i := range h {
		w.Go(func() { h[i] = s.insist(i%3+1, chatBody(fmt.Sprintf("Innocent question %d", i), 60, false)) })
	}
	s.until("each engine runs an innocent question", func() bool {
		for _, n := range s.engines() {
			if s.runs(n).Total == 0 {
				return false
			}
		}
		return true
	})
	var g []string
	s.until("the question is rejected", func() bool {
		_, a := s.ask(len(g)%3+1, b, "")
		g = append(g, codeOf(a))
		return codeOf(a) == rejectedCode+" not-run"
	})
	t.Logf("answers until the rejection: %q", g)
	for i := range poisonResends {
		_, a := s.ask(i%3+1, b, "")
		if d := cmp.Diff(rejectedCode+" not-run", codeOf(a)); d != "" {
			t.Errorf("resend %d through entry %d: %s", i, i%3+1, d)
		}
	}
	if l := s.crashed(); len(l) > 2 {
		t.Errorf("engines lost: %q", l)
	}
	w.Wait()
	for i, a := range h {
		if d := cmp.Diff(textOf(t, chatBody(fmt.Sprintf("Innocent question %d", i), 60, false)), a); d != "" {
			t.Errorf("innocent question %d (-want +got):\n%s", i, d)
		}
	}
	s.holdsRejection()
}

// holdsRejection waits until the platform holds one rejection.
func (s *small) holdsRejection() {
	s.t.Helper()
	s.until("platform holds the rejection", func() bool {
		var l struct {
			Items []json.RawMessage `json:"items"`
		}
		return s.read(s.PlatformURL()+"/apis/bulrushtrail.example/v1/crashes", &l) && len(l.Items) == 1
	})
}

// insist resends a question, as a caller does, until it gets an answer or a
// refusal that names no time to come back.
func (s *small) insist(entry int, body string) string {
	for s.t.Context().Err() == nil {
		v, a := s.ask(entry, body, "")
		if v == http.StatusOK {
			return contentOf(a)
		}
		if !strings.Contains(a, "retry-after-ms") {
			return a
		}
		entry = entry%3 + 1
	}
	return "test ended"
}

// codeOf returns code and verdict of a refusal.
func codeOf(body string) string {
	var v struct {
		Error struct {
			Code    string `json:"code"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(body), &v) != nil || v.Error.Code == "" {
		return body
	}
	return v.Error.Code + " " + v.Error.Verdict
}

// An unlucky item of a batch, while the platform is down: engines crash under it
// as if another fault had struck them. At most two are lost before the item is
// stopped for a while, all other items are completed, and the platform holds the
// rejection after its outage. Once all is calm the item is still owed, and runs.
// Guards against an item that is failed or never placed again, against innocent
// items that share its crashes, and against a rejection that is lost with the
// outage.
func TestUnluckyItem(t *testing.T) {
	s := startSmall(t)
	k := &items{}
	// Runs until it crashes its engine.
	k.add("unlucky", chatBody("Restock summary with "+poisonText, 600, false))
	for i := range 40 {
		k.add(fmt.Sprintf("store-%d", i), chatBody(fmt.Sprintf("Restock summary of store %d", i), 40, false))
	}
	b, e := s.submit(1, k)
	if e != nil {
		t.Fatal(e)
	}
	n := s.ran()
	s.until("items run", func() bool { return s.ran() > n })
	s.platformFaults(map[string]any{"outage": "refuse"})
	s.armPoison()
	s.until("two engines are lost", func() bool { return len(s.crashed()) == 2 })
	s.platformFaults(map[string]any{})
	s.holdsRejection()
	s.until("all other items are completed", func() bool {
		g := s.batch(3, b.ID)
		return g != nil && g.RequestCounts.Completed == 40
	})
	if l := s.crashed(); len(l) > 2 {
		t.Errorf("engines lost: %q", l)
	}
	s.disarmPoison()
	b = s.finished(2, b.ID)
	if b.Status != openai.BatchStatusCompleted || b.RequestCounts.Failed != 0 {
		t.Fatalf("batch is %s, %d items failed", b.Status, b.RequestCounts.Failed)
	}
	if l := s.crashed(); len(l) > 2 {
		t.Errorf("engines lost: %q", l)
	}
	for i := 1; i <= 3; i++ {
		s.checkOutput(i, b, k)
	}
}
