package batch_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/batch"
)

const (
	valueBytes  = 1 << 20
	outputBytes = 2 << 20
)

// withFakes runs a test under a fake clock with a store and an engine.
func withFakes(t *testing.T, test func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine)) {
	synctest.Test(t, func(t *testing.T) {
		c, o := context.WithCancel(t.Context())
		test(t, c, newStore(), &fakeEngine{runs: map[string]int{}, failing: map[string]bool{}})
		o()
		synctest.Wait()
	})
}

func accept(t *testing.T, ctx context.Context, jobs *batch.Jobs, id string, n int) {
	t.Helper()
	e := jobs.Accept(ctx, batchRoute(), "", id, "h", "/b/1", newItems(n))
	if e != nil {
		t.Fatal(e)
	}
}

// listResults returns all results of a job, each as id and output.
func listResults(t *testing.T, ctx context.Context, jobs *batch.Jobs, id string) []string {
	t.Helper()
	_, l, e := jobs.Results(ctx, id, 0, 0)
	if e != nil {
		t.Fatal(e)
	}
	var r []string
	for _, x := range l {
		r = append(r, x.GetId()+" "+x.GetOutput())
	}
	return r
}

// Guards against results that are lost, listed twice or change their position
// when the list of a job spans several objects and two fronts run the same job.
func TestResultsKeepPositionAcrossObjectsAndOwners(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		// Each object has room for a few results only.
		p := newJobs(t, ctx, "front-1", store, engine, 1000)
		accept(t, ctx, p, "job", 20)
		time.Sleep(2500 * time.Millisecond)
		b := listResults(t, ctx, p, "job")
		// The other front receives no heartbeats and takes the job over.
		q := newJobs(t, ctx, "front-2", store, engine, 1000)
		time.Sleep(20 * time.Second)
		l := listResults(t, ctx, q, "job")
		if d := cmp.Diff(b, l[:len(b)]); d != "" {
			t.Error("results have changed their position:", d)
		}
		m := map[string]int{}
		for _, r := range l {
			m[r]++
		}
		w := map[string]int{}
		for _, i := range newItems(20) {
			w[i.GetId()+" "+wantOutput(i.GetId())] = 1
		}
		if d := cmp.Diff(w, m); d != "" {
			t.Error(d)
		}
		if n := len(store.keys()); n < 6 {
			t.Error("results do not span several objects:", store.keys())
		}
	})
}

// Guards against a list of results that no longer grows, or items that run
// again, after the response to an update of it was lost.
func TestResultsAreListedAfterLostResponse(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
		accept(t, ctx, p, "job", 3)
		time.Sleep(900 * time.Millisecond)
		store.mu.Lock()
		store.loseAnswer = true
		store.mu.Unlock()
		time.Sleep(10 * time.Second)
		if d := cmp.Diff(3, len(listResults(t, ctx, p, "job"))); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(map[string]int{"i0": 1, "i1": 1, "i2": 1}, engine.runs); d != "" {
			t.Error(d)
		}
	})
}

// Guards against results that one front has served and another front with stale
// reads does not, against a new job that such a front does not find, and
// against current reads where stale ones suffice.
func TestResultsAreMonotonicOverStaleReads(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.staleness = 3 * time.Second
		p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
		q := newJobs(t, ctx, "front-2", store, engine, valueBytes)
		accept(t, ctx, p, "job", 40)
		for b := 0; b < 40; {
			time.Sleep(time.Second)
			_, a, e := q.Results(ctx, "job", max(b-1, 0), 0)
			if b > 0 && len(a) == 0 || e != nil {
				t.Fatal("result that was served a second ago is gone:", b, e)
			}
			_, a, e = p.Results(ctx, "job", b, 0)
			if e != nil {
				t.Fatal(e)
			}
			b += len(a)
		}
		time.Sleep(10 * time.Second)
		n := store.getCount("batch-results")
		r := newJobs(t, ctx, "front-3", store, engine, valueBytes)
		if d := cmp.Diff([]int{40, n}, []int{len(listResults(t, ctx, r, "job")), store.getCount("batch-results")}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an item that is given up before the attempts of its route, or
// that runs more than three times as often. The route allows three; the first
// owner tries six times, and a later one three more.
func TestFailingItemRunsWithinAttempts(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		engine.failItem("i0")
		p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
		accept(t, ctx, p, "job", 1)
		time.Sleep(30 * time.Second)
		n := engine.runCount("i0")
		_, l, e := p.Results(ctx, "job", 0, 0)
		if e != nil || len(l) != 1 || !l[0].GetFailed() {
			t.Error("item was not given up:", l, e)
		}
		engine.failItem("i1")
		b, f := context.WithCancel(ctx)
		q := newJobs(t, b, "front-2", store, engine, valueBytes)
		_ = q.Accept(ctx, batchRoute(), "", "other", "h", "/b/1", newItems(2)[1:])
		time.Sleep(2 * time.Second)
		f()
		m := engine.runCount("i1")
		time.Sleep(40 * time.Second)
		if d := cmp.Diff([]int{6, 3}, []int{n, engine.runCount("i1") - m}); d != "" {
			t.Error(d, m)
		}
	})
}

// Guards against jobs that are never deleted from the platform, and against one
// that is deleted within its retention period.
func TestJobIsDeletedAfterRetention(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		p := newJobs(t, ctx, "front-1", store, engine, 1000)
		accept(t, ctx, p, "job", 10)
		time.Sleep(10 * time.Minute)
		if d := cmp.Diff(10, len(listResults(t, ctx, p, "job"))); d != "" {
			t.Error(d)
		}
		time.Sleep(10 * time.Minute)
		if d := cmp.Diff("", strings.Join(store.keys(), " ")); d != "" {
			t.Error(d)
		}
		_, _, e := p.Results(ctx, "job", 0, 0)
		if e == nil {
			t.Error("deleted job is still served")
		}
	})
}

// Guards against items that still start more than 3 s after the caller has
// ended their job at another front than its owner.
func TestEndAtOtherFrontStopsItems(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
		accept(t, ctx, p, "job", 200)
		q := newJobs(t, ctx, "front-2", store, engine, valueBytes)
		checkEndStopsItems(t, ctx, q, engine)
	})
}

// Guards against an ended job that continues to run because reconciliation
// reads a stale object, whether or not its owner could be notified.
func TestEndAtOtherFrontStopsItemsDespiteStaleReads(t *testing.T) {
	for _, x := range []bool{false, true} {
		withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
			store.staleness = 3 * time.Second
			store.peers.unreachable = x
			p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
			q := newJobs(t, ctx, "front-2", store, engine, valueBytes)
			accept(t, ctx, p, "job", 200)
			b := time.Now()
			checkEndStopsItems(t, ctx, q, engine)
			if d := time.Since(b); !x && d != 24*time.Second {
				t.Error("the end was not acknowledged without delay:", d)
			}
		})
	}
}

// Guards against an end that is acknowledged although the owner of the job
// could not be notified and may continue to run it.
func TestEndIsNotAcknowledgedBeforeOwnerStops(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.peers.unreachable = true
		p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
		q := newJobs(t, ctx, "front-2", store, engine, valueBytes)
		accept(t, ctx, p, "job", 10)
		b, f := context.WithTimeout(ctx, time.Second)
		defer f()
		e := q.End(b, "job")
		if d := cmp.Diff([]any{"end-not-heeded", trail.NotRun}, []any{trail.CodeOf(e), trail.VerdictOf(e)}); d != "" {
			t.Error(d)
		}
	})
}

// checkEndStopsItems ends the job at a front and checks that no item starts
// later than 3 s afterwards.
func checkEndStopsItems(t *testing.T, ctx context.Context, jobs *batch.Jobs, engine *fakeEngine) {
	t.Helper()
	time.Sleep(time.Second)
	e := jobs.End(ctx, "job")
	if e != nil {
		t.Fatal(e)
	}
	time.Sleep(3 * time.Second)
	n := engine.itemCount()
	time.Sleep(20 * time.Second)
	if d := cmp.Diff(n, engine.itemCount()); d != "" {
		t.Error(d)
	}
}

// Guards against a front that has run no job for a while, and reconciles its
// next one too late to notice that the caller has ended it.
func TestEndAtOtherFrontStopsItemsAfterIdleTime(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		p := newJobs(t, ctx, "front-1", store, engine, valueBytes)
		q := newJobs(t, ctx, "front-2", store, engine, valueBytes)
		time.Sleep(20 * time.Second)
		accept(t, ctx, p, "job", 200)
		checkEndStopsItems(t, ctx, q, engine)
	})
}
