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

// StreamAsker asks other fronts which software has begun a stream.
type StreamAsker interface {
	// AskStream returns what another front knows. It fails if there is no answer
	// before ctx ends.
	AskStream(ctx context.Context, front string, query *wire.StreamQuery) (*wire.StreamReply, error)
}
