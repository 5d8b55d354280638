package batch_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/state/rules"
)

// setKeyed puts a configuration in force that lists teams, or none.
func (s *memStore) setKeyed(keyed bool) {
	s.setRoutes(batchRoute(), quotaRoute())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = rules.New(wire.RouteTable_builder{Version: &s.routesVersion, Routes: []*wire.RouteRule{batchRoute(), quotaRoute()}, Keyed: &keyed}.Build())
}

// submitAs submits a job of 500 tokens for a team and returns "accepted" or the code and
// verdict of the error.
func submitAs(ctx context.Context, jobs *batch.Jobs, team, id string) string {
	e := jobs.Accept(ctx, quotaRoute(), team, id, "h", "/q/1", newItemsWithTokens(5))
	if e == nil {
		return "accepted"
	}
	return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
}

const notTheirs = "job-missing not-run"

// Guards against a job that is taken for that of another team which submits one under
// the same id, at any front, and against tokens that stay reserved for that team.
func TestSubmissionTakesJobOfAnotherTeam(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.setKeyed(true)
		p, q := newJobs(t, ctx, "a", store, engine, valueBytes), newJobs(t, ctx, "b", store, engine, valueBytes)
		r := newJobs(t, ctx, "c", store, engine, valueBytes)
		var g []string
		for _, x := range []struct {
			jobs     *batch.Jobs
			team, id string
		}{
			{p, "north", "j"},
			{p, "north", "j"},
			{q, "north", "j"},
			{p, "south", "j"},
			{q, "south", "j"},
			{r, "south", "j"},
			{p, "", "j"},
			{q, "", "j"},
			// A job without a team is anybody's.
			{p, "", "k"},
			{q, "south", "k"},
			{p, "", "k"},
			// South has no tokens reserved.
			{p, "south", "l"},
			{q, "south", "m"},
		} {
			g = append(g, submitAs(ctx, x.jobs, x.team, x.id))
		}
		const o = "accepted"
		if d := cmp.Diff([]string{o, o, o, notTheirs, notTheirs, notTheirs, notTheirs, notTheirs, o, o, o, o, o}, g); d != "" {
			t.Error(d)
		}
		// Without teams in the configuration nobody is asked for a key.
		store.setKeyed(false)
		if d := cmp.Diff(o, submitAs(ctx, q, "", "j")); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against items of a submission which failed half-way that run as those of
// another team, or of none.
func TestItemsOfAnotherTeamRun(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.setKeyed(true)
		p := newJobs(t, ctx, "a", store, engine, valueBytes)
		store.failWrites("batch-jobs", trail.WrapError(trail.ErrUnavailable, "away", trail.NotRun, "away"))
		c, f := context.WithTimeout(ctx, time.Second)
		defer f()
		g := []string{submitAs(c, p, "north", "j")}
		store.failWrites("", nil)
		g = append(g, submitAs(ctx, p, "south", "j"), submitAs(ctx, p, "", "j"), submitAs(ctx, p, "north", "j"))
		if d := cmp.Diff([]string{"away not-run", notTheirs, notTheirs, "accepted"}, g); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a job whose team is lost when a front of an earlier build, which drops
// the field, updates the job's object, or when the job is handed over or taken over.
func TestTeamOfJobIsLost(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.setKeyed(true)
		r := newCluster(ctx, store, engine, "front-1", "front-2")
		r.advance(4*time.Second, "")
		g := []string{submitAs(ctx, r.jobs["front-1"], "north", "job")}
		c, f := context.WithCancel(ctx)
		f()
		r.jobs["front-1"].Drain(c)
		store.changeJob(t, "job", func(j *wire.BatchJob) { j.ClearTeam() })
		r.advance(10*time.Second, "front-1")
		// A front that has not seen the job before.
		q := newJobs(t, ctx, "front-3", store, engine, valueBytes)
		for _, j := range []*batch.Jobs{q, r.jobs["front-2"]} {
			n, u, e := j.Team(ctx, "job")
			if e != nil {
				t.Fatal(e)
			}
			g = append(g, n, u.GetName(), submitAs(ctx, j, "south", "job"))
		}
		n, m := countResults(t, ctx, r.jobs["front-2"], "job")
		if d := cmp.Diff([]any{[]string{"accepted", "north", "quota", notTheirs, "north", "quota", notTheirs}, 5, 0}, []any{g, n, m}); d != "" {
			t.Error(d)
		}
		r.advance(time.Minute, "front-1")
		time.Sleep(time.Minute)
	})
}

// quotas returns the reserved tokens by the names of the accounts' objects.
func (s *memStore) quotas(t *testing.T) map[string]int64 {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]int64{}
	for k, o := range s.objects {
		n, f := strings.CutPrefix(k, "batch-quotas/")
		if !f {
			continue
		}
		v := &wire.QuotaAccount{}
		if e := object.New("batch-quotas", n, o.Version(), o.Value()).Decode(v); e != nil {
			t.Fatal(e)
		}
		for _, e := range v.GetEntries() {
			m[n] += e.GetTokens()
		}
	}
	return m
}

// Guards against a team that uses up the quota of another, against teams whose names
// share an account, and against an account without a team under another name than in
// earlier builds, which count in it too.
func TestTeamUsesQuotaOfAnother(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		store.setKeyed(true)
		// No item runs, so the reservations stay.
		for _, i := range newItems(5) {
			engine.failItem(i.GetId())
		}
		p, q := newJobs(t, ctx, "a", store, engine, valueBytes), newJobs(t, ctx, "b", store, engine, valueBytes)
		var g []string
		for _, x := range []string{"1 north", "2 north", "3 north", "4 Nord/é.1", "5 Nord/é.1", "6 Nord/é.1", "7 ", "8 ", "9 "} {
			i, n, _ := strings.Cut(x, " ")
			g = append(g, submitAs(ctx, p, n, i), submitAs(ctx, q, n, i))
		}
		const o, x = "accepted", "quota-exceeded not-run"
		w := []string{o, o, o, o, x, x}
		if d := cmp.Diff(append(append(append([]string{}, w...), w...), w...), g); d != "" {
			t.Error(d)
		}
		a := store.quotas(t)
		n := 0
		for k, v := range a {
			if v == 1000 && strings.IndexFunc(k, func(r rune) bool { return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-", r) }) < 0 {
				n++
			}
		}
		if d := cmp.Diff([]any{3, 3, int64(1000)}, []any{len(a), n, a["quota"]}); d != "" {
			t.Error(d, a)
		}
		// The teams share the quota again when the configuration lists none.
		store.setKeyed(false)
		p.ApplyRoutes()
		time.Sleep(12 * time.Second)
		if d := cmp.Diff(map[string]int64{"quota": 3000}, store.quotas(t)); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Minute)
	})
}
