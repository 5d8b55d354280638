package batch

import (
	"slices"
	"time"

	"github.com/apex/log"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

const (
	// Time for which the items of a job wait when its route was removed. A later
	// version of the configuration may have the route again.
	unroutedTimeout = 5 * time.Second
	// Largest difference between the clocks of two hosts.
	maxClockSkew = 5 * time.Second
)

// giveUpAll gives up the waiting items that cannot run any more, in all jobs of this
// front. Items that run are left to their end.
func (s *Jobs) giveUpAll(now time.Time) {
	t := s.routeTable()
	if t == nil {
		return
	}
	d, a := s.fleet.LastPresumedDead(now), s.fleet.AwakeSince(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	for _, o := range s.owned {
		u := routeIn(t, o.cached)
		o.noteRoute(now, a, u)
		l, r := s.lostItems(now, o, u)
		if len(l) > 0 && s.mayStart(now, d, o) {
			s.giveUp(o, l, r, t.Version())
		}
	}
}

// noteRoute records since when the configuration has no route for the job. A process
// that stood still, until awakeSince, has missed other versions of it.
func (o *ownedJob) noteRoute(now, awakeSince time.Time, route *wire.RouteRule) {
	switch {
	case route != nil:
		o.unroutedSince = time.Time{}
	case o.unroutedSince.Before(awakeSince):
		o.unroutedSince = now
	}
}

// lostItems returns the waiting items of a job that cannot run any more, and why: all
// if its route was removed, or if the wait that the route allows is over and no server
// serves it; else those whose last run was refused, broke off or failed, and those for
// which no server has the memory, once that wait is over. A server with more memory may
// come before. The caller holds the lock.
func (s *Jobs) lostItems(now time.Time, job *ownedJob, route *wire.RouteRule) ([]int, string) {
	if route == nil {
		if now.Before(job.unroutedSince.Add(unroutedTimeout)) {
			return nil, ""
		}
		return s.agenda.Waiting(job.id, false), "route was removed"
	}
	w := time.Duration(route.GetMaxWaitMs()) * time.Millisecond
	switch {
	case w <= 0 || now.Before(job.acceptedAt.Add(w)):
		return nil, ""
	case s.hasServers(route):
		l := s.agenda.Waiting(job.id, true)
		for _, n := range s.agenda.Waiting(job.id, false) {
			if !slices.Contains(l, n) && s.fitsNone(route, job.cached.items[n].GetTokens()) {
				l = append(l, n)
			}
		}
		return l, "wait is over, last run did not succeed or no backend server has the memory"
	}
	return s.agenda.Waiting(job.id, false), "wait is over, no backend server"
}

// fitsNone reports whether all backend servers of a route lack the memory for an item.
func (s *Jobs) fitsNone(route *wire.RouteRule, tokens int64) bool {
	return !slices.ContainsFunc(route.GetShares(), func(x *wire.RouteShare) bool {
		v := x.GetService()
		return rules.HasService(route, v) && s.fleet.HasServers(v) && !s.fleet.NoneHolds(v, tokens)
	})
}

// giveUp lists items of a job as failed. The caller holds the lock.
func (s *Jobs) giveUp(job *ownedJob, items []int, reason string, configVersion int64) {
	for _, n := range items {
		s.agenda.Close(job.id, n)
	}
	for _, n := range items {
		s.addResult(job, n, true, "")
		s.outcomes.WithLabelValues("abandoned").Inc()
	}
	s.logger.WithFields(log.Fields{"job-id": job.id, "items": len(items), "reason": reason, "config-version": configVersion}).Warn("batch: items given up")
}

// hasServers reports whether a backend server of a route is known.
func (s *Jobs) hasServers(route *wire.RouteRule) bool {
	return slices.ContainsFunc(route.GetShares(), func(x *wire.RouteShare) bool {
		return rules.HasService(route, x.GetService()) && s.fleet.HasServers(x.GetService())
	})
}
