package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
)

// Guards against a job that is reported as not run although a write of its object is of
// unknown outcome, and may be stored later, and against items of a job that run although
// the platform has refused each write of its object.
func TestJobOfDelayedWriteIsReportedAsNotRun(t *testing.T) {
	l := []struct {
		name string
		// Outcome of the first writes of the object; later ones are refused.
		first trail.Verdict
		want  string
	}{
		{"refused", trail.NotRun, "failed not-run"},
		{"unanswered, then refused", trail.MayHaveRun, "failed may-have-run"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				a := newJobs(t, ctx, "a", store, engine, valueBytes)
				store.failWrites("batch-jobs", newError(trail.ErrUnavailable, k.first))
				time.AfterFunc(100*time.Millisecond, func() { store.failWrites("batch-jobs", newError(trail.ErrUnavailable, trail.NotRun)) })
				c, f := context.WithTimeout(ctx, time.Second)
				defer f()
				e := a.Accept(c, batchRoute(), "", "job", "h", "/b/1", newItems(2))
				store.failWrites("", nil)
				time.Sleep(20 * time.Second)
				if d := cmp.Diff([]any{k.want, 0}, []any{trail.CodeOf(e) + " " + trail.VerdictOf(e).String(), engine.itemCount()}); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against items that run at two fronts at a time: the first creation of the job by one
// front had no answer and no effect, the caller handed the job in at another front, and the
// first one takes the object there for its own.
func TestJobOfLostCreationRunsAtTwoFronts(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "a", "b")
		r.advance(2*time.Second, "")
		store.failWrites("batch-jobs", newError(trail.ErrUnavailable, trail.MayHaveRun))
		l := newItems(4)
		time.AfterFunc(100*time.Millisecond, func() {
			store.failWrites("", nil)
			if e := r.jobs["b"].Accept(ctx, batchRoute(), "", "job", "h", "/b/1", l); e != nil {
				t.Error(e)
			}
		})
		if e := r.jobs["a"].Accept(ctx, batchRoute(), "", "job", "h", "/b/1", l); e != nil {
			t.Error(e)
		}
		r.advance(10*time.Second, "")
		for _, i := range l {
			if d := cmp.Diff(1, engine.runCount(i.GetId())); d != "" {
				t.Error(i.GetId(), d)
			}
		}
	})
}
