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
	s       *Entry
	service *wire.Service
	call    *wire.Call
	// SHA-256 over method, path and body in hexadecimal.
	digest string
	// Idempotency key of a request that runs at most once, otherwise empty.
	key      string
	deadline time.Time
	// Whether the answer is stored and a resend gets it.
	keeps bool
	// Whether the request id is registered for this attempt.
	begun bool
	// Whether the key is committed for this attempt.
	claimed bool
}

// newExchange completes a call that has its service, method, path and body.
// The wait is 0 when the caller sets no deadline.
func (s *Entry) newExchange(v *wire.Service, r *wire.Call, wait time.Duration) (*exchange, error) {
	if int64(len(r.GetBody())) > s.bodyLimit(v) {
		return nil, trail.NewError("body-too-large", trail.NotRun, "the body has more than %d bytes", s.bodyLimit(v))
	}
	if wait == 0 {
		wait = time.Duration(v.GetLimits().GetDeadlineMs()) * time.Millisecond
	}
	if wait == 0 {
		wait = defaultDeadline
	}
	r.SetFingerprint(fingerprint(v, r))
	if s.rejected(r.GetFingerprint()) {
		return nil, trail.NewError("request-rejected", trail.NotRun, "backend servers were lost while they ran this request")
	}
	x := &exchange{s: s, service: v, call: r, digest: digest(r), deadline: time.Now().Add(wait)}
	r.SetAttemptId(uuid.NewString())
	r.SetService(v.GetName())
	r.SetModel(v.GetModel())
	r.SetClass(wire.Class_CLASS_ONLINE)
	r.SetDeadlineUnixMs(x.deadline.UnixMilli())
	r.SetConfigVersion(s.views.Latest().GetConfig().GetVersion())
	return x, nil
}

func (s *Entry) bodyLimit(v *wire.Service) int64 {
	if v.GetLimits().GetBodyBytes() > 0 {
		return v.GetLimits().GetBodyBytes()
	}
	return s.bodyBytes
}

// rejected says whether the request crashed too many backend servers.
func (s *Entry) rejected(fingerprint uint64) bool {
	for _, k := range s.views.Latest().GetCrashes() {
		if k.GetFingerprint() == fingerprint && k.GetRejected() {
			return true
		}
	}
	return false
}

// parts joins method, path and body without ambiguity.
func parts(r *wire.Call) []byte {
	b := make([]byte, 0, len(r.GetMethod())+len(r.GetPath())+len(r.GetBody())+2)
	b = append(b, r.GetMethod()...)
	b = append(b, 0)
	b = append(b, r.GetPath()...)
	b = append(b, 0)
	return append(b, r.GetBody()...)
}

func fingerprint(v *wire.Service, r *wire.Call) uint64 {
	b := parts(r)
	if v.GetKind() == plainKind && r.GetNonIdempotent() {
		// Two reorders with the same text are two requests: one that is lost
		// must not count against the next.
		b = append(b, cmp.Or(headerOf(r.GetHeaders(), keyHeader), r.GetRequestId())...)
	}
	return xxhash.Sum64(b)
}

func digest(r *wire.Call) string {
	h := sha256.Sum256(parts(r))
	return hex.EncodeToString(h[:])
}

// run takes the request to its stored answer or to the head of a new one. The
// context that it returns bounds the rest of the answer.
//
// A request with a claim runs to its end when its caller goes away, so that
// its outcome is known to a resend.
func (x *exchange) run(c context.Context) (*opened, error) {
	d, f := context.WithDeadline(c, x.deadline)
	defer f()
	a, e := x.begin(d)
	if e != nil {
		return nil, e
	}
	if a == nil && x.key != "" {
		a, e = x.claim(d)
	}
	if e != nil || a != nil {
		x.abandon(c)
		return &opened{stored: a}, e
	}
	if x.claimed {
		c = context.WithoutCancel(c)
	}
	t := time.Now()
	d, g := context.WithDeadline(c, x.deadline)
	r, e := x.s.route.Call(d, x.service.GetName(), x.call)
	if e != nil {
		g()
		return nil, x.failed(c, e)
	}
	o := &opened{x: x, c: d, cancel: g, replies: r}
	e = o.receiveHead()
	if e != nil {
		o.Close()
		return nil, x.failed(c, e)
	}
	x.s.counts.firstByte.WithLabelValues(x.service.GetName()).Observe(time.Since(t).Seconds())
	return o, nil
}

// failed ends an attempt that gave no complete answer, and returns e. What
// surely did not run gives its key back. What may have run and must not run
// twice keeps its claim or, without one, its registration, so that a resend
// does not run.
func (x *exchange) failed(c context.Context, e error) error {
	b := trail.VerdictOf(e) == trail.NotRun
	if x.claimed && b {
		x.settle(c, wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum()}.Build())
	}
	if b || x.claimed || !x.call.GetNonIdempotent() {
		x.abandon(c)
	}
	return e
}

// finished keeps a complete answer and settles the claim. It returns whether
// two copies of the answer exist.
func (x *exchange) finished(c context.Context, a *wire.StoredAnswer) bool {
	n := int32(0)
	if x.keeps {
		n = x.keep(c, a)
	}
	if n == 0 {
		x.abandon(c)
	}
	if x.claimed {
		o := wire.Outcome_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build()
		o.SetStatus(a.GetStatus())
		if n > 0 {
			o.SetAnswerId(x.call.GetRequestId())
		}
		x.settle(c, o)
	}
	v := n >= copies
	x.s.counts.answers.WithLabelValues(x.service.GetName(), yesNo(v)).Inc()
	return v
}

func yesNo(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// pause waits before the next question for an outcome. It returns false when
// c has ended.
func pause(c context.Context) bool {
	select {
	case <-time.After(pollPeriod):
		return true
	case <-c.Done():
		return false
	}
}
