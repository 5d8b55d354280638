package claim

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// codePostponed is the code of a settlement that continues after its reply.
const codePostponed = "settle-postponed"

// sendTimeout limits how long a reply may block on a peer that does not read.
const sendTimeout = 5 * time.Second

// Claims grants and settles claims of idempotency keys. It implements
// trail.Claims.
type Claims struct {
	store    trail.Store
	messages chan any
	// Closed when the task has ended.
	done       chan struct{}
	logger     log.Interface
	decisions  *prometheus.CounterVec
	batchSizes prometheus.Histogram
}

var _ trail.Claims = (*Claims)(nil)

// New starts the task, which runs until ctx is done. The id is the member id of
// this process. A shard that another scheduler owns according to the views is
// served as well, but not kept in memory.
func New(ctx context.Context, id string, store trail.Store, views trail.Views, logger log.Interface, registry prometheus.Registerer) *Claims {
	s := &Claims{
		store:    store,
		messages: make(chan any),
		done:     make(chan struct{}),
		logger:   logger,
		decisions: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_claim_decisions_total",
			Help: "Claims and settlements by result or error code; an empty code is a recorded outcome.",
		}, []string{"operation", "result"}),
		batchSizes: promauto.With(registry).NewHistogram(prometheus.HistogramOpts{
			Name:    "bulrushtrail_claim_batch_operations",
			Help:    "Claims and settlements in one update of a shard.",
			Buckets: prometheus.ExponentialBuckets(1, 4, 7),
		}),
	}
	t := &task{claims: s, machine: newStateMachine(id)}
	go t.run(ctx, views.Subscribe(ctx))
	return s
}

// Claim commits the key for one attempt within 2 s. The request need not name
// the shard. The reply is granted, held or mismatch. A refused claim is an error
// with verdict NotRun and one of the codes "platform-unavailable",
// "claim-timeout", "claims-full", "claims-busy", "claim-invalid",
// "attempt-refused", "draining" and "claim-ended". It has a Retry-After if a
// later claim may succeed.
func (s *Claims) Claim(ctx context.Context, request *wire.Claim) (*wire.ClaimReply, error) {
	o := &operation{claim: request, reply: make(chan result, 1)}
	a, e := s.submit(ctx, o)
	if e != nil {
		return nil, trail.WrapError(e, "claim-ended", trail.NotRun, "claim was given up").WithRetryAfter(defaultRetryAfter)
	}
	if a.claim.GetResult() != wire.ClaimReply_RESULT_REFUSED {
		return a.claim, nil
	}
	return nil, trail.NewError(a.claim.GetCode(), trail.NotRun, "%s", a.claim.GetMessage()).
		WithRetryAfter(time.Duration(a.claim.GetRetryAfterMs()) * time.Millisecond)
}

// Settle records the outcome of a granted attempt within 2 s. The first final
// outcome of an attempt is never replaced. Its errors have the codes
// "claim-missing" and "outcome-differs", with verdict NotRun, if the outcome was
// not recorded and will not be; "settle-postponed", with verdict MayHaveRun, if
// the platform is unavailable and this process keeps retrying; "settle-ended",
// with verdict MayHaveRun, if the caller or the task ended before the reply; and
// the codes of refusals as for Claim.
func (s *Claims) Settle(ctx context.Context, request *wire.Settle) (*wire.SettleReply, error) {
	o := &operation{settle: request, reply: make(chan result, 1)}
	a, e := s.submit(ctx, o)
	if e != nil {
		return nil, trail.WrapError(e, "settle-ended", trail.MayHaveRun, "settlement was given up")
	}
	switch {
	case a.settle.GetDone():
		return a.settle, nil
	case a.settle.GetCode() == codePostponed:
		return nil, trail.NewError(codePostponed, trail.MayHaveRun, "%s", a.settle.GetMessage())
	}
	return nil, trail.NewError(a.settle.GetCode(), trail.NotRun, "%s", a.settle.GetMessage())
}

// submit passes an operation to the task and waits for its result.
func (s *Claims) submit(ctx context.Context, op *operation) (result, error) {
	select {
	case s.messages <- submitMessage{op}:
	case <-ctx.Done():
		return result{}, ctx.Err()
	case <-s.done:
		return result{}, context.Canceled
	}
	select {
	case a := <-op.reply:
		return a, nil
	case <-s.done:
		return result{}, context.Canceled
	case <-ctx.Done():
		s.send(cancelMessage{op})
		return result{}, ctx.Err()
	}
}

// send passes a message to the task, or drops it if the task has ended.
func (s *Claims) send(message any) {
	select {
	case s.messages <- message:
	case <-s.done:
	}
}

// ServeClaim serves a stream that begins with a Claim: it sends one ClaimReply.
func (s *Claims) ServeClaim(ctx context.Context, stream *frame.Stream, request *wire.Claim) {
	o := &operation{claim: request, reply: make(chan result, 1)}
	a, e := s.submit(ctx, o)
	if e != nil {
		return
	}
	_ = stream.SetDeadline(time.Now().Add(sendTimeout))
	e = stream.Send(a.claim)
	if e != nil {
		// The peer may have received the grant, so the attempt keeps the key.
		s.logger.WithError(e).WithField("attempt", request.GetAttemptId()).Warn("claim: failed to send reply")
	}
}

// ServeSettle serves a stream that begins with a Settle: it sends one
// SettleReply.
func (s *Claims) ServeSettle(ctx context.Context, stream *frame.Stream, request *wire.Settle) {
	o := &operation{settle: request, reply: make(chan result, 1)}
	a, e := s.submit(ctx, o)
	if e != nil {
		return
	}
	_ = stream.SetDeadline(time.Now().Add(sendTimeout))
	e = stream.Send(a.settle)
	if e != nil {
		s.logger.WithError(e).WithField("attempt", request.GetAttemptId()).Warn("claim: failed to send reply")
	}
}

// Drain refuses new claims and waits until all claims and settlements in
// progress are decided. Settlements are still accepted, because they complete
// the work that other components drain at the same time.
func (s *Claims) Drain(ctx context.Context) error {
	d := make(chan struct{})
	select {
	case s.messages <- drainMessage{d}:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return nil
	}
	select {
	case <-d:
		return nil
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
