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

// acceptOutcome offers a job of five items to a front, on a route with a quota of 1,000
// tokens, and returns the error's code and verdict.
func acceptOutcome(ctx context.Context, jobs *batch.Jobs, id string) string {
	e := jobs.Accept(ctx, id, "h", "/q/1", newItemsWithTokens(5))
	if e == nil {
		return "accepted"
	}
	return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
}

// Guards against accepted jobs beyond the quota of a route, at whichever front
// they arrive, against a job that is rejected when it comes again, and against
// room that stays taken when items are done or a job is ended.
func TestQuota(t *testing.T) {
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
		// All items of one job are done after some seconds, and the end of the
		// other one gives its room back.
		if e := a.End(ctx, "j1"); e != nil {
			t.Error(e)
		}
		// As the datagrams of b tell.
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

// Guards against a platform that can't tell whether there is room: a job is
// turned away as not run, and kept waiting no longer than its caller allows.
func TestQuotaWhilePlatformIsAway(t *testing.T) {
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

// quotaRoute is a route like the other one, with a quota.
func quotaRoute() *wire.RouteRule {
	return wire.RouteRule_builder{
		Name: proto.String("quota"), Host: proto.String("h"), Prefix: proto.String("/q/"), Attempts: proto.Int32(3), DueMs: proto.Int64(18000),
		Batch: proto.Bool(true), WaitingTokens: proto.Int64(1000),
		Shares: []*wire.RouteShare{wire.RouteShare_builder{Service: proto.String("v"), Weight: proto.Float64(1)}.Build()},
	}.Build()
}
