package rate

import (
	"math"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Interval at which unused state is dropped, and the time after which it is
	// unused.
	pruneInterval = time.Minute
	// A front asks again after this time at the latest, whatever it was told.
	maxDenial = time.Second
	// Time constant of the count of refusals.
	refusalPeriod = time.Second
	// A refused caller honours a time to return up to this part of its time left.
	returnShare = 1. / 3
)

// Limiter holds the counts of the teams that this front counts, and for all teams
// its reserves and the denials that it knows of. It is not safe for concurrent use.
type Limiter struct {
	startTime time.Time
	// By team.
	counts   map[string]*count
	teams    map[string]*team
	prunedAt time.Time
}

// limit is the limit of a team in one version of the configuration.
type limit struct {
	// Requests a second, and those that may come at once, at least 1.
	perSecond, capacity float64
	version             int64
}

// count counts the requests of one team for all fronts.
type count struct {
	limit  limit
	bucket *bucket
}

// team is what a front knows of a team whose requests it receives.
type team struct {
	limit   limit
	reserve reserve
	usedAt  time.Time
	// The front that counts has denied a request by this limit until a time.
	deniedUntil time.Time
	// Refused requests, which decay with refusalPeriod, as of a time.
	refusals  float64
	refusedAt time.Time
}

// New returns a limiter of a front that has just started.
func New(now time.Time) *Limiter {
	return &Limiter{startTime: now, counts: map[string]*count{}, teams: map[string]*team{}, prunedAt: now}
}

// Valid reports whether a rate in requests a second is a limit: it is finite and
// positive.
func Valid(perSecond float64) bool { return perSecond > 0 && !math.IsInf(perSecond, 0) }

func limitOf(request *wire.RateRequest) limit {
	b := request.GetBurst()
	if !(b >= 1) || math.IsInf(b, 0) {
		b = 1
	}
	return limit{perSecond: request.GetRequestsPerSecond(), capacity: b, version: request.GetVersion()}
}

// Take counts a request of a team and returns 0, or returns the time until one may be
// granted. since is when this front began to count for the team, and part the part of
// the limit that it counts, above 0. The limit of the request must be valid; one of an
// older version than the last is ignored.
func (l *Limiter) Take(now, since time.Time, part float64, request *wire.RateRequest) time.Duration {
	l.prune(now)
	m := limitOf(request)
	c := l.counts[request.GetTeam()]
	if c == nil {
		c = &count{limit: m}
		l.counts[request.GetTeam()] = c
	}
	if m.version >= c.limit.version {
		c.limit = m
	}
	p := c.limit.perSecond * part
	if c.bucket == nil || since.After(c.bucket.since) {
		// Another front has counted before.
		c.bucket = newBucket(since, p, c.limit.capacity)
	}
	c.bucket.setLimit(now, p, c.limit.capacity)
	return c.bucket.take(now)
}

// Denied returns the time until which this front refuses requests of a team by
// itself, 0 for none.
func (l *Limiter) Denied(now time.Time, request *wire.RateRequest) time.Duration {
	t := l.teams[request.GetTeam()]
	if t == nil || t.limit != limitOf(request) {
		return 0
	}
	return max(t.deniedUntil.Sub(now), 0)
}

// RecordAnswer records that the front that counts has granted a request, or denied it
// for a time. position is that of this front among all fronts that may be alive, from
// 0 and different for each.
func (l *Limiter) RecordAnswer(now time.Time, request *wire.RateRequest, position, fronts int, wait time.Duration) {
	t := l.team(now, request)
	t.reserve.answered(now, t.limit, share{position, fronts})
	t.deniedUntil = now.Add(min(wait, maxDenial))
}

// TakeReserve reports whether the reserve allows a request for which no front that
// counts has answered. position and fronts are as for RecordAnswer.
func (l *Limiter) TakeReserve(now time.Time, request *wire.RateRequest, position, fronts int) bool {
	t := l.team(now, request)
	return t.reserve.take(now, t.limit, share{position, fronts})
}

// Refuse counts a refused request and returns when its caller should return. wait is
// the time until the next grant to any front and remaining the time left of the
// request. draw, from 0 to 1, spreads the callers that were refused lately over the
// time in which the limit has room for all of them, if each front has refused as many.
func (l *Limiter) Refuse(now time.Time, request *wire.RateRequest, fronts int, wait, remaining time.Duration, draw float64) time.Duration {
	t := l.team(now, request)
	t.refusals = t.refusals*math.Exp(-now.Sub(t.refusedAt).Seconds()/refusalPeriod.Seconds()) + 1
	t.refusedAt = now
	s := seconds((1 + (t.refusals-1)*float64(fronts)) / t.limit.perSecond)
	m := time.Duration(returnShare * float64(max(remaining, 0)))
	if wait >= m {
		// There is no room while the caller waits.
		return wait + time.Duration(draw*float64(s))
	}
	return wait + time.Duration(draw*float64(min(s, m-wait)))
}

// team returns the state of the team of a request, with the limit of the request.
func (l *Limiter) team(now time.Time, request *wire.RateRequest) *team {
	l.prune(now)
	t := l.teams[request.GetTeam()]
	if t == nil {
		t = &team{reserve: reserve{at: l.startTime}, refusedAt: now}
		l.teams[request.GetTeam()] = t
	}
	t.usedAt = now
	t.limit = limitOf(request)
	return t
}

// prune drops what would be the same if it were created anew.
func (l *Limiter) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for n, c := range l.counts {
		if c.bucket.full(now) {
			delete(l.counts, n)
		}
	}
	for n, t := range l.teams {
		if now.Sub(t.usedAt) > pruneInterval && t.limit.perSecond*now.Sub(t.usedAt).Seconds() > t.limit.capacity {
			delete(l.teams, n)
		}
	}
}
