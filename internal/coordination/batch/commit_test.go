package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
)

// Guards against a front that repeats a write of results without a pause, and reads
// them each time, while the platform answers each write with an error that says
// nothing of its outcome.
func TestFailedWriteIsRepeatedWithoutPause(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.failWrites("batch-results", newError(trail.ErrUnavailable, trail.MayHaveRun))
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "job", 5)
		time.Sleep(10 * time.Second)
		if n, r := store.failedWrites, store.getCount("batch-results"); n == 0 || n > 13 || r > 13 {
			t.Error("writes and reads of results in 9 s:", n, r)
		}
		store.failWrites("", nil)
		time.Sleep(2 * time.Second)
		if d := cmp.Diff(5, len(listResults(t, ctx, j, "job"))); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a write that the platform refuses, as too large for instance, and
// that is repeated for as long as the caller waits.
func TestRefusedWriteIsRepeated(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.failWrites("batch-inputs", trail.NewError("platform-refused", trail.NotRun, "refused"))
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		c, f := context.WithTimeout(ctx, 2*time.Second)
		defer f()
		e := j.Accept(c, batchRoute(), "", "job", "h", "/b/1", newItems(1))
		if d := cmp.Diff([]any{"platform-refused", trail.NotRun, 1}, []any{trail.CodeOf(e), trail.VerdictOf(e), store.failedWrites}); d != "" {
			t.Error(d)
		}
	})
}
