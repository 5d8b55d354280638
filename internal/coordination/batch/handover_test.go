package batch_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against a job without an owner after its hand-over to a front that has
// just started and does not take jobs over yet. That front must raise its
// released count, so that all fronts look for the job.
func TestJobHandedToStartingFrontIsReleased(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "front-1")
		r.advance(5*time.Second, "")
		accept(t, ctx, r.jobs["front-1"], "job", 10)
		r.names = append(r.names, "front-2")
		r.fleets["front-2"] = fleet.New("front-2", "a")
		r.jobs["front-2"] = newJobsWithFleet(ctx, r.fleets["front-2"], "front-2", store, engine, valueBytes)
		r.advance(500*time.Millisecond, "")
		d, f := context.WithTimeout(ctx, 100*time.Millisecond)
		defer f()
		r.jobs["front-1"].Drain(d)
		time.Sleep(100 * time.Millisecond)
		if d := cmp.Diff(uint32(1), r.jobs["front-2"].ReleaseCount()); d != "" {
			t.Error(d)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against every front listing all jobs each time that one front stops or
// goes silent. In a rolling restart of a large fleet the number of lists would
// grow with the square of its size.
func TestHandOverNeedsNoListByAllFronts(t *testing.T) {
	for _, k := range []struct {
		name string
		// The notice of the stopping front is lost.
		noticeLost bool
		// The front does not stop but goes silent.
		silent bool
		// Calls of List by all four fronts after the start.
		lists int
	}{
		{"stopping", false, false, 0},
		{"stopping, notice lost", true, false, 4},
		// One front for all.
		{"silent", false, true, 1},
	} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				store.staleness = 2 * time.Second
				r := newCluster(ctx, store, engine, "front-1", "front-2", "front-3", "front-4")
				r.advance(5*time.Second, "")
				b := store.listCount()
				accept(t, ctx, r.jobs["front-1"], "job", 100)
				r.advance(2500*time.Millisecond, "")
				store.peers.unreachable = k.noticeLost
				if k.silent {
					store.peers.fronts["front-1"] = nil
					r.advance(6*time.Second, "front-1")
				} else {
					r.leaving = "front-1"
					r.advance(250*time.Millisecond, "")
					d, f := context.WithTimeout(ctx, time.Second)
					r.jobs["front-1"].Drain(d)
					f()
					if k.noticeLost {
						// The heartbeats of the stopping front publish its
						// released count.
						for _, n := range r.names {
							r.jobs[n].TriggerReconcile()
						}
					}
				}
				r.advance(40*time.Second, "front-1")
				if d := cmp.Diff([]int{100, k.lists}, []int{len(listResults(t, ctx, r.jobs["front-2"], "job")), store.listCount() - b}); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against items that run from the start after each hand-over of their
// job. In a rolling restart of all fronts the job would never complete: in
// inc-d539 the fronts stopped 2 s apart, and the jobs were due in 18 s.
func TestItemsResumeAfterHandOver(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "front-1", "front-2")
		r.advance(5*time.Second, "")
		w, x := io.Pipe()
		engine.setBodies("i0", w)
		accept(t, ctx, r.jobs["front-1"], "job", 1)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(x, "id: 1\ndata: i0\n\n")
		time.Sleep(100 * time.Millisecond)
		d, f := context.WithTimeout(ctx, 100*time.Millisecond)
		defer f()
		r.jobs["front-1"].Drain(d)
		r.advance(5*time.Second, "front-1")
		if d := cmp.Diff([]string{"i0 " + wantOutput("i0")}, listResults(t, ctx, r.jobs["front-2"], "job")); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff([]string{"", "1"}, engine.resumedAfter["i0"]); d != "" {
			t.Error(d)
		}
	})
}

// Guards against items that start anew after a hand-over because the output of another
// item of their job is too large to be handed over, in the encoding that is sent.
func TestLargeOutputKeepsOthersFromHandOver(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "front-1", "front-2")
		r.advance(5*time.Second, "")
		// Length of each of the three events that come of an item.
		for n, l := range []int{250_000, 512<<10/3 - 1, 10, 10} {
			b, w := io.Pipe()
			engine.setBodies(fmt.Sprint("i", n), b)
			t := "data: " + strings.Repeat("x", l) + "\n\n"
			go func() { _, _ = io.WriteString(w, t+t+"id: 1\n"+t) }()
		}
		accept(t, ctx, r.jobs["front-1"], "job", 4)
		time.Sleep(300 * time.Millisecond)
		d, f := context.WithTimeout(ctx, 100*time.Millisecond)
		defer f()
		r.jobs["front-1"].Drain(d)
		r.advance(5*time.Second, "front-1")
		w := map[string][]string{"i0": {"", ""}, "i1": {"", ""}, "i2": {"", "1"}, "i3": {"", "1"}}
		if d := cmp.Diff(w, engine.resumedAfter); d != "" {
			t.Error(d)
		}
	})
}

// Guards against output of an earlier version of the program that is no text, or that no
// object can hold, is handed over with a job, and keeps all results of the job from being
// listed.
func TestInheritedOutputHidesAllResults(t *testing.T) {
	for _, k := range []struct{ name, last, text string }{{"output", "1", "\xff"}, {"event id", "\xff", "i0"}, {"larger than an object", "1", strings.Repeat("<", 200_000)}} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				r := newCluster(ctx, store, engine, "front-1", "front-2")
				r.advance(5*time.Second, "")
				accept(t, ctx, r.jobs["front-1"], "job", 2)
				store.peers.unreachable = true
				c, f := context.WithCancel(ctx)
				f()
				r.jobs["front-1"].Drain(c)
				o, _ := store.Get(ctx, "batch-jobs", "job")
				r.jobs["front-2"].HandleNotice(wire.JobNotice_builder{
					Name: proto.String("job"), Version: proto.Int64(o.Version()), Value: o.Value(),
					Progress: []*wire.ItemProgress{wire.ItemProgress_builder{Item: proto.String("i0"), Last: &k.last, Text: []byte(k.text), Service: proto.String("v")}.Build()},
				}.Build())
				r.advance(5*time.Second, "front-1")
				w := []string{"i0 " + wantOutput("i0"), "i1 " + wantOutput("i1")}
				if d := cmp.Diff(w, slices.Sorted(slices.Values(listResults(t, ctx, r.jobs["front-2"], "job")))); d != "" {
					t.Error(d)
				}
				if slices.Contains(engine.resumedAfter["i0"], k.last) {
					t.Error("item went on after the output:", engine.resumedAfter["i0"])
				}
			})
		})
	}
}

// Guards against items that are listed twice, because the hand-over of a stopping
// front and its commit loop write the pending results of a job at the same time.
func TestConcurrentCommitsListItemsTwice(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		for n := range 30 {
			j := newJobs(t, ctx, fmt.Sprint("front-", n), store, engine, valueBytes)
			for i := range 8 {
				accept(t, ctx, j, fmt.Sprintf("job-%d-%d", n, i), 1)
			}
			// All items end now, one second after their dispatch, and are committed
			// at once.
			time.Sleep(time.Second)
			for range 8 {
				go readOften(ctx, j)
			}
			d, f := context.WithCancel(ctx)
			f()
			j.Drain(d)
			synctest.Wait()
		}
		l := 0
		for _, k := range store.keys() {
			n := store.resultCount(k)
			if n > 1 {
				t.Errorf("%s lists %d results of one item", k, n)
			}
			l += n
		}
		if l == 0 {
			t.Error("nothing was listed")
		}
	})
}

// readOften keeps the lock of the jobs busy, so that their other users take
// turns.
func readOften(ctx context.Context, jobs *batch.Jobs) {
	for range 20_000 {
		_, _ = jobs.LocalResults(ctx, "no-job", 0, 0)
	}
}

// Guards against an item that fails at each run and is sent more often than the
// platform allows, three times the attempts of its route, because each front that
// the job is handed over to counts from zero.
func TestHandedOverItemFailsTooOften(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		var l []string
		for n := range 12 {
			l = append(l, fmt.Sprint("front-", n))
		}
		r := newCluster(ctx, store, engine, l...)
		r.advance(5*time.Second, "")
		engine.failItem("i0")
		accept(t, ctx, r.jobs["front-0"], "job", 1)
		for range 30 {
			r.advance(700*time.Millisecond, "")
			o := store.owner("job")
			if o == "" {
				// The heartbeats of a stopping front publish its released count.
				for _, n := range r.names {
					r.jobs[n].TriggerReconcile()
				}
				continue
			}
			d, f := context.WithCancel(ctx)
			f()
			r.jobs[o].Drain(d)
			r.names = slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return n == o })
		}
		if n := engine.runCount("i0"); n > 9 {
			t.Error("runs of the item:", n)
		}
	})
}
