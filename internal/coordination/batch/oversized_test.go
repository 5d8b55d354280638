package batch_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against items too large for all servers, or declined by all, that are given up late, too soon or never, and that hold up sound items and online requests.
func TestOversizedItemsHoldOthersUp(t *testing.T) {
	for c, m := range map[string]int64{"backend-busy": 0, "backend-busy known": 1000, "backend-declined": 0, "400": 0} {
		withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
			store.setRoutes(changedRoute(func(r *wire.RouteRule) { r.SetMaxWaitMs(20_000) }))
			engine.rejected, engine.rejection = "big-", strings.TrimSuffix(c, " known")
			f := fleet.New("a", "a")
			j := newJobsWithFleet(ctx, f, "a", store, engine, valueBytes)
			f.RecordMemory("s", 0, m)
			l := newItems(160)
			for _, i := range l[:150] {
				i.SetId(engine.rejected + i.GetId())
				i.SetTokens(2000)
			}
			_ = j.Accept(ctx, batchRoute(), "", "job", "h", "/b/1", l)
			accept(t, ctx, j, "neighbour", 10)
			// Done and given up items of both jobs 8 s, 19 s and 27 s after the start.
			var g [][4]int
			for d := 1; d <= 270; d++ {
				time.Sleep(100 * time.Millisecond)
				b, _, _ := f.AcquireOnline(time.Now(), "v", time.Second, time.Second, nil, 0)
				if b == nil {
					t.Fatal(c, "online request refused after", d)
				}
				f.ReleaseOnline("s", 50*time.Millisecond)
				if d == 80 || d == 190 || d == 270 {
					a, b := countResults(t, ctx, j, "job")
					x, y := countResults(t, ctx, j, "neighbour")
					g = append(g, [4]int{a, b, x, y})
				}
			}
			if d := cmp.Diff([][4]int{{10, 0, 10, 0}, {10, 0, 10, 0}, {10, 150, 10, 0}}, g); d != "" || m > 0 && engine.runCount("big-i0") > 0 {
				t.Error(c, "runs:", engine.runCount("big-i0"), d)
			}
		})
	}
}
