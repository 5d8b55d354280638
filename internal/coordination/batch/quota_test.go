package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// newItemsWithTokens returns items of 100 tokens each.
func newItemsWithTokens(n int) []*wire.BatchItem {
	l := newItems(n)
	for _, i := range l {
		i.SetTokens(100)
	}
	return l
}

// acceptOutcome submits a job of five items, 500 tokens, to a front on a route
// with a quota of 1,000 tokens. It returns "accepted" or the error's code and
// verdict.
func acceptOutcome(ctx context.Context, jobs *batch.Jobs, id string) string {
	e := jobs.Accept(ctx, quotaRoute(), "", id, "h", "/q/1", newItemsWithTokens(5))
	if e == nil {
		return "accepted"
	}
	return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
}

// Guards against jobs accepted beyond the quota of a route by any two fronts,
// against a repeated submission of an accepted job that is rejected, and
// against tokens that stay reserved after items are done or a job has ended.
func TestJobsAreAcceptedWithinQuota(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		a, b := newJobs(t, ctx, "a", store, engine, valueBytes), newJobs(t, ctx, "b", store, engine, valueBytes)
		l := []string{acceptOutcome(ctx, a, "j1"), acceptOutcome(ctx, b, "j2"), acceptOutcome(ctx, b, "j3"), acceptOutcome(ctx, b, "j1")}
		w := []string{"accepted", "accepted", "quota-exceeded not-run", "accepted"}
		if d := cmp.Diff(w, l); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(0, engine.runCount("j3")); d != "" {
			t.Error(d)
		}
		// The items of j2 are done after some seconds, and the end of j1 frees
		// its reservation.
		if e := a.End(ctx, "j1"); e != nil {
			t.Error(e)
		}
		// The heartbeats of b would publish this.
		if b.QuotaNearLimit() {
			a.MarkPeerQuotaNearLimit()
		}
		time.Sleep(time.Second)
		l = []string{acceptOutcome(ctx, b, "j3"), acceptOutcome(ctx, a, "j4")}
		time.Sleep(20 * time.Second)
		l = append(l, acceptOutcome(ctx, a, "j4"), acceptOutcome(ctx, b, "j5"), acceptOutcome(ctx, b, "j2"))
		w = []string{"accepted", "quota-exceeded not-run", "accepted", "accepted", "accepted"}
		if d := cmp.Diff(w, l); d != "" {
			t.Error(d)
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against a caller that waits past its deadline, or receives another
// verdict than not-run, while the platform is unavailable and the quota can't
// be checked.
func TestQuotaIsUnsettledWhilePlatformIsUnavailable(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		a := newJobs(t, ctx, "a", store, engine, valueBytes)
		store.setUnavailable(true)
		b := time.Now()
		d, f := context.WithTimeout(ctx, 500*time.Millisecond)
		defer f()
		l := []string{acceptOutcome(d, a, "j1")}
		if time.Since(b) > 600*time.Millisecond {
			t.Error("caller waited", time.Since(b))
		}
		store.setUnavailable(false)
		time.Sleep(3 * time.Second)
		l = append(l, acceptOutcome(ctx, a, "j1"))
		if d := cmp.Diff([]string{"quota-unsettled not-run", "accepted"}, l); d != "" {
			t.Error(d)
		}
		time.Sleep(20 * time.Second)
	})
}

// quotaRoute returns a route like that of newJobsWithFleet, but with a quota.
func quotaRoute() *wire.RouteRule {
	return wire.RouteRule_builder{
		Name: proto.String("quota"), Host: proto.String("h"), Prefix: proto.String("/q/"), Attempts: proto.Int32(3), DueMs: proto.Int64(18000),
		Batch: proto.Bool(true), WaitingTokens: proto.Int64(1000),
		Shares: []*wire.RouteShare{wire.RouteShare_builder{Service: proto.String("v"), Weight: proto.Float64(1)}.Build()},
	}.Build()
}
