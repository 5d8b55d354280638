package batch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// handToStaleFront lets front-1 accept a job of eight items under the configuration now,
// and hands it to front-2, which has the configuration before, none of the job's routes
// if that is nil. It returns the numbers of done and given up items after each time.
func handToStaleFront(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine, before, now []*wire.RouteRule, readable bool, change func(), times ...time.Duration) [][2]int {
	t.Helper()
	r := newCluster(ctx, store, engine, "front-1", "front-2")
	store.setRoutes(before...)
	store.setOldRoutes("front-2", readable)
	r.advance(4*time.Second, "")
	store.setRoutes(now...)
	accept(t, ctx, r.jobs["front-1"], "job", 8)
	c, f := context.WithCancel(ctx)
	f()
	r.jobs["front-1"].Drain(c)
	var l [][2]int
	for _, d := range times {
		r.advance(d, "front-1")
		n, m := countResults(t, ctx, r.jobs["front-2"], "job")
		l = append(l, [2]int{n, m})
		change()
		change = func() {}
	}
	return l
}

// Guards against items of an accepted job that are given up because the front which runs
// it has an old configuration: one that lacks their route, or one that removed it before
// it came back. They wait, run as soon as the front can read the newest one, and are
// given up once that one has no route for them either.
func TestItemsAreGivenUpByOldConfiguration(t *testing.T) {
	b := []*wire.RouteRule{batchRoute()}
	for _, k := range []struct {
		name string
		// The newest configuration when the job has been handed over, and 9 s later.
		now, later []*wire.RouteRule
		// The front can read the newest configuration from the start.
		readable bool
		// Done and given up items after 9 s, 4 s and 8 s more.
		want [][2]int
	}{
		{"route is there", b, b, false, [][2]int{{0, 0}, {8, 0}, {8, 0}}},
		{"route is there and can be read", b, b, true, [][2]int{{8, 0}, {8, 0}, {8, 0}}},
		{"route is removed after a while", b, nil, false, [][2]int{{0, 0}, {0, 0}, {0, 8}}},
		{"route is there, and nothing can be read for long", b, b, false, [][2]int{{0, 0}, {0, 0}, {0, 0}}},
	} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				f := func() {
					store.setRoutes(k.later...)
					store.mu.Lock()
					defer store.mu.Unlock()
					store.routesUnreadable["front-2"] = k.want[2] == [2]int{}
				}
				l := handToStaleFront(t, ctx, store, engine, nil, k.now, k.readable, f, 9*time.Second, 4*time.Second, 8*time.Second)
				if d := cmp.Diff(k.want, l); d != "" {
					t.Error(d)
				}
				if n := store.routesReadCount(); n > 30 {
					t.Error("reads of the configuration:", n)
				}
				time.Sleep(time.Hour)
			})
		})
	}
}

// Guards against items that are given up by the attempts or by the longest wait of an
// old version of their route.
func TestItemsAreGivenUpByOldVersionOfRoute(t *testing.T) {
	for _, k := range []struct {
		name   string
		before func(r *wire.RouteRule)
		now    func(r *wire.RouteRule)
		// Makes an item fail.
		fail func(engine *fakeEngine)
		// Done and given up items after 9 s and 10 s, and the least runs of the item.
		want [][2]int
		runs int
	}{
		{
			"attempts", func(r *wire.RouteRule) { r.SetAttempts(1) }, func(r *wire.RouteRule) { r.SetAttempts(3) },
			func(g *fakeEngine) { g.failItem("i0") },
			[][2]int{{7, 0}, {7, 1}},
			3,
		},
		{
			"wait", func(r *wire.RouteRule) { r.SetMaxWaitMs(3000) }, func(r *wire.RouteRule) { r.SetMaxWaitMs(60_000) },
			func(g *fakeEngine) { g.loseItem("i0") },
			[][2]int{{7, 0}, {7, 0}},
			2,
		},
	} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				k.fail(engine)
				f := func() {
					store.mu.Lock()
					defer store.mu.Unlock()
					store.routesUnreadable["front-2"] = false
				}
				l := handToStaleFront(t, ctx, store, engine, []*wire.RouteRule{changedRoute(k.before)}, []*wire.RouteRule{changedRoute(k.now)}, false, f, 9*time.Second, 10*time.Second)
				if d := cmp.Diff(k.want, l); d != "" {
					t.Error(d)
				}
				if n := engine.runCount("i0"); n < k.runs {
					t.Error("runs of the item:", n)
				}
				time.Sleep(time.Hour)
			})
		})
	}
}

// Guards against a job that is handed over to a front which the platform turns away,
// while it answers another one.
func TestJobIsHandedToTurnedAwayFront(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "front-1", "front-2", "front-3")
		r.troubled = "front-2"
		r.advance(4*time.Second, "")
		var l []string
		for n := range 8 {
			l = append(l, fmt.Sprint("job-", n))
			accept(t, ctx, r.jobs["front-1"], l[n], 8)
		}
		c, f := context.WithCancel(ctx)
		f()
		r.jobs["front-1"].Drain(c)
		r.advance(time.Second, "front-1")
		m := map[string]int{}
		for _, i := range l {
			m[store.owner(i)]++
		}
		if d := cmp.Diff(map[string]int{"front-3": 8}, m); d != "" {
			t.Error(d)
		}
		r.advance(time.Minute, "front-1")
	})
}
