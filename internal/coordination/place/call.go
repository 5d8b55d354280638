package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Codes of rejected calls and failed attempts.
const (
	codeDraining            = "scheduler-draining"
	codeUnknownService      = "unknown-service"
	codeNoServer            = "no-backend-server"
	codeQueueFull           = "queue-full"
	codeDeadlineUnreachable = "deadline-unreachable"
	codeDeadlineExceeded    = "deadline-exceeded"
	codePoisoned            = "request-rejected"
	codeRefused             = "backend-refused"
	codeServerDraining      = "backend-draining"
	codeLost                = "backend-lost"
	codeFailed              = "backend-failed"
	codeSilent              = "backend-silent"
	codeReplaced            = "backend-replaced"
	codeBusy                = "backend-busy"
	codeTooLarge            = "request-too-large"
)

const (
	// Bounds of Retry-After. The state has rarely changed after a shorter wait,
	// and most overloads end within the longer one.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// call is one request from its arrival until it is completed, rejected or
// abandoned.
type call struct {
	key       uint64
	request   *wire.Call
	service   *service
	arrivedAt time.Time
	deadline  time.Time
	// Nil while the call waits.
	attempt        *attempt
	failedAttempts int
	// Backend servers on which an attempt failed.
	failedHosts []string
	// Whether reply data was sent to the requester.
	dataSent bool
	// The processes that have sent it.
	processes []*process
	// NotRun until an attempt may have run.
	verdict trail.Verdict
	// Whether a backend server was lost while it ran this request, so that it
	// must run alone.
	suspect bool
	// Digest of method, path and body; never 0.
	fingerprint uint64
}

func (k *call) online() bool { return k.request.GetClass() != wire.Class_CLASS_BATCH }

// resumable returns whether a later attempt can continue the answer where an
// earlier one was interrupted.
func (k *call) resumable() bool { return k.service.isModel() && k.request.GetStream() }

// preemptable returns whether the attempt in flight can be cancelled and
// replaced by another one without effect on the requester.
func (k *call) preemptable() bool {
	if k.online() || k.request.GetNonIdempotent() || k.suspect {
		return false
	}
	return !k.dataSent || k.resumable()
}

// CallArrived admits or rejects a new call. Its key must be larger than those
// of all earlier calls.
func (p *Placer) CallArrived(now time.Time, key uint64, request *wire.Call) []decide.Decision {
	k := &call{key: key, request: request, arrivedAt: now, verdict: trail.NotRun, fingerprint: fingerprint(request)}
	if request.GetDeadlineUnixMs() != 0 {
		k.deadline = time.UnixMilli(request.GetDeadlineUnixMs())
	}
	v := p.services[request.GetService()]
	k.service = v
	if t, x := p.poisoned(now, k); t > 0 && p.serves(v) {
		p.decisions = append(p.decisions, decide.Reject(key, request, codePoisoned, trail.NotRun, t).WithEvidence(x))
		return p.takeDecisions()
	}
	e, w := p.admit(now, k)
	if e != "" {
		p.decisions = append(p.decisions, decide.Reject(key, request, e, trail.NotRun, w))
		return p.takeDecisions()
	}
	p.calls[key] = k
	if !k.deadline.IsZero() {
		p.callsWithDeadline[key] = k
	}
	v.callCount++
	v.retryBudget.RecordFirst()
	if k.online() {
		v.onlineBurst.recordArrival(now)
	}
	k.suspect = p.crashTracker.IsSuspect(now, k.fingerprint)
	if k.suspect {
		k.failedHosts = slices.Clone(p.crashTracker.CrashedHosts(now, k.fingerprint))
		v.suspects = append(v.suspects, k)
	} else {
		v.queueFor(k).Push(now, trail.NewQueued(key, request, now))
	}
	p.schedule(now, v)
	return p.takeDecisions()
}

// fingerprint returns the digest of method, path and body that the requester
// sent. If there is none, it is computed: calls with the same digest share
// their crash history, so that a missing digest would mix up unrelated
// requests.
func fingerprint(request *wire.Call) uint64 {
	if request.GetFingerprint() != 0 {
		return request.GetFingerprint()
	}
	d := xxhash.New()
	for _, b := range [][]byte{[]byte(request.GetMethod()), []byte(request.GetPath()), request.GetBody()} {
		// Writing to a digest never fails. The separator keeps the boundaries
		// between the parts.
		_, _ = d.Write(b)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// serves returns whether new calls to a service are admitted at all.
func (p *Placer) serves(service *service) bool {
	return !p.draining && service != nil && service.config != nil
}

// admit returns the code and the Retry-After with which a new call is rejected,
// or an empty code if it is admitted. It may reject a queued call of another
// caller to make room.
func (p *Placer) admit(now time.Time, call *call) (string, time.Duration) {
	v := call.service
	if p.draining {
		return codeDraining, minRetryAfter
	}
	if !p.serves(v) {
		return codeUnknownService, 0
	}
	s, w := v.available(now)
	if !s && (call.online() || w == 0) {
		return codeNoServer, clampRetryAfter(w)
	}
	if !call.deadline.IsZero() && now.Add(v.estimateWait(now, call)+v.estimateDuration(call)).After(call.deadline) {
		return codeDeadlineUnreachable, clampRetryAfter(v.estimateWait(now, call))
	}
	q := v.queueFor(call)
	if q.Len() < v.maxQueued(call) {
		return "", 0
	}
	d, e := q.Displaced(call.request.GetCaller())
	if !e {
		return codeQueueFull, clampRetryAfter(v.estimateWait(now, call))
	}
	p.reject(p.calls[d], codeQueueFull, clampRetryAfter(v.estimateWait(now, p.calls[d])))
	return "", 0
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// CallAbandoned removes a call whose requester has cancelled it.
func (p *Placer) CallAbandoned(now time.Time, key uint64) []decide.Decision {
	k := p.calls[key]
	if k == nil {
		return nil
	}
	if a := k.attempt; a != nil {
		p.decisions = append(p.decisions, decide.Cancel(key, k.request, a.id, a.server.name, "given-up"))
		p.releaseSlot(a)
	}
	p.removeCall(k)
	p.schedule(now, k.service)
	return p.takeDecisions()
}

// reject removes a call that is not in flight and rejects it.
func (p *Placer) reject(call *call, code string, retryAfter time.Duration) {
	p.removeCall(call)
	p.decisions = append(p.decisions, decide.Reject(call.key, call.request, code, call.verdict, retryAfter))
}

// removeCall removes a call that is not in flight.
func (p *Placer) removeCall(call *call) {
	v := call.service
	v.queueFor(call).Remove(call.key, false)
	v.retries = removeFrom(v.retries, call)
	v.suspects = removeFrom(v.suspects, call)
	for _, s := range v.servers {
		if s.reservedFor == call {
			s.reservedFor = nil
		}
	}
	delete(p.calls, call.key)
	delete(p.callsWithDeadline, call.key)
	v.callCount--
}

func removeFrom(calls []*call, removed *call) []*call {
	return slices.DeleteFunc(calls, func(o *call) bool { return o == removed })
}

// endPastDeadline ends the calls in flight whose deadline has passed and the
// waiting calls that can no longer meet theirs.
func (p *Placer) endPastDeadline(now time.Time) {
	var l []*call
	for _, k := range p.callsWithDeadline {
		t := now
		if k.attempt == nil {
			t = now.Add(k.service.estimateDuration(k))
		}
		if t.After(k.deadline) {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b *call) int { return cmp.Compare(a.key, b.key) })
	for _, k := range l {
		if a := k.attempt; a != nil {
			p.decisions = append(p.decisions, decide.Cancel(k.key, k.request, a.id, a.server.name, codeDeadlineExceeded))
			p.releaseSlot(a)
			k.verdict = trail.MayHaveRun
			if k.online() {
				k.service.estimateMargin = min(k.service.estimateMargin+marginRise, maxMargin)
			}
			p.reject(k, codeDeadlineExceeded, 0)
			continue
		}
		p.reject(k, codeDeadlineUnreachable, clampRetryAfter(k.service.estimateWait(now, k)))
	}
}
