package direct

import (
	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/limit"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// SetRateLimits sets what keeps the rate limits of teams. It must be called before
// the first request; without it there are no limits.
func (s *Server) SetRateLimits(rates *limit.Teams) { s.rates = rates }

// team returns the team of the call, and the version of the configuration that
// lists it. The team is nil if its requests need no grant any more.
func (x *call) team() (*wire.TeamRule, int64) {
	t := x.server.table.Load()
	if x.counted || x.server.rates == nil || t == nil || x.request.Team() == "" {
		return nil, 0
	}
	return t.Team(x.request.Team()), t.Version()
}

// deniedError returns the error of a call whose team is known to be over its limit,
// or nil. Such a call takes no place at a backend server.
func (x *call) deniedError() error {
	t, v := x.team()
	if t == nil {
		return nil
	}
	return x.server.rates.Denied(t, v, x.request)
}

// countAgainstLimit counts the call against the limit of its team, once for all its
// attempts, right before the first one is sent to a backend server that was acquired
// for it. If the limit does not allow the call, it releases the server and returns
// the error of the call.
func (x *call) countAgainstLimit(backendServer *wire.BackendServer) error {
	t, v := x.team()
	if t == nil || !limit.Applies(t) {
		return nil
	}
	// The place is taken while the front that counts is asked.
	x.server.onLoadChange()
	e := x.server.rates.Acquire(x.ctx, t, v, x.request)
	x.counted = e == nil
	if e == nil && x.ctx.Err() == nil {
		return nil
	}
	x.release(backendServer, 0)
	x.server.onLoadChange()
	if x.ctx.Err() != nil {
		return x.finalError(result{cause: x.ctx.Err(), verdict: trail.NotRun, callerGone: x.callerGone()})
	}
	return e
}
