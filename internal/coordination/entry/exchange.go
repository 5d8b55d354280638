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
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// exchange is the state of one request of a caller to a service, from its
// validation to the end of the response.
type exchange struct {
	entry   *Entry
	service *wire.Service
	call    *wire.Call
	// SHA-256 over method, path and body in hexadecimal.
	digest string
	// Idempotency key of a request that must run at most once, otherwise empty.
	key      string
	deadline time.Time
	// Whether the answer is stored, so that a resend gets it.
	storesAnswer bool
	// Whether the request id is registered for this attempt at a depot.
	registered bool
	// Whether the idempotency key is claimed for this attempt.
	claimed bool
}

// newExchange validates a call to a service and fills in its attempt id,
// deadline and fingerprint. A timeout of 0 means that the caller sets none; the
// service's deadline applies then, or else the default.
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
	if w := s.rejectionLeft(call.GetFingerprint()); w > 0 {
		return nil, trail.NewError("request-rejected", trail.NotRun, "backend servers were lost while they ran this request").WithRetryAfter(w)
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

// rejectionLeft returns for how long the request is still rejected because it has
// crashed several backend servers, 0 if it is not.
func (s *Entry) rejectionLeft(fingerprint uint64) time.Duration {
	for _, k := range s.views.Latest().GetCrashes() {
		if k.GetFingerprint() == fingerprint {
			return poison.RejectionLeft(time.Now(), k)
		}
	}
	return 0
}

// hashInput joins method, path and body, separated by zero bytes, so that
// different calls have different inputs.
func hashInput(call *wire.Call) []byte {
	b := make([]byte, 0, len(call.GetMethod())+len(call.GetPath())+len(call.GetBody())+2)
	b = append(b, call.GetMethod()...)
	b = append(b, 0)
	b = append(b, call.GetPath()...)
	b = append(b, 0)
	return append(b, call.GetBody()...)
}

// fingerprint returns the hash by which crashes of backend servers are
// attributed to a request and its repetitions.
func fingerprint(service *wire.Service, call *wire.Call) uint64 {
	b := hashInput(call)
	if service.GetKind() == plainKind && call.GetNonIdempotent() {
		// Two non-idempotent requests with the same content are different
		// requests: a crash during one must not count against the other.
		b = append(b, cmp.Or(headerValue(call.GetHeaders(), idempotencyKeyHeader), call.GetRequestId())...)
	}
	return xxhash.Sum64(b)
}

// digest returns the digest by which a resend is recognised as the same request.
func digest(call *wire.Call) string {
	h := sha256.Sum256(hashInput(call))
	return hex.EncodeToString(h[:])
}

// run returns the stored answer of the request, or dispatches it and returns
// the response once its head has been received. The context in the response
// bounds the rest of it.
//
// A request with a claim runs to its end even when its caller disconnects, so
// that its outcome is known to a resend.
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

// fail ends an attempt without a complete answer, and returns err. When the
// request certainly did not run, its key is released. When it may have run and
// must not run twice, its claim or, without one, its registration is kept, so
// that a resend does not run.
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

// finish stores a complete answer and settles the claim. It reports whether
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

// waitPollInterval waits before the next poll for an outcome. It returns false
// when ctx is done.
func waitPollInterval(ctx context.Context) bool {
	select {
	case <-time.After(pollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
