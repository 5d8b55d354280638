package trail

import (
	"context"
	"io"
	"net"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Dialer opens connections to other processes and backend servers. Tests
// replace it by in-memory connections that end under the paused clock.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Caller runs requests at a target: a scheduler's peer address or a backend
// server's address.
type Caller interface {
	// Call starts the request and returns its replies. An error says by its
	// verdict whether the request may have run. Cancelling ctx cancels the request.
	Call(ctx context.Context, target string, call *wire.Call) (Replies, error)
}

// Replies is the answer to one call as it arrives.
type Replies interface {
	// Recv returns the next reply: one Head, then Data, then one End. After an
	// End it returns io.EOF. A lost connection is an error with a verdict.
	Recv() (*wire.Reply, error)
	// Close gives up the rest of the answer and cancels the call if it runs.
	Close() error
}

// BulkStore keeps immutable bytes on two hosts with disks in different data
// centres.
type BulkStore interface {
	// Put stores all of r and returns once two copies are on disk. The
	// returned segment names the digest, size and depots. The error's verdict
	// is NotRun when nothing refers to what was written.
	Put(ctx context.Context, data io.Reader) (*wire.Segment, error)
	// Get reads length bytes from offset, or to the end when length is 0, from
	// any copy. A copy whose checksum is wrong is skipped.
	Get(ctx context.Context, segment *wire.Segment, offset, length int64) (io.ReadCloser, error)
}

// Views is the agreed state as this process knows it: configuration, members
// and backend servers. The configuration's version never decreases.
type Views interface {
	// Latest returns the newest snapshot, which must not be changed. It is
	// empty, not nil, before the first one.
	Latest() *wire.View
	// Subscribe returns a channel that holds the newest snapshot; one that was
	// not received is replaced by the next. It is closed when ctx is cancelled.
	Subscribe(ctx context.Context) <-chan *wire.View
}

// Claims takes and settles idempotency keys before and after a non-idempotent
// request.
type Claims interface {
	// Claim commits the key for one attempt. An error means that the attempt
	// was not granted and must not be dispatched; its verdict is NotRun.
	Claim(ctx context.Context, claim *wire.Claim) (*wire.ClaimReply, error)
	// Settle records the outcome of an attempt that was granted.
	Settle(ctx context.Context, settle *wire.Settle) (*wire.SettleReply, error)
}

// AnswerStore keeps the answers of questions on two hosts with disks.
type AnswerStore interface {
	// Begin registers a running attempt, or returns what is already known of
	// the caller's request id.
	Begin(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error)
	// Store keeps the answer and returns the number of copies on disk. The
	// first answer stored for a request id stays.
	Store(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error)
	// Read returns a stored answer.
	Read(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error)
	// Abandon ends the registration of an attempt that gave no answer.
	Abandon(ctx context.Context, request *wire.Answer) error
}
