package direct

import (
	"time"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// release ends the request that acquire has counted at a backend server, as
// fleet.ReleaseOnline does, and records the timing of a complete response. Each acquired
// server must be released with it, since its tokens and its team were counted too.
func (x *call) release(backendServer *wire.BackendServer, serviceTime time.Duration) {
	if serviceTime > 0 {
		x.recordTiming(backendServer)
	}
	x.server.fleet.ReleaseOnline(backendServer.GetId(), serviceTime, fleet.WithTokens(x.request.Tokens()), fleet.WithDemand(x.demand.service, x.request.Team(), x.demand.priority, x.demand.returning))
}
