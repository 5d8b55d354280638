package batch

import (
	"context"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// reserveQuota reserves the tokens of a new job in the quota of its route, or in that of
// its team on the route if the configuration lists teams. It returns true when the job
// was accepted before.
func (s *Jobs) reserveQuota(ctx context.Context, route *wire.RouteRule, team, id string, items []*wire.BatchItem) (bool, error) {
	if route.GetWaitingTokens() <= 0 {
		return false, nil
	}
	if s.keyed() {
		// A job of another team must not reserve tokens of this one, nor a job without
		// a team in two accounts. An error shows again in Reserve.
		_, e := s.getJob(ctx, id)
		if e == nil {
			return true, nil
		}
	}
	e := s.ledger.Reserve(ctx, route, s.accountTeam(team), id, sumTokens(items))
	if trail.CodeOf(e) != "quota-exceeded" {
		return false, e
	}
	// A job that was accepted before stays accepted, even if the quota is used
	// up.
	o, f := s.store.Get(ctx, kindJobs, id)
	if errors.Is(f, trail.ErrNotFound) {
		return false, e
	}
	if f != nil {
		return false, trail.WrapError(f, trail.CodeOf(f), trail.MayHaveRun, "job may have been accepted before").WithPlace(id).WithRetryAfter(acceptRetryAfter)
	}
	j := &wire.BatchJob{}
	f = o.Decode(j)
	if f != nil {
		return false, trail.WrapError(f, "object-unreadable", trail.MayHaveRun, "job object is not decodable").WithPlace(id)
	}
	s.cacheJob(o, j)
	return true, nil
}

// holdTokens records the reservation of a job that this front runs in the account of
// its route, or of its team on the route, and ends the one in an account that it had
// before. The caller holds the lock.
func (s *Jobs) holdTokens(job *ownedJob) {
	u := s.route(job.cached)
	if u == nil {
		return
	}
	a := account{route: u.GetName(), team: s.accountTeam(job.cached.team)}
	if job.account != a {
		s.ledger.ReduceReservation(job.account.route, job.account.team, job.id, 0)
		job.account = a
	}
	s.ledger.SetReservation(u, a.team, job.id, job.waitingTokens)
}

// setWaitingTokens reduces the reservation of a job to the tokens of its items
// without a result; the caller holds the lock.
func (s *Jobs) setWaitingTokens(job *ownedJob, tokens int64) {
	job.waitingTokens = tokens
	s.ledger.ReduceReservation(job.account.route, job.account.team, job.id, tokens)
}

// QuotaNearLimit says whether this front has recently found a quota nearly used
// up.
func (s *Jobs) QuotaNearLimit() bool { return s.ledger.NearLimit() }

// MarkPeerQuotaNearLimit records that another front has found a quota nearly
// used up.
func (s *Jobs) MarkPeerQuotaNearLimit() { s.ledger.MarkPeerNearLimit() }

// States returns whether a job is neither ended nor complete, by id, for all
// jobs of a stale listing.
func (s *Jobs) States(ctx context.Context) (map[string]bool, error) {
	l, _, e := s.store.ListStale(ctx, kindJobs)
	if e != nil {
		return nil, e
	}
	m := make(map[string]bool, len(l))
	for _, o := range l {
		j := &wire.BatchJob{}
		e := o.Decode(j)
		if e != nil {
			s.logger.WithError(e).WithField("job-id", o.Name()).Warn("batch: job object is not decodable")
			continue
		}
		m[o.Name()] = !j.GetEnded() && !j.GetComplete()
	}
	return m, nil
}

func sumTokens(items []*wire.BatchItem) int64 {
	n := int64(0)
	for _, i := range items {
		n += i.GetTokens()
	}
	return n
}
