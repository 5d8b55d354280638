package trail

import (
	"context"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// PermitGranter counts the requests of all fronts to backend servers with a
// limit.
type PermitGranter interface {
	// Grant counts one more request to a backend server, if its limit allows it
	// now.
	Grant(request *wire.PermitRequest) *wire.PermitReply
}

// PermitAsker asks other fronts for permits.
type PermitAsker interface {
	// AskPermit returns the answer of another front's PermitGranter. It fails if
	// there is none before ctx ends; the request may then be counted or not.
	AskPermit(ctx context.Context, front string, request *wire.PermitRequest) (*wire.PermitReply, error)
}

// RateCounter counts the requests of teams with a rate limit for all fronts.
type RateCounter interface {
	// Count counts one more request of a team, if its limit allows it now. A reply that
	// neither grants nor tells a time says that this front does not count the team's
	// requests.
	Count(request *wire.RateRequest) *wire.RateReply
}

// RateAsker asks other fronts whether the limit of a team allows one more request.
type RateAsker interface {
	// AskRate returns the answer of another front's RateCounter. It fails if there is
	// none before ctx ends; the request may then be counted or not.
	AskRate(ctx context.Context, front string, request *wire.RateRequest) (*wire.RateReply, error)
}

// StreamAsker asks other fronts which software has begun a stream.
type StreamAsker interface {
	// AskStream returns what another front knows. It fails if there is no answer
	// before ctx ends.
	AskStream(ctx context.Context, front string, query *wire.StreamQuery) (*wire.StreamReply, error)
}
