package jobs_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

func cancelJob(job *wire.Job) { job.SetState(wire.JobState_JOB_STATE_CANCELLING) }

// hangAfterTenCalls answers the first ten calls and lets all later ones run
// until they are cancelled.
func hangAfterTenCalls(fixture *fixture) {
	fixture.caller.answer = func(_ string, _ int) (*wire.Head, *wire.End) {
		n := 0
		for _, c := range fixture.caller.calls {
			n += c
		}
		if n > 10 {
			return nil, nil
		}
		return head(200), end("", wire.Verdict_VERDICT_RAN)
	}
}

// Guards against a cancelled job that keeps its calls in flight, loses finished
// results or starts more calls.
func TestCancelStopsCallsAndKeepsResults(t *testing.T) {
	run(t, 500, func(w *fixture) {
		hangAfterTenCalls(w)
		w.start("a", newViews("a"), nil)
		time.Sleep(5 * time.Second)
		w.update(cancelJob)
		synctest.Wait()
		n := w.caller.totalCalls()
		time.Sleep(time.Minute)
		w.expectCounts(map[string]int{"cancelled": 1, "success 200": 10})
		if d := cmp.Diff(n, w.caller.totalCalls()); d != "" {
			w.t.Fatal(d)
		}
	})
}

// A job is being cancelled when another scheduler acquires it. The new owner
// must end it without another call, and an update of the first owner that takes
// effect late must not set the job back to a state before the cancellation.
func TestLateUpdateDoesNotUndoCancellation(t *testing.T) {
	run(t, 500, func(w *fixture) {
		hangAfterTenCalls(w)
		v := newViews("a")
		w.start("a", v, func(o string) fault {
			// The first update after the job was acquired takes effect late.
			if o == "update jobs" && w.caller.totalCalls() > 0 {
				return appliedLate
			}
			return noFault
		})
		time.Sleep(1050 * time.Millisecond)
		w.update(cancelJob)
		n := w.caller.totalCalls()
		w.start("b", newViews("b"), nil)
		time.Sleep(5 * time.Minute)
		if d := cmp.Diff(wire.JobState_JOB_STATE_CANCELLED, w.job().GetState()); d != "" {
			w.t.Fatal(d)
		}
		w.results()
		if d := cmp.Diff(n, w.caller.totalCalls()); d != "" {
			w.t.Fatal(d)
		}
		f := false
		for _, j := range w.platform.history {
			if f && j.GetState() != wire.JobState_JOB_STATE_CANCELLED {
				w.t.Fatal("state of the job changed after it was cancelled")
			}
			f = j.GetState() == wire.JobState_JOB_STATE_CANCELLED
		}
	})
}

// Guards against wrong retries: an item whose answer is missing or a server error
// on each attempt must fail after its fifth, and an item that is rejected,
// refused or preempted many times must still run.
func TestItemFailsOnlyAfterItsAttempts(t *testing.T) {
	run(t, 20, func(w *fixture) {
		w.caller.answer = func(d string, n int) (*wire.Head, *wire.End) {
			switch {
			case d == "i0" && n < 10:
				return nil, end("request-rejected", wire.Verdict_VERDICT_NOT_RUN)
			case d == "i1":
				return nil, end("runner-lost", wire.Verdict_VERDICT_MAY_HAVE_RUN)
			case d == "i2":
				return head(500), end("", wire.Verdict_VERDICT_RAN)
			case d == "i3" && n < 10:
				return nil, end("queue-full", wire.Verdict_VERDICT_NOT_RUN)
			case d == "i4" && n < 10:
				return nil, end("preempted", wire.Verdict_VERDICT_MAY_HAVE_RUN)
			case d == "i5" && n < 10:
				return head(503), end("", wire.Verdict_VERDICT_RAN)
			}
			return head(200), end("", wire.Verdict_VERDICT_RAN)
		}
		w.start("a", newViews("a"), nil)
		time.Sleep(10 * time.Minute)
		w.expectCounts(map[string]int{
			"completed": 1, "success 200": 18,
			"failure runner-lost": 1, "failure 500": 1,
		})
		g := map[string]int{}
		for d, n := range w.caller.calls {
			if n > 1 {
				g[d] = n
			}
		}
		if d := cmp.Diff(map[string]int{"i0": 10, "i1": 5, "i2": 5, "i3": 10, "i4": 10, "i5": 10}, g); d != "" {
			w.t.Fatal(d)
		}
	})
}

// Guards against a sound item that is given up because backend servers were lost
// under it in a burst of crashes: afterwards all is calm and it must run.
func TestUnluckyItemIsGivenUp(t *testing.T) {
	run(t, 3, func(w *fixture) {
		w.caller.answer = func(d string, n int) (*wire.Head, *wire.End) {
			switch {
			case d == "i0" && n < 8:
				return nil, end("backend-lost", wire.Verdict_VERDICT_MAY_HAVE_RUN)
			case d == "i1" && n < 3:
				return nil, end("request-rejected", wire.Verdict_VERDICT_NOT_RUN)
			}
			return head(200), end("", wire.Verdict_VERDICT_RAN)
		}
		w.start("a", newViews("a"), nil)
		time.Sleep(30 * time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 3})
	})
}

// Guards against a job that loads a service which refuses all calls. It must not
// send more calls than the retry-after allows, and must resume afterwards.
func TestRefusedJobRespectsRetryAfter(t *testing.T) {
	run(t, 300, func(w *fixture) {
		s := time.Now()
		w.caller.answer = func(_ string, _ int) (*wire.Head, *wire.End) {
			if time.Since(s) < 5*time.Minute {
				n := end("queue-full", wire.Verdict_VERDICT_NOT_RUN)
				n.SetRetryAfterMs(5000)
				return nil, n
			}
			return head(200), end("", wire.Verdict_VERDICT_RAN)
		}
		w.start("a", newViews("a"), nil)
		time.Sleep(4 * time.Minute)
		// The initial limit of 8, half of it, a quarter of it, then one call per 5 s.
		if n := w.caller.totalCalls(); n > 8+4+2+4*60/5 {
			w.t.Fatalf("%d calls in 4 minutes while the service refuses all", n)
		}
		time.Sleep(10 * time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 300})
	})
}

// Guards against sound items that wait for those of their job that are too large.
func TestOversizedItemsDelayTheirJob(t *testing.T) {
	run(t, 300, func(w *fixture) {
		w.caller.answer = func(id string, _ int) (*wire.Head, *wire.End) {
			if len(id) < len("i200") || id < "i200" {
				return nil, end("request-too-large", wire.Verdict_VERDICT_NOT_RUN)
			}
			return head(200), end("", wire.Verdict_VERDICT_RAN)
		}
		w.start("a", newViews("a"), nil)
		time.Sleep(2 * time.Minute)
		w.expectCounts(map[string]int{"in_progress": 1, "success 200": 100})
	})
}

// Guards against uncommitted results that grow without limit, or get lost, while
// the platform is down. The job must continue until they reach 8 MB, then pause,
// and commit everything once the platform is back.
func TestPlatformOutageBoundsPendingResults(t *testing.T) {
	run(t, 120, func(w *fixture) {
		w.caller.answerSize = 100_000
		var d atomic.Bool
		w.start("a", newViews("a"), func(o string) fault {
			if d.Load() && o != "read" && o != "put" {
				return requestRefused
			}
			return noFault
		})
		time.Sleep(50 * time.Millisecond)
		d.Store(true)
		time.Sleep(10 * time.Minute)
		// 8 MB hold 84 results. The first 16 calls start before the average size
		// of a result is known.
		n := w.caller.totalCalls()
		if n < 80 || n > 84+16 {
			w.t.Fatalf("%d calls during the outage", n)
		}
		w.expectCounts(map[string]int{"in_progress": 1})
		d.Store(false)
		time.Sleep(10 * time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 120})
		w.expectSingleCalls()
	})
}

// Guards against items without a result after the deadline. Items that are in
// flight, queued or not yet read at the deadline must fail with their custom
// ids.
func TestDeadlineFailsRemainingItems(t *testing.T) {
	run(t, 500, func(w *fixture) {
		hangAfterTenCalls(w)
		w.start("a", newViews("a"), nil)
		time.Sleep(2 * time.Hour)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 10, "failure deadline-passed": 490})
		if _, f := w.results()["i499"]; !f {
			w.t.Fatal("no result with the custom id of the last item")
		}
	})
}

// Guards against a job that never ends because its input file does not exist.
// It must end as failed.
func TestMissingInputFailsJob(t *testing.T) {
	run(t, 5, func(w *fixture) {
		w.update(func(j *wire.Job) { j.SetInputFileId("f2") })
		w.start("a", newViews("a"), nil)
		time.Sleep(time.Minute)
		w.expectCounts(map[string]int{"failed": 1})
	})
}

// Guards against a shutdown that loses or repeats items. A draining scheduler
// must start no calls, let those in flight end in time, commit the finished
// results, and leave the remaining items to the next owner.
func TestDrainCommitsAndHandsOver(t *testing.T) {
	run(t, 2000, func(w *fixture) {
		w.caller.delay = 3 * time.Second
		v := newViews("a")
		s, _ := w.start("a", v, nil)
		time.Sleep(10 * time.Second)
		n := w.caller.totalCalls()
		c, f := context.WithTimeout(w.ctx, time.Minute)
		defer f()
		e := s.Drain(c)
		if e != nil {
			w.t.Fatal(e)
		}
		if d := cmp.Diff([]int{n, n}, []int{w.caller.totalCalls(), len(w.results())}); d != "" {
			w.t.Fatal(d)
		}
		w.start("b", newViews("b"), nil)
		time.Sleep(10 * time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 2000})
		w.expectSingleCalls()
	})
}

// Guards against a drain that waits for hanging calls beyond its deadline.
func TestDrainEndsDespiteHangingCalls(t *testing.T) {
	run(t, 500, func(w *fixture) {
		hangAfterTenCalls(w)
		s, _ := w.start("a", newViews("a"), nil)
		time.Sleep(500 * time.Millisecond)
		c, f := context.WithTimeout(w.ctx, time.Minute)
		defer f()
		e := s.Drain(c)
		if d := cmp.Diff(nil, e); d != "" {
			w.t.Fatal(d)
		}
		w.expectCounts(map[string]int{"in_progress": 1, "success 200": 10})
	})
}

// Guards against a job object that outgrows the size limit of the platform: a
// job with many segments must commit less often, because the list of its
// segments is stored in the job object.
func TestManySegmentsLowerCommitRate(t *testing.T) {
	run(t, 20, func(w *fixture) {
		w.update(func(j *wire.Job) {
			for range 1000 {
				j.SetResults(append(j.GetResults(), &wire.Segment{}))
			}
		})
		w.start("a", newViews("a"), nil)
		time.Sleep(49 * time.Second)
		w.expectCounts(map[string]int{"in_progress": 1})
		time.Sleep(10 * time.Second)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 20})
	})
}

// Guards against too many writes to the platform: with many unfinished jobs in
// the system each must commit less often, so that all together write at most 100
// times a second.
func TestManyJobsLowerCommitRate(t *testing.T) {
	run(t, 20, func(w *fixture) {
		m := []*wire.Member{{}, {}}
		m[0].SetId("a")
		m[1].SetId("b")
		for i := range m {
			m[i].SetRole("sched")
		}
		// Jobs of the other scheduler, which does not run in this test.
		for i, n := 0, 0; n < 499; i++ {
			j := &wire.Job{}
			j.SetId(fmt.Sprint("x", i))
			j.SetState(wire.JobState_JOB_STATE_IN_PROGRESS)
			if owner.First(m, "sched", j.GetId(), "").GetId() != owner.First(m, "sched", "j1", "").GetId() {
				w.create("jobs", j.GetId(), j)
				n++
			}
		}
		w.start(owner.First(m, "sched", "j1", "").GetId(), newViews("a", "b"), nil)
		time.Sleep(4900 * time.Millisecond)
		w.expectCounts(map[string]int{"in_progress": 1})
		time.Sleep(200 * time.Millisecond)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 20})
	})
}

// Guards against a busy loop when the platform closes each watch at once: one
// watch per second is allowed. A job that is cancelled meanwhile must still end
// by the time a drain is complete.
func TestClosedWatchIsRetriedWithPause(t *testing.T) {
	run(t, 500, func(w *fixture) {
		hangAfterTenCalls(w)
		var n atomic.Int64
		s, _ := w.start("a", newViews("a"), func(o string) fault {
			if o == "watch jobs" {
				n.Add(1)
				time.AfterFunc(time.Millisecond, w.platform.closeWatches)
			}
			return noFault
		})
		time.Sleep(10500 * time.Millisecond)
		if d := cmp.Diff(int64(11), n.Load()); d != "" {
			w.t.Fatal(d)
		}
		w.update(cancelJob)
		c, f := context.WithTimeout(w.ctx, time.Minute)
		defer f()
		e := s.Drain(c)
		if e != nil {
			w.t.Fatal(e)
		}
		w.expectCounts(map[string]int{"cancelled": 1, "success 200": 10})
	})
}
