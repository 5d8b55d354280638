package dedup

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/claim"
	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	// Schedulers decide within 2 s; the remaining second allows for the network.
	replyTimeout = 3 * time.Second
	// Limits the schedulers that are tried for one call while they are unreachable
	// or shutting down.
	maxSchedulers = 3
	// Attempts to release a claim whose reply was lost. Without a release the
	// claim keeps the key, and resends are refused as may have run.
	releaseAttempts = 4
	releaseInterval = 2 * time.Second
	retryAfter      = 2 * time.Second
	// Code of a claim that the scheduler refused without writing it, because its
	// process is shutting down. It is set by package claim.
	codeDraining = "draining"
)

// Client claims and settles idempotency keys. It implements trail.Claims.
type Client struct {
	// Ends with the process. Releases are bound to it because they outlive the
	// request that caused them.
	ctx    context.Context
	mesh   *mesh.Mesh
	views  trail.Views
	logger log.Interface
}

// New returns a client whose background releases stop when ctx is done.
func New(ctx context.Context, mesh *mesh.Mesh, views trail.Views, logger log.Interface) *Client {
	return &Client{ctx: ctx, mesh: mesh, views: views, logger: logger}
}

// Claim claims the key for one attempt. After an error the attempt must not be
// dispatched; its claim was not granted, or is released in the background.
func (k *Client) Claim(ctx context.Context, request *wire.Claim) (*wire.ClaimReply, error) {
	request.SetShard(claim.ShardOf(request.GetCaller(), request.GetKey()))
	a := &wire.ClaimReply{}
	e := k.callScheduler(ctx, request.GetShard(), wire.Open_builder{Claim: request}.Build(), a)
	if e != nil {
		if trail.VerdictOf(e) != trail.NotRun {
			// The claim may have been committed for this attempt, which will not
			// run.
			go k.release(request)
		}
		return nil, trail.WrapError(e, "claim-failed", trail.NotRun, "no scheduler confirmed the claim").WithRetryAfter(retryAfter)
	}
	if a.GetResult() != wire.ClaimReply_RESULT_REFUSED {
		return a, nil
	}
	w := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	return nil, trail.NewError(a.GetCode(), trail.NotRun, "%s", a.GetMessage()).WithRetryAfter(w)
}

// Settle records the outcome of an attempt that was granted.
func (k *Client) Settle(ctx context.Context, request *wire.Settle) (*wire.SettleReply, error) {
	request.SetShard(claim.ShardOf(request.GetCaller(), request.GetKey()))
	a := &wire.SettleReply{}
	e := k.callScheduler(ctx, request.GetShard(), wire.Open_builder{Settle: request}.Build(), a)
	if e != nil {
		return nil, e
	}
	if !a.GetDone() {
		return nil, trail.NewError(a.GetCode(), trail.MayHaveRun, "%s", a.GetMessage())
	}
	return a, nil
}

// release settles an attempt as not run, so that the key can be claimed again.
func (k *Client) release(request *wire.Claim) {
	s := wire.Settle_builder{
		Caller: proto.String(request.GetCaller()), Key: proto.String(request.GetKey()), AttemptId: proto.String(request.GetAttemptId()),
		Outcome: wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build(),
	}.Build()
	for range releaseAttempts {
		select {
		case <-time.After(releaseInterval):
		case <-k.ctx.Done():
			return
		}
		_, e := k.Settle(k.ctx, s)
		if e == nil || trail.CodeOf(e) == "claim-missing" {
			return
		}
	}
	k.logger.WithField("attempt", request.GetAttemptId()).Warn("dedup: claim not released, all attempts failed")
}

// callScheduler calls the schedulers in the order of preference until one is
// reachable and not shutting down. A scheduler that shuts down remains in the
// list of members for a moment.
func (k *Client) callScheduler(ctx context.Context, shard uint32, open *wire.Open, reply proto.Message) error {
	l := owner.Rank(k.views.Latest().GetMembers(), "sched", claim.OwnerKey(shard), "")
	var e error = trail.NewError("no-scheduler", trail.NotRun, "no scheduler is in the list of members")
	for i, m := range l {
		if i == maxSchedulers {
			break
		}
		var s *frame.Stream
		s, e = k.mesh.Open(ctx, m.GetPeerAddress(), open)
		if e == nil {
			e = receive(ctx, s, reply)
			if e != nil || !isDraining(reply) {
				return e
			}
			continue
		}
		if trail.VerdictOf(e) != trail.NotRun {
			return e
		}
		k.logger.WithError(e).WithField("member", m.GetId()).Warn("dedup: scheduler unreachable, trying the next one")
	}
	return e
}

func isDraining(reply proto.Message) bool {
	a, b := reply.(*wire.ClaimReply)
	return b && a.GetResult() == wire.ClaimReply_RESULT_REFUSED && a.GetCode() == codeDraining
}

func receive(ctx context.Context, stream *frame.Stream, reply proto.Message) error {
	defer stream.Close()
	e := stream.SetDeadline(time.Now().Add(replyTimeout))
	if e != nil {
		return trail.WrapError(e, "claim-lost", trail.MayHaveRun, "deadline of the stream was not set")
	}
	f := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer f()
	e = stream.Recv(reply)
	if e != nil {
		return trail.WrapError(e, "claim-lost", trail.MayHaveRun, "no reply from the scheduler")
	}
	return nil
}
