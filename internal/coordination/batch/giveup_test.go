package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// changedRoute returns the route of the jobs that accept submits, with changes.
func changedRoute(change func(r *wire.RouteRule)) *wire.RouteRule {
	r := batchRoute()
	change(r)
	return r
}

// countResults returns the number of results of a job that are done and that are
// given up. Each item may have one.
func countResults(t *testing.T, ctx context.Context, jobs *batch.Jobs, id string) (done, failed int) {
	t.Helper()
	_, l, e := jobs.Results(ctx, id, 0, 0)
	if e != nil {
		t.Fatal(e)
	}
	m := map[string]bool{}
	for _, x := range l {
		if m[x.GetId()] {
			t.Error("item is listed twice:", x.GetId())
		}
		m[x.GetId()] = true
		if x.GetFailed() {
			failed++
		} else {
			done++
		}
	}
	return done, failed
}

// Guards against items of an accepted job that are neither run nor given up, because
// the configuration that allowed them has changed, and against items that are given up
// although a later version allows them again. Items that run when it changes are
// listed as what they are.
func TestItemsOfChangedRouteWaitForEver(t *testing.T) {
	o := changedRoute(func(r *wire.RouteRule) { r.SetBatch(false) })
	w := changedRoute(func(r *wire.RouteRule) { r.SetBatch(false); r.SetPrefix("/") })
	h := changedRoute(func(r *wire.RouteRule) { r.SetHost("other") })
	v := changedRoute(func(r *wire.RouteRule) { r.GetShares()[0].SetService("none"); r.SetMaxWaitMs(20_000) })
	for _, k := range []struct {
		name string
		// The routes after half a second, and those after the time until back.
		routes []*wire.RouteRule
		back   time.Duration
		// Done and given up items 4 s, 8 s and 25 s after that.
		want [][2]int
	}{
		{"removed", nil, time.Hour, [][2]int{{8, 0}, {8, 12}, {8, 12}}},
		{"host gone", []*wire.RouteRule{h}, time.Hour, [][2]int{{8, 0}, {8, 12}, {8, 12}}},
		{"online now", []*wire.RouteRule{o}, time.Hour, [][2]int{{8, 0}, {8, 12}, {8, 12}}},
		{"removed beside a wider one", []*wire.RouteRule{w}, time.Hour, [][2]int{{8, 0}, {8, 12}, {8, 12}}},
		{"moved to a service without servers", []*wire.RouteRule{v}, time.Hour, [][2]int{{8, 0}, {8, 0}, {8, 12}}},
		{"moved, back in time", []*wire.RouteRule{v}, 12 * time.Second, [][2]int{{8, 0}, {8, 0}, {20, 0}}},
		{"removed, back soon", nil, 3 * time.Second, [][2]int{{8, 0}, {20, 0}, {20, 0}}},
	} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				j := newJobs(t, ctx, "a", store, engine, valueBytes)
				accept(t, ctx, j, "job", 20)
				time.Sleep(500 * time.Millisecond)
				store.setRoutes(k.routes...)
				time.AfterFunc(k.back, func() { store.setRoutes(batchRoute()) })
				var l [][2]int
				for _, d := range []time.Duration{4 * time.Second, 4 * time.Second, 17 * time.Second} {
					time.Sleep(d)
					n, m := countResults(t, ctx, j, "job")
					l = append(l, [2]int{n, m})
				}
				if d := cmp.Diff(k.want, l); d != "" {
					t.Error(d)
				}
				time.Sleep(time.Hour)
			})
		})
	}
}

// Guards against items of a removed route that nobody gives up, or that are listed
// twice, when their job is handed over or its front is lost meanwhile.
func TestItemsOfRemovedRouteOutliveTheirFront(t *testing.T) {
	for _, x := range []bool{false, true} {
		withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
			r := newCluster(ctx, store, engine, "front-1", "front-2", "front-3")
			r.advance(5*time.Second, "")
			accept(t, ctx, r.jobs["front-1"], "job", 30)
			r.advance(500*time.Millisecond, "")
			store.setRoutes()
			r.advance(4500*time.Millisecond, "")
			if x {
				c, f := context.WithCancel(ctx)
				f()
				r.jobs["front-1"].Drain(c)
			} else {
				store.peers.remove("front-1")
				r.deaf = "front-1"
			}
			r.advance(15*time.Second, "front-1")
			n, m := countResults(t, ctx, r.jobs["front-2"], "job")
			if d := cmp.Diff([]int{8, 22}, []int{n, m}); d != "" {
				t.Error(x, d)
			}
			r.advance(time.Minute, "front-1")
		})
	}
}

// Guards against an item that no run completes and that is never given up, and against
// one that is given up before the wait is over that its route allows, or because it
// waits for a slot.
func TestItemWithoutSuccessIsNeverGivenUp(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.setRoutes(changedRoute(func(r *wire.RouteRule) { r.SetMaxWaitMs(20_000) }))
		engine.loseItem("i0")
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "job", 200)
		var l [][2]int
		for _, d := range []time.Duration{19 * time.Second, 6 * time.Second, 20 * time.Second} {
			time.Sleep(d)
			n, m := countResults(t, ctx, j, "job")
			l = append(l, [2]int{min(n, 1), m})
			if d == 20*time.Second && n != 199 {
				t.Error("sound items done:", n)
			}
		}
		if d := cmp.Diff([][2]int{{1, 0}, {1, 1}, {1, 1}}, l); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an item that a second owner gives up too soon because the clocks of
// two hosts differ.
func TestItemIsGivenUpTooSoonByOtherClock(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.setRoutes(changedRoute(func(r *wire.RouteRule) { r.SetMaxWaitMs(20_000) }))
		engine.loseItem("i0")
		r := newCluster(ctx, store, engine, "front-1", "front-2")
		r.advance(5*time.Second, "")
		accept(t, ctx, r.jobs["front-1"], "job", 1)
		// The clock of the first host is four seconds behind.
		store.changeJob(t, "job", func(j *wire.BatchJob) { j.SetAcceptedUnixMs(j.GetAcceptedUnixMs() - 4000) })
		store.peers.unreachable = true
		c, f := context.WithCancel(ctx)
		f()
		r.jobs["front-1"].Drain(c)
		r.jobs["front-2"].TriggerReconcile()
		r.advance(19*time.Second, "front-1")
		_, n := countResults(t, ctx, r.jobs["front-2"], "job")
		r.advance(10*time.Second, "front-1")
		_, m := countResults(t, ctx, r.jobs["front-2"], "job")
		if d := cmp.Diff([]int{0, 1}, []int{n, m}); d != "" {
			t.Error(d)
		}
	})
}
