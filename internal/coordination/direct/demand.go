package direct

import (
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

// A caller that states less than this share of the route's timeout has used up the rest
// of its time in an earlier attempt.
const firstAttemptShare = 0.9

// demand is how a request competes with others, for fleet.WithDemand.
type demand struct {
	// Empty while the configuration lists no teams: then all requests compete alike.
	service   string
	priority  int32
	returning bool
}

func (s *Server) demandOf(route *wire.RouteRule, service string, request *trail.Request) demand {
	t := s.Table()
	if t == nil || !t.Keyed() {
		return demand{}
	}
	f := time.Duration(firstAttemptShare * float64(route.GetTimeoutMs()) * float64(time.Millisecond))
	return demand{
		service:   service,
		priority:  rules.PriorityOf(route, t.Team(request.Team())),
		returning: time.Until(request.Deadline()) < f,
	}
}
