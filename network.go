package trail

import (
	"context"
	"io"
	"net"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// Dialer opens connections to other processes and backend servers. Tests replace
// it by one with in-memory connections, which work with the fake clock of
// testing/synctest.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// StreamOpener opens streams to other processes of the system.
type StreamOpener interface {
	// Open opens a stream to the process at a peer address and sends open as its
	// first message. The verdict of an error is NotRun if the process can't have
	// received it.
	Open(ctx context.Context, address string, open *wire.Open) (*frame.Stream, error)
}

// Caller sends calls to a target, which is the peer address of a scheduler or the
// address of a backend server.
type Caller interface {
	// Call starts a call and returns the stream of its replies. The verdict of
	// an error says whether the call may have run. Cancelling ctx cancels the
	// call.
	Call(ctx context.Context, target string, call *wire.Call) (Replies, error)
}

// Replies is the stream of replies to one call.
type Replies interface {
	// Recv returns the next reply: one Head, any number of Data, then one End.
	// After the End it returns io.EOF. If the connection is lost, the error has
	// a verdict.
	Recv() (*wire.Reply, error)
	// Close discards the remaining replies and cancels the call if it is still
	// running.
	Close() error
}

// BulkStore stores immutable segments on two hosts with disks in different data
// centres.
type BulkStore interface {
	// Put stores data up to its end and returns once two copies are on disk.
	// The returned segment has the digest, the size and the depots. The verdict
	// of an error is NotRun if nothing refers to the bytes that were written.
	Put(ctx context.Context, data io.Reader) (*wire.Segment, error)
	// Get reads length bytes from offset, or up to the end if length is 0, from
	// any copy. A copy with a wrong checksum is skipped.
	Get(ctx context.Context, segment *wire.Segment, offset, length int64) (io.ReadCloser, error)
}

// Views provides snapshots of the replicated state as this process knows it:
// configuration, members and backend servers. The version of the configuration
// never decreases.
type Views interface {
	// Latest returns the newest snapshot, which must not be modified. Before
	// the first update it returns an empty one, not nil.
	Latest() *wire.View
	// Subscribe returns a channel that holds the newest snapshot. A snapshot
	// that has not been received is replaced by the next one. The channel is
	// closed when ctx is cancelled.
	Subscribe(ctx context.Context) <-chan *wire.View
}

// Claims claims the idempotency key of a non-idempotent request before it is
// dispatched and records the outcome afterwards, so that the request runs at
// most once.
type Claims interface {
	// Claim claims the key durably for one attempt. On an error, whose verdict
	// is NotRun, the claim was not granted and the attempt must not be
	// dispatched.
	Claim(ctx context.Context, claim *wire.Claim) (*wire.ClaimReply, error)
	// Settle records the outcome of an attempt whose claim was granted.
	Settle(ctx context.Context, settle *wire.Settle) (*wire.SettleReply, error)
}

// AnswerStore stores the answers to requests on two hosts with disks.
type AnswerStore interface {
	// Begin registers a running attempt, or returns the state that is already
	// recorded for the caller's request id.
	Begin(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error)
	// Store stores an answer and returns the number of copies on disk. The
	// first answer that is stored for a request id is never replaced.
	Store(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error)
	// Read returns a stored answer.
	Read(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error)
	// Abandon removes the registration of an attempt that gave no answer.
	Abandon(ctx context.Context, request *wire.Answer) error
}
