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
				e := a.Accept(c, "job", "h", "/b/1", newItems(2))
				store.failWrites("", nil)
				time.Sleep(20 * time.Second)
				if d := cmp.Diff([]any{k.want, 0}, []any{trail.CodeOf(e) + " " + trail.VerdictOf(e).String(), engine.itemCount()}); d != "" {
					t.Error(d)
				}
			})
		})
	}
}
