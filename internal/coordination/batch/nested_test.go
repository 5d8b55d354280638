package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// nestedPath is the path of a job under batchRoute and under nestedRoute.
const nestedPath = "/b/north/1"

// nestedRoute returns a route whose paths lie under those of batchRoute, and which leads
// to a service without backend servers.
func nestedRoute(batch bool) *wire.RouteRule {
	return changedRoute(func(r *wire.RouteRule) {
		r.SetName("nested")
		r.SetPrefix("/b/north/")
		r.SetBatch(batch)
		r.SetMaxWaitMs(60_000)
		r.GetShares()[0].SetService("none")
	})
}

// Guards against items of an accepted job that are given up or left waiting because the
// operators add a route with a longer prefix that begins the job's path, also when a front
// of an earlier build has updated the job's object since, which drops its route's name.
func TestAddedRouteTakesJobFromItsOwn(t *testing.T) {
	for _, k := range []struct {
		name string
		// The added route accepts jobs.
		batch bool
		// An earlier build has updated the job.
		dropped bool
		// The job is handed over.
		handed bool
	}{{"online", false, false, false}, {"batch", true, false, false}, {"handed over", true, false, true}, {"updated by an earlier build", true, true, true}} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				r := newCluster(ctx, store, engine, "front-1", "front-2")
				r.advance(4*time.Second, "")
				if e := r.jobs["front-1"].Accept(ctx, batchRoute(), "", "job", "h", nestedPath, newItems(20)); e != nil {
					t.Fatal(e)
				}
				store.setRoutes(batchRoute(), nestedRoute(k.batch))
				z := ""
				if k.handed {
					z = "front-1"
					store.peers.setUnreachable(k.dropped)
					c, f := context.WithCancel(ctx)
					f()
					r.jobs["front-1"].Drain(c)
				}
				if k.dropped {
					// The front that takes the job over has not seen it before.
					store.changeJob(t, "job", func(j *wire.BatchJob) { j.ClearRoute() })
					r.jobs["front-2"].TriggerReconcile()
				}
				r.advance(25*time.Second, z)
				n, m := countResults(t, ctx, r.jobs["front-2"], "job")
				if d := cmp.Diff([]int{20, 0}, []int{n, m}); d != "" {
					t.Error(d)
				}
				r.advance(time.Minute, z)
			})
		})
	}
}

// reservedTokens returns the tokens that a job reserves in the account of a route.
func (s *memStore) reservedTokens(t *testing.T, route, job string) int64 {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &wire.QuotaAccount{}
	o, k := s.objects["batch-quotas/"+route]
	if !k {
		return 0
	}
	if e := object.New("batch-quotas", route, o.Version(), o.Value()).Decode(v); e != nil {
		t.Fatal(e)
	}
	for _, e := range v.GetEntries() {
		if e.GetJob() == job {
			return e.GetTokens()
		}
	}
	return 0
}

// Guards against a job that reserves the quota of a route which was added beside its own,
// and against one whose own reservation stays when it follows another route.
func TestAddedRouteGetsReservationOfJob(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		q := quotaRoute()
		w := changedRoute(func(r *wire.RouteRule) {
			r.SetName("added")
			r.SetPrefix("/q/north/")
			r.SetWaitingTokens(5000)
		})
		store.setRoutes(q)
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		// No item runs, so the reservation stays.
		engine.loseItem("i0")
		l := newItems(1)
		l[0].SetTokens(700)
		if e := j.Accept(ctx, q, "", "job", "h", "/q/north/1", l); e != nil {
			t.Fatal(e)
		}
		var g [][2]int64
		for _, r := range [][]*wire.RouteRule{{q, w}, {w}, {q}} {
			store.setRoutes(r...)
			j.ApplyRoutes()
			time.Sleep(12 * time.Second)
			g = append(g, [2]int64{store.reservedTokens(t, "quota", "job"), store.reservedTokens(t, "added", "job")})
		}
		if d := cmp.Diff([][2]int64{{700, 0}, {0, 700}, {700, 0}}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a route's name that is missing from an object that an earlier build never
// replaces.
func TestRouteOfJobIsKeptWithItsItems(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		accept(t, ctx, newJobs(t, ctx, "a", store, engine, valueBytes), "job", 3)
		time.Sleep(20 * time.Second)
		v, j := &wire.BatchInput{}, &wire.BatchJob{}
		store.mu.Lock()
		defer store.mu.Unlock()
		for k, m := range map[string]proto.Message{"batch-inputs/job.0": v, "batch-jobs/job": j} {
			if e := store.objects[k].Decode(m); e != nil {
				t.Fatal(e)
			}
		}
		if d := cmp.Diff([]string{"batch", "batch"}, []string{v.GetRoute(), j.GetRoute()}); d != "" {
			t.Error(d)
		}
	})
}
