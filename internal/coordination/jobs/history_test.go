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

// The histories are the same on each run unless -rapid.seed says otherwise.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// script gives the faults of one owner's operations in order, then none.
type script struct {
	mutex sync.Mutex
	left  []int
}

func (s *script) next(operation string) fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.left) == 0 || operation == "read" {
		return none
	}
	f := fault(s.left[0])
	s.left = s.left[1:]
	return f
}

// history is what happens to one job.
type history struct {
	items int
	a, b  []int
	// Time at which the owners' views start to differ, and that from which
	// both prefer b.
	differ, agree time.Duration
	// When an entry cancels the job; 0 for never.
	cancel time.Duration
	// When the first owner dies; 0 for never.
	death time.Duration
}

func draw(r *rapid.T) history {
	// Half of the operations have no fault, so that histories get far.
	f := rapid.SliceOfN(rapid.OneOf(rapid.Just(int(none)), rapid.IntRange(int(none), int(faults)-1)), 0, 25)
	s := func(l string, n int) time.Duration {
		return time.Duration(rapid.IntRange(0, n).Draw(r, l)) * 100 * time.Millisecond
	}
	h := history{items: rapid.IntRange(1, 60).Draw(r, "items"), a: f.Draw(r, "a"), b: f.Draw(r, "b")}
	h.differ = s("differ", 60)
	h.agree = h.differ + s("overlap", 600)
	if rapid.Bool().Draw(r, "cancels") {
		h.cancel = s("cancel", 200) + 1
	}
	if rapid.Bool().Draw(r, "dies") {
		h.death = s("death", 200) + 1
	}
	return h
}

// outcome of an item's n-th call, from its name only, so that each run of a
// history has the same.
func varied(d string, n int) (*wire.Head, *wire.End) {
	switch xxhash.Sum64String(fmt.Sprint(d, n)) % 10 {
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

// Whatever faults come between the steps of two overlapping owners, each item
// must have exactly one committed result, a final job must stay as it is, and
// the job must end.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := draw(r)
		run(t, h.items, func(w *world) {
			w.k.answer = varied
			play(w, h)
			w.verify(h)
		})
		if t.Failed() {
			r.Fatalf("history %+v", h)
		}
	})
}

func play(w *world, h history) {
	v, u := newViews("a"), newViews("a")
	a, b := &script{left: h.a}, &script{left: h.b}
	_, f := w.start("a", v, a.next)
	w.start("b", u, b.next)
	if h.cancel > 0 {
		time.AfterFunc(h.cancel, func() {
			w.set(func(j *wire.Job) {
				if j.GetState() == wire.JobState_JOB_STATE_IN_PROGRESS {
					cancelJob(j)
				}
			})
		})
	}
	if h.death > 0 {
		time.AfterFunc(h.death, f)
	}
	time.Sleep(h.differ)
	u.set("b")
	time.Sleep(h.agree - h.differ)
	v.set("b")
	time.Sleep(30 * time.Minute)
}

func (w *world) verify(h history) {
	w.t.Helper()
	j := w.job()
	n := len(w.results())
	switch s := j.GetState(); {
	case s == wire.JobState_JOB_STATE_COMPLETED && n == h.items:
	case s == wire.JobState_JOB_STATE_CANCELLED && h.cancel > 0:
	default:
		w.t.Errorf("job is %v with %d of %d results", s, n, h.items)
	}
	w.ownersWrote()
	var p *wire.Job
	for _, x := range w.p.history {
		if p != nil && p.GetEndedUnix() != 0 {
			w.t.Errorf("job changed after its end from %v to %v", p.GetState(), x.GetState())
		}
		if p.GetState() == wire.JobState_JOB_STATE_CANCELLING && x.GetState() == wire.JobState_JOB_STATE_IN_PROGRESS {
			w.t.Error("a cancelled job was revived")
		}
		for i, b := range p.GetDone() {
			if x.GetDone()[i]&b != b {
				w.t.Errorf("done bits of byte %d were taken back", i)
			}
		}
		p = x
	}
}
