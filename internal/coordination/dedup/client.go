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
	// Schedulers decide within 2 s; the rest is for the way.
	replyTimeout = 3 * time.Second
	// Schedulers that are asked when the ones before are unreachable.
	maxSchedulers = 3
	// Tries to release a claim whose grant was lost. Without a release the key
	// stays held and its resends are answered with may have run.
	releaseTries = 4
	releasePause = 2 * time.Second
	retryAfter   = 2 * time.Second
	// Code of claim.Claims for a claim that it refuses without a write because
	// its process shuts down.
	codeDraining = "draining"
)

// Client takes and settles keys. It implements trail.Claims.
type Client struct {
	// Ends with the process; releases outlive the request that caused them.
	c context.Context
	m *mesh.Mesh
	v trail.Views
	l log.Interface
}

// New returns a client whose background work ends with c.
func New(c context.Context, m *mesh.Mesh, v trail.Views, l log.Interface) *Client {
	return &Client{c: c, m: m, v: v, l: l}
}

// Claim commits the key for one attempt. An error means that the attempt was
// not granted; it must not be dispatched.
func (k *Client) Claim(c context.Context, r *wire.Claim) (*wire.ClaimReply, error) {
	r.SetShard(claim.ShardOf(r.GetCaller(), r.GetKey()))
	a := &wire.ClaimReply{}
	e := k.exchange(c, r.GetShard(), wire.Open_builder{Claim: r}.Build(), a)
	if e != nil {
		if trail.VerdictOf(e) != trail.NotRun {
			// The key may be committed for this attempt, which will not run.
			go k.release(r)
		}
		return nil, trail.WrapError(e, "claim-failed", trail.NotRun, "claim was not answered").WithRetryAfter(retryAfter)
	}
	if a.GetResult() != wire.ClaimReply_RESULT_REFUSED {
		return a, nil
	}
	w := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	return nil, trail.NewError(a.GetCode(), trail.NotRun, "%s", a.GetMessage()).WithRetryAfter(w)
}

// Settle records the outcome of an attempt that was granted.
func (k *Client) Settle(c context.Context, r *wire.Settle) (*wire.SettleReply, error) {
	r.SetShard(claim.ShardOf(r.GetCaller(), r.GetKey()))
	a := &wire.SettleReply{}
	e := k.exchange(c, r.GetShard(), wire.Open_builder{Settle: r}.Build(), a)
	if e != nil {
		return nil, e
	}
	if !a.GetDone() {
		return nil, trail.NewError(a.GetCode(), trail.MayHaveRun, "%s", a.GetMessage())
	}
	return a, nil
}

// release marks an attempt as not run, so that the key can be taken again.
func (k *Client) release(r *wire.Claim) {
	s := wire.Settle_builder{
		Caller: proto.String(r.GetCaller()), Key: proto.String(r.GetKey()), AttemptId: proto.String(r.GetAttemptId()),
		Outcome: wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build(),
	}.Build()
	for range releaseTries {
		select {
		case <-time.After(releasePause):
		case <-k.c.Done():
			return
		}
		_, e := k.Settle(k.c, s)
		if e == nil || trail.CodeOf(e) == "claim-missing" {
			return
		}
	}
	k.l.WithField("attempt", r.GetAttemptId()).Warn("dedup: claim was not released")
}

// exchange asks the schedulers in the order of preference until one can be
// reached that is not shutting down. The members name one that shuts down a
// moment late.
func (k *Client) exchange(c context.Context, shard uint32, o *wire.Open, reply proto.Message) error {
	l := owner.Rank(k.v.Latest().GetMembers(), "sched", claim.OwnerKey(shard), "")
	var e error = trail.NewError("no-scheduler", trail.NotRun, "no scheduler is known")
	for i, m := range l {
		if i == maxSchedulers {
			break
		}
		var s *frame.Stream
		s, e = k.m.Open(c, m.GetPeerAddress(), o)
		if e == nil {
			e = receive(c, s, reply)
			if e != nil || !draining(reply) {
				return e
			}
			continue
		}
		if trail.VerdictOf(e) != trail.NotRun {
			return e
		}
		k.l.WithError(e).WithField("member", m.GetId()).Warn("dedup: scheduler is unreachable, next one asked")
	}
	return e
}

func draining(reply proto.Message) bool {
	a, b := reply.(*wire.ClaimReply)
	return b && a.GetResult() == wire.ClaimReply_RESULT_REFUSED && a.GetCode() == codeDraining
}

func receive(c context.Context, s *frame.Stream, reply proto.Message) error {
	defer s.Close()
	e := s.SetDeadline(time.Now().Add(replyTimeout))
	if e != nil {
		return trail.WrapError(e, "claim-lost", trail.MayHaveRun, "stream failed")
	}
	f := context.AfterFunc(c, func() { _ = s.SetDeadline(time.Now()) })
	defer f()
	e = s.Recv(reply)
	if e != nil {
		return trail.WrapError(e, "claim-lost", trail.MayHaveRun, "scheduler did not answer")
	}
	return nil
}
