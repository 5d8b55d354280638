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

// Codes of rejections.
const (
	codeDraining    = "scheduler-draining"
	codeUnknown     = "unknown-service"
	codeNoServer    = "no-backend-server"
	codeQueueFull   = "queue-full"
	codeDeadline    = "deadline-unreachable"
	codeExceeded    = "deadline-exceeded"
	codePoisoned    = "request-rejected"
	codeRefused     = "backend-refused"
	codeServerDrain = "backend-draining"
	codeLost        = "backend-lost"
	codeFailed      = "backend-failed"
	codeSilent      = "backend-silent"
)

const (
	// Bounds of Retry-After: a shorter wait would return before anything has
	// changed, a longer one outlasts most overloads.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// call is one request from its arrival to its end.
type call struct {
	key      uint64
	r        *wire.Call
	v        *service
	arrived  time.Time
	deadline time.Time
	// The attempt in flight, nil while the call waits.
	a *attempt
	// Attempts that failed.
	failures int
	// Hosts at which attempts failed.
	tried []string
	// Whether reply data was passed on to the requester.
	passed bool
	// NotRun until an attempt may have run.
	verdict trail.Verdict
	// Whether it runs alone because a host was lost while it ran.
	suspect bool
	// Digest of method, path and body; never 0.
	fingerprint uint64
}

func (k *call) online() bool { return k.r.GetClass() != wire.Class_CLASS_BATCH }

// resumable returns whether a later attempt can go on where one was cut off.
func (k *call) resumable() bool { return k.v.model() && k.r.GetStream() }

// preemptable returns whether the requester does not notice when the attempt
// in flight is cancelled and another one started.
func (k *call) preemptable() bool {
	if k.online() || k.r.GetNonIdempotent() || k.suspect {
		return false
	}
	return !k.passed || k.resumable()
}

// Arrived adds a call. The key must be larger than all earlier ones.
func (p *Place) Arrived(now time.Time, key uint64, r *wire.Call) []decide.Decision {
	k := &call{key: key, r: r, arrived: now, verdict: trail.NotRun, fingerprint: fingerprint(r)}
	if r.GetDeadlineUnixMs() != 0 {
		k.deadline = time.UnixMilli(r.GetDeadlineUnixMs())
	}
	v := p.services[r.GetService()]
	k.v = v
	e, w := p.admit(now, k)
	if e != "" {
		p.out = append(p.out, decide.Reject(key, r, e, trail.NotRun, w))
		return p.take()
	}
	p.calls[key] = k
	if !k.deadline.IsZero() {
		p.bounded[key] = k
	}
	v.calls++
	v.budget.First()
	if k.online() {
		v.burst.arrived(now)
	}
	k.suspect = p.crashes.IsSuspect(k.fingerprint)
	if k.suspect {
		k.tried = slices.Clone(p.crashes.CrashedHosts(k.fingerprint))
		v.suspects = append(v.suspects, k)
	} else {
		v.queue(k).Push(now, trail.NewQueued(key, r, now))
	}
	p.schedule(now, v)
	return p.take()
}

// fingerprint returns the requester's digest of method, path and body. Without
// one it is computed, because calls that share a digest share their crashes.
func fingerprint(r *wire.Call) uint64 {
	if r.GetFingerprint() != 0 {
		return r.GetFingerprint()
	}
	d := xxhash.New()
	for _, b := range [][]byte{[]byte(r.GetMethod()), []byte(r.GetPath()), r.GetBody()} {
		// Writing to a digest never fails. The separator keeps the parts apart.
		_, _ = d.Write(b)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// admit returns why a call is rejected on arrival, or the empty string.
func (p *Place) admit(now time.Time, k *call) (string, time.Duration) {
	v := k.v
	if p.draining {
		return codeDraining, minRetryAfter
	}
	if v == nil || v.text == nil {
		return codeUnknown, 0
	}
	if p.crashes.IsRejected(k.fingerprint) {
		return codePoisoned, 0
	}
	s, w := v.available(now)
	if !s && (k.online() || w == 0) {
		return codeNoServer, clampWait(w)
	}
	if !k.deadline.IsZero() && now.Add(v.wait(now, k)+v.estimate(k)).After(k.deadline) {
		return codeDeadline, clampWait(v.wait(now, k))
	}
	q := v.queue(k)
	if q.Len() < v.maxQueued(k) {
		return "", 0
	}
	d, e := q.Displaced(k.r.GetCaller())
	if !e {
		return codeQueueFull, clampWait(v.wait(now, k))
	}
	p.reject(p.calls[d], codeQueueFull, clampWait(v.wait(now, p.calls[d])))
	return "", 0
}

func clampWait(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// GivenUp ends a call whose requester does not want the answer any more.
func (p *Place) GivenUp(now time.Time, key uint64) []decide.Decision {
	k := p.calls[key]
	if k == nil {
		return nil
	}
	if a := k.a; a != nil {
		p.out = append(p.out, decide.Cancel(key, k.r, a.id, a.s.name, "given-up"))
		p.release(a)
	}
	p.remove(k)
	p.schedule(now, k.v)
	return p.take()
}

// reject ends a waiting call.
func (p *Place) reject(k *call, code string, wait time.Duration) {
	p.remove(k)
	p.out = append(p.out, decide.Reject(k.key, k.r, code, k.verdict, wait))
}

// remove forgets a call that is not in flight.
func (p *Place) remove(k *call) {
	v := k.v
	v.queue(k).Remove(k.key, false)
	v.retries = without(v.retries, k)
	v.suspects = without(v.suspects, k)
	for _, s := range v.servers {
		if s.reserved == k {
			s.reserved = nil
		}
	}
	delete(p.calls, k.key)
	delete(p.bounded, k.key)
	v.calls--
}

func without(l []*call, k *call) []*call {
	return slices.DeleteFunc(l, func(o *call) bool { return o == k })
}

// expire ends the calls whose deadline has passed or can't be met.
func (p *Place) expire(now time.Time) {
	var l []*call
	for _, k := range p.bounded {
		t := now
		if k.a == nil {
			t = now.Add(k.v.estimate(k))
		}
		if t.After(k.deadline) {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b *call) int { return cmp.Compare(a.key, b.key) })
	for _, k := range l {
		if a := k.a; a != nil {
			p.out = append(p.out, decide.Cancel(k.key, k.r, a.id, a.s.name, codeExceeded))
			p.release(a)
			k.verdict = trail.MayHaveRun
			if k.online() {
				k.v.margin = min(k.v.margin+marginRise, maxMargin)
			}
			p.reject(k, codeExceeded, 0)
			continue
		}
		p.reject(k, codeDeadline, clampWait(k.v.wait(now, k)))
	}
}
