package batch

import (
	"context"
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
	// Timeout of a read of the configuration before items are given up.
	routesReadTimeout = 6 * time.Second
	// Pause between two such reads, and after one that has failed.
	routesReadInterval  = 250 * time.Millisecond
	routesRetryInterval = time.Second
)

// lostItems are waiting items of a job that cannot run any more.
type lostItems struct {
	items []int
	// Why they can't run.
	reason string
	// Only a configuration that was read later shows it; zero if none has to be read.
	shownAfter time.Time
}

// giveUpAll gives up the waiting items that cannot run any more, in all jobs of this
// front. Items that run are left to their end. A result can't be taken back, so it rests
// on a configuration that the platform has been asked for since: the copy of a front
// that the platform does not answer, or that stood still, may lack the job's route or
// have an older version of it.
func (s *Jobs) giveUpAll(now time.Time) {
	d, a := s.fleet.LastPresumedDead(now), s.fleet.AwakeSince(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.routes.Table()
	if s.draining || t == nil {
		return
	}
	r := false
	for _, o := range s.owned {
		u := routeIn(t, o.cached)
		o.noteRoute(now, a, u)
		l := s.lostItems(now, o, u)
		r = r || !l.shownAfter.IsZero() && !s.routesReadAt.After(l.shownAfter)
		if len(l.items) > 0 && s.routesReadAt.After(l.shownAfter) && s.mayStart(now, d, o) {
			s.giveUp(o, l.items, l.reason, t.Version())
		}
	}
	if r && !s.readingRoutes {
		s.readingRoutes = true
		go s.readRoutes(t.Version())
	}
}

// readRoutes puts the newest configuration of the platform in force, in place of a
// version. If that was not the newest one, nothing is known of the time for which jobs
// have had no route, and it starts anew.
func (s *Jobs) readRoutes(version int64) {
	c, f := context.WithTimeout(s.running, routesReadTimeout)
	defer f()
	b := time.Now()
	e := s.routes.Refresh(c)
	p := routesReadInterval
	if e != nil {
		p = routesRetryInterval
		s.logger.WithError(e).WithField("config-version", version).Warn("batch: configuration could not be read, items without a route wait")
	}
	s.mu.Lock()
	if e == nil {
		s.routesReadAt = b
		n := s.routes.Table().Version()
		s.logger.WithFields(log.Fields{"config-version": version, "newest-version": n, "ms": time.Since(b).Milliseconds()}).Info("batch: configuration read before items are given up")
		if n != version {
			for _, o := range s.owned {
				o.unroutedSince = time.Time{}
			}
		}
	}
	s.mu.Unlock()
	s.TriggerDispatch()
	sleep(s.running, p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readingRoutes = false
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

// lostItems returns the waiting items of a job that cannot run any more: all if its
// route was removed, or if the wait that the route allows is over and no server serves
// it; else those that have failed as often as it allows; else, once that wait is over,
// those whose last run was refused, broke off or failed, and those for which no server
// has the memory. A server with more memory may come before. The caller holds the lock.
func (s *Jobs) lostItems(now time.Time, job *ownedJob, route *wire.RouteRule) lostItems {
	if route == nil {
		a := job.unroutedSince.Add(unroutedTimeout)
		if now.Before(a) {
			// The copy of the configuration may lack a new route.
			return lostItems{shownAfter: job.unroutedSince}
		}
		return s.allWaiting(job, "route was removed", a)
	}
	w := time.Duration(route.GetMaxWaitMs()) * time.Millisecond
	// When the wait ends, and whether it has.
	a := job.acceptedAt.Add(w)
	e := w > 0 && !now.Before(a)
	if e && !s.hasServers(route) {
		return s.allWaiting(job, "wait is over, no backend server", a)
	}
	l, o := s.agenda.Spent(job.id, job.maxFailures(route), w <= 0, s.routesReadAt)
	switch {
	case len(l) > 0:
		return lostItems{items: l, reason: "failed as often as the route allows"}
	case o:
		return lostItems{shownAfter: now}
	case e:
		return s.unsuccessful(job, route, a)
	}
	return lostItems{}
}

// allWaiting returns all waiting items of a job.
func (s *Jobs) allWaiting(job *ownedJob, reason string, shownAfter time.Time) lostItems {
	l := s.agenda.Waiting(job.id, false)
	if len(l) == 0 {
		return lostItems{}
	}
	return lostItems{items: l, reason: reason, shownAfter: shownAfter}
}

// unsuccessful returns the waiting items of a job whose last run did not succeed, and
// those for which no server has the memory.
func (s *Jobs) unsuccessful(job *ownedJob, route *wire.RouteRule, shownAfter time.Time) lostItems {
	l := s.agenda.Waiting(job.id, true)
	for _, n := range s.agenda.Waiting(job.id, false) {
		if !slices.Contains(l, n) && s.fitsNone(route, job.items[n].GetTokens()) {
			l = append(l, n)
		}
	}
	if len(l) == 0 {
		return lostItems{}
	}
	return lostItems{items: l, reason: "wait is over, last run did not succeed or no backend server has the memory", shownAfter: shownAfter}
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
