package entry

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// exchange is one request of a caller to a service on its way through the
// entry.
type exchange struct {
	entry   *Entry
	service *wire.Service
	call    *wire.Call
	// SHA-256 over method, path and body in hexadecimal.
	digest string
	// Idempotency key of a request that runs at most once, otherwise empty.
	key      string
	deadline time.Time
	// Whether the answer is stored and a resend gets it.
	storesAnswer bool
	// Whether the request id is registered for this attempt.
	registered bool
	// Whether the key is committed for this attempt.
	claimed bool
}

// newExchange completes a call that has its service, method, path and body.
// The wait is 0 when the caller sets no deadline.
func (s *Entry) newExchange(service *wire.Service, call *wire.Call, timeout time.Duration) (*exchange, error) {
	if int64(len(call.GetBody())) > s.serviceBodyLimit(service) {
		return nil, trail.NewError("body-too-large", trail.NotRun, "the body has more than %d bytes", s.serviceBodyLimit(service))
	}
	if timeout == 0 {
		timeout = time.Duration(service.GetLimits().GetDeadlineMs()) * time.Millisecond
	}
	if timeout == 0 {
		timeout = defaultDeadline
	}
	call.SetFingerprint(fingerprint(service, call))
	if s.isRejected(call.GetFingerprint()) {
		return nil, trail.NewError("request-rejected", trail.NotRun, "backend servers were lost while they ran this request")
	}
	x := &exchange{entry: s, service: service, call: call, digest: digest(call), deadline: time.Now().Add(timeout)}
	call.SetAttemptId(uuid.NewString())
	call.SetService(service.GetName())
	call.SetModel(service.GetModel())
	call.SetClass(wire.Class_CLASS_ONLINE)
	call.SetDeadlineUnixMs(x.deadline.UnixMilli())
	call.SetConfigVersion(s.views.Latest().GetConfig().GetVersion())
	return x, nil
}

func (s *Entry) serviceBodyLimit(service *wire.Service) int64 {
	if service.GetLimits().GetBodyBytes() > 0 {
		return service.GetLimits().GetBodyBytes()
	}
	return s.maxBodyBytes
}

// isRejected says whether the request crashed too many backend servers.
func (s *Entry) isRejected(fingerprint uint64) bool {
	for _, k := range s.views.Latest().GetCrashes() {
		if k.GetFingerprint() == fingerprint && k.GetRejected() {
			return true
		}
	}
	return false
}

// hashInput joins method, path and body without ambiguity.
func hashInput(call *wire.Call) []byte {
	b := make([]byte, 0, len(call.GetMethod())+len(call.GetPath())+len(call.GetBody())+2)
	b = append(b, call.GetMethod()...)
	b = append(b, 0)
	b = append(b, call.GetPath()...)
	b = append(b, 0)
	return append(b, call.GetBody()...)
}

func fingerprint(service *wire.Service, call *wire.Call) uint64 {
	b := hashInput(call)
	if service.GetKind() == plainKind && call.GetNonIdempotent() {
		// Two reorders with the same text are two requests: one that is lost
		// must not count against the next.
		b = append(b, cmp.Or(headerValue(call.GetHeaders(), idempotencyKeyHeader), call.GetRequestId())...)
	}
	return xxhash.Sum64(b)
}

func digest(call *wire.Call) string {
	h := sha256.Sum256(hashInput(call))
	return hex.EncodeToString(h[:])
}

// run takes the request to its stored answer or to the head of a new one. The
// context that it returns bounds the rest of the answer.
//
// A request with a claim runs to its end when its caller goes away, so that
// its outcome is known to a resend.
func (x *exchange) run(ctx context.Context) (*response, error) {
	d, f := context.WithDeadline(ctx, x.deadline)
	defer f()
	a, e := x.register(d)
	if e != nil {
		return nil, e
	}
	if a == nil && x.key != "" {
		a, e = x.claim(d)
	}
	if e != nil || a != nil {
		x.abandon(ctx)
		return &response{stored: a}, e
	}
	if x.claimed {
		ctx = context.WithoutCancel(ctx)
	}
	t := time.Now()
	d, g := context.WithDeadline(ctx, x.deadline)
	r, e := x.entry.router.Call(d, x.service.GetName(), x.call)
	if e != nil {
		g()
		return nil, x.fail(ctx, e)
	}
	o := &response{exchange: x, ctx: d, cancel: g, replies: r}
	e = o.receiveHead()
	if e != nil {
		o.Close()
		return nil, x.fail(ctx, e)
	}
	x.entry.metrics.firstByteSeconds.WithLabelValues(x.service.GetName()).Observe(time.Since(t).Seconds())
	return o, nil
}

// fail ends an attempt that gave no complete answer, and returns e. What
// surely did not run gives its key back. What may have run and must not run
// twice keeps its claim or, without one, its registration, so that a resend
// does not run.
func (x *exchange) fail(ctx context.Context, err error) error {
	b := trail.VerdictOf(err) == trail.NotRun
	if x.claimed && b {
		x.settle(ctx, wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build())
	}
	if b || x.claimed || !x.call.GetNonIdempotent() {
		x.abandon(ctx)
	}
	return err
}

// finish keeps a complete answer and settles the claim. It returns whether
// two copies of the answer exist.
func (x *exchange) finish(ctx context.Context, answer *wire.StoredAnswer) bool {
	n := int32(0)
	if x.storesAnswer {
		n = x.storeAnswer(ctx, answer)
	}
	if n == 0 {
		x.abandon(ctx)
	}
	if x.claimed {
		o := wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build()
		o.SetStatus(answer.GetStatus())
		if n > 0 {
			o.SetAnswerId(x.call.GetRequestId())
		}
		x.settle(ctx, o)
	}
	v := n >= requiredCopies
	x.entry.metrics.answerCount.WithLabelValues(x.service.GetName(), boolText(v)).Inc()
	return v
}

func boolText(value bool) string {
	if value {
		return "true"
	}
	return "false"
}

// waitPollInterval waits before the next question for an outcome. It returns false when
// c has ended.
func waitPollInterval(ctx context.Context) bool {
	select {
	case <-time.After(pollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
