package jobs_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// The same histories are drawn in each run unless -rapid.seed is set.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// faultScript injects the remaining faults into the operations of one owner, in
// order, but not into reads of segments.
type faultScript struct {
	mutex     sync.Mutex
	remaining []int
}

func (s *faultScript) next(operation string) fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.remaining) == 0 || operation == "read" {
		return noFault
	}
	f := fault(s.remaining[0])
	s.remaining = s.remaining[1:]
	return f
}

// history is a random sequence of events for one job.
type history struct {
	items            int
	faultsA, faultsB []int
	// When the views of the two schedulers start to differ, and when both start
	// to prefer b.
	divergeAt, convergeAt time.Duration
	// When the job is cancelled, 0 for never.
	cancelAt time.Duration
	// When the first scheduler stops, 0 for never.
	deathAt time.Duration
}

func drawHistory(r *rapid.T) history {
	// More than half of the operations have no fault, so that histories make
	// progress.
	f := rapid.SliceOfN(rapid.OneOf(rapid.Just(int(noFault)), rapid.IntRange(int(noFault), int(faultCount)-1)), 0, 25)
	s := func(l string, n int) time.Duration {
		return time.Duration(rapid.IntRange(0, n).Draw(r, l)) * 100 * time.Millisecond
	}
	h := history{items: rapid.IntRange(1, 60).Draw(r, "items"), faultsA: f.Draw(r, "a"), faultsB: f.Draw(r, "b")}
	h.divergeAt = s("differ", 60)
	h.convergeAt = h.divergeAt + s("overlap", 600)
	if rapid.Bool().Draw(r, "cancels") {
		h.cancelAt = s("cancel", 200) + 1
	}
	if rapid.Bool().Draw(r, "dies") {
		h.deathAt = s("death", 200) + 1
	}
	return h
}

// variedAnswer derives the answer to a call from the item and the number of the
// call only, so that each run of a history has the same answers.
func variedAnswer(item string, call int) (*wire.Head, *wire.End) {
	switch xxhash.Sum64String(fmt.Sprint(item, call)) % 10 {
	case 0:
		return nil, end("queue-full", wire.Verdict_VERDICT_NOT_RUN)
	case 1:
		return nil, end("runner-lost", wire.Verdict_VERDICT_MAY_HAVE_RUN)
	case 2:
		return head(400), end("", wire.Verdict_VERDICT_RAN)
	case 3:
		return nil, end("request-rejected", wire.Verdict_VERDICT_NOT_RUN)
	}
	return head(200), end("", wire.Verdict_VERDICT_RAN)
}

// Guards against items with no or two results, changes to a job in a final state
// and jobs that never end, whatever faults occur between the steps of two
// overlapping owners.
func TestOverlappingOwnersCommitEachItemOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := drawHistory(r)
		run(t, h.items, func(w *fixture) {
			w.caller.answer = variedAnswer
			playHistory(w, h)
			w.verify(h)
		})
		if t.Failed() {
			r.Fatalf("history %+v", h)
		}
	})
}

func playHistory(fixture *fixture, history history) {
	v, u := newViews("a"), newViews("a")
	a, b := &faultScript{remaining: history.faultsA}, &faultScript{remaining: history.faultsB}
	_, f := fixture.start("a", v, a.next)
	fixture.start("b", u, b.next)
	if history.cancelAt > 0 {
		time.AfterFunc(history.cancelAt, func() {
			fixture.update(func(j *wire.Job) {
				if j.GetState() == wire.JobState_JOB_STATE_IN_PROGRESS {
					cancelJob(j)
				}
			})
		})
	}
	if history.deathAt > 0 {
		time.AfterFunc(history.deathAt, f)
	}
	time.Sleep(history.divergeAt)
	u.set("b")
	time.Sleep(history.convergeAt - history.divergeAt)
	v.set("b")
	time.Sleep(30 * time.Minute)
}

func (w *fixture) verify(history history) {
	w.t.Helper()
	j := w.job()
	n := len(w.results())
	switch s := j.GetState(); {
	case s == wire.JobState_JOB_STATE_COMPLETED && n == history.items:
	case s == wire.JobState_JOB_STATE_CANCELLED && history.cancelAt > 0:
	default:
		w.t.Errorf("job is %v with %d of %d results", s, n, history.items)
	}
	w.expectOwnerWrites()
	var p *wire.Job
	for _, x := range w.platform.history {
		if p != nil && p.GetEndedUnix() != 0 {
			w.t.Errorf("job changed from final state %v to %v", p.GetState(), x.GetState())
		}
		if p.GetState() == wire.JobState_JOB_STATE_CANCELLING && x.GetState() == wire.JobState_JOB_STATE_IN_PROGRESS {
			w.t.Error("job changed from state cancelling back to in progress")
		}
		for i, b := range p.GetDone() {
			if x.GetDone()[i]&b != b {
				w.t.Errorf("done bits of byte %d were cleared", i)
			}
		}
		p = x
	}
}
