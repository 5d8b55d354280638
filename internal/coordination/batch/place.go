package batch

import (
	"math/rand/v2"
	"time"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

// Longest time for which an item with output waits for a slot at a server of the
// build that made it, while others are free. Then it starts anew.
const buildWait = 3 * time.Second

// route returns the route of a job, nil when the route was removed or no
// configuration is known.
func (s *Jobs) route(cached *cachedJob) *wire.RouteRule {
	t := s.routes.Table()
	if t == nil {
		return nil
	}
	return routeIn(t, cached)
}

// routeIn returns the route of a job in a configuration, nil if there is none. A route
// that matches the job's path may be another one, and lead to other services.
func routeIn(table *rules.Table, cached *cachedJob) *wire.RouteRule {
	return table.JobRoute(cached.route, cached.host, cached.path)
}

// acquireServer chooses a backend server for the next run of an item, or returns
// nil. An item with output goes on at the build that made it, and starts anew if
// that does not serve its route any more. The caller holds the lock.
func (s *Jobs) acquireServer(now time.Time, table *rules.Table, job *ownedJob, index int) *wire.BackendServer {
	u := routeIn(table, job.cached)
	if u == nil || s.agenda.Failures(job.id, index) >= job.maxFailures(u) {
		return nil
	}
	p := job.progress[index]
	if p != nil && p.resumable() && !s.mayGoOn(u, p) {
		p.reset()
	}
	w := job.items[index].GetTokens()
	if s.fitsNone(u, w) {
		return nil
	}
	if p != nil && p.resumable() {
		m := s.fleet.TooSmall(p.build.Service(), w)
		b := s.fleet.AcquireBatch(now, p.build.Service(), func(b *wire.BackendServer, listed bool) bool {
			return listed && p.build.RunsOn(b) && !m[b.GetId()]
		}, fleet.WithTokens(w))
		if b != nil {
			return b
		}
		if p.waitingSince.IsZero() {
			p.waitingSince = now
		}
		if now.Sub(p.waitingSince) < buildWait {
			return nil
		}
	}
	v := rules.PickService(u, rand.Float64())
	if v == "" {
		return nil
	}
	m := s.fleet.TooSmall(v, w)
	b := s.fleet.AcquireBatch(now, v, func(b *wire.BackendServer, _ bool) bool { return !m[b.GetId()] }, fleet.WithTokens(w))
	if b != nil && p != nil && !p.build.RunsOn(b) {
		p.reset()
	}
	return b
}

// particularItems returns which items of a job need more memory than some backend
// servers of its route have, nil if none does. The caller holds the lock.
func (s *Jobs) particularItems(id string) func(index int) bool {
	o := s.owned[id]
	if o == nil {
		return nil
	}
	var m int64
	for _, x := range s.route(o.cached).GetShares() {
		if n := s.fleet.LeastMemory(x.GetService()); n > 0 && (m == 0 || n < m) {
			m = n
		}
	}
	if m == 0 {
		return nil
	}
	return func(i int) bool { return o.items[i].GetTokens() > m }
}

// mayGoOn reports whether an item may go on after its output: servers of the same
// build serve its route.
func (s *Jobs) mayGoOn(route *wire.RouteRule, progress *itemProgress) bool {
	b := progress.build
	if !rules.HasService(route, b.Service()) || !s.fleet.Serves(b) {
		return false
	}
	return b.IsNamed() || !b.IsUnknown() && s.fleet.Unversioned(b.Service())
}

// checkProgress discards the output of an item whose last run may have been at
// another build than the output before, or that is not complete and can't be resumed.
// It returns whether the item is done, and the error of its last run.
func (s *Jobs) checkProgress(run *itemRun, progress *itemProgress, done bool, err error) (bool, error) {
	j := s.mayBeJoined(run, progress)
	if run.born > 0 && progress.lastEventID != run.resumedAfter && progress.build.IsUnknown() {
		// The registry may name the process by now.
		progress.build = s.fleet.BuildOf(run.server, run.born)
	}
	switch {
	case done && (run.resumedAfter == "" || !j):
		return true, nil
	case done:
		err = errOtherBuild
	}
	if j || !progress.resumable() {
		progress.reset()
	}
	return false, err
}

// mayBeJoined reports whether a run has added to the output of an item and may have
// been at another build: its server does not tell which process it is, and its entry
// has changed.
func (s *Jobs) mayBeJoined(run *itemRun, progress *itemProgress) bool {
	return run.born == 0 && progress.lastEventID != run.resumedAfter && s.fleet.BuildOf(run.server, 0) != progress.build
}
