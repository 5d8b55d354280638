package place

import (
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
)

// shareSmoothing is the work, in calls like the one to place, that is added to
// each backend server's recent work before it is compared with the mean, so
// that a few calls after a quiet time do not look like an overload.
const shareSmoothing = 8

// schedule gives the free slots of a service to its waiting calls.
func (p *Place) schedule(now time.Time, v *service) {
	p.rejectUnservable(now, v)
	p.runSuspects(now, v)
	p.runRetries(now, v)
	p.runQueue(now, v, v.online)
	p.runQueue(now, v, v.batch)
}

// rejectUnservable ends the waiting calls of a service without a backend
// server. Batch calls wait for ejected ones.
func (p *Place) rejectUnservable(now time.Time, v *service) {
	if v.calls == 0 {
		return
	}
	s, w := v.available(now)
	if s {
		return
	}
	for _, k := range p.waiting() {
		if k.v == v && (k.online() || w == 0) {
			p.reject(k, codeNoServer, clampWait(w))
		}
	}
}

func (p *Place) runQueue(now time.Time, v *service, q trail.Queue) {
	for {
		n, e := q.Next(now)
		if !e {
			return
		}
		k := p.calls[n]
		l := v.eligible(now, k)
		if len(l) == 0 {
			return
		}
		q.Remove(n, true)
		p.dispatch(now, k, l)
	}
}

// runRetries tries each retry on its own, because each may use different
// backend servers; one that has to wait must not hold up the others.
func (p *Place) runRetries(now time.Time, v *service) {
	for _, k := range slices.Clone(v.retries) {
		if !v.otherPresent(now, k) {
			p.reject(k, codeNoServer, minRetryAfter)
			continue
		}
		l := v.eligible(now, k)
		if len(l) == 0 {
			continue
		}
		v.retries = without(v.retries, k)
		p.dispatch(now, k, l)
	}
}

// otherPresent returns whether the service has a backend server at which the
// call has not failed.
func (v *service) otherPresent(now time.Time, k *call) bool {
	return slices.ContainsFunc(v.servers, func(s *server) bool {
		return s.present(now) && !(k.suspect && s.lost) && !slices.Contains(k.tried, s.name)
	})
}

// eligible returns the backend servers with a slot for the call. For an online
// call these include the ones whose batch work gives one up.
func (v *service) eligible(now time.Time, k *call) []*server {
	var h []int
	if !k.online() {
		h = v.headroom(now)
	}
	var l, b []*server
	for i, s := range v.servers {
		if !s.usable(now) || s.reserved != nil || slices.Contains(k.tried, s.name) {
			continue
		}
		if !k.online() {
			if s.free() > 0 && s.limit()-s.online-s.external-h[i]-s.batch > 0 {
				l = append(l, s)
			}
			continue
		}
		switch {
		case s.free() > 0 && s.probing() && k.r.GetNonIdempotent():
			// A call that can't be repeated is not used as a probe while
			// another backend server can take it.
			b = append(b, s)
		case s.free() > 0:
			l = append(l, s)
		case s.online+s.external < s.limit() && s.youngest() != nil:
			l = append(l, s)
		}
	}
	if len(l) > 0 {
		return l
	}
	return b
}

// dispatch runs a call at one of the backend servers, and first preempts batch
// work there if no slot is free.
func (p *Place) dispatch(now time.Time, k *call, l []*server) {
	r := "preempted-batch"
	c := make([]trail.Candidate, 0, len(l))
	w := k.v.meanWork(now)
	o := shareSmoothing * float64(max(k.r.GetCostTokens(), 1))
	for _, s := range l {
		m := s.prefixes.matched(k.r.GetPrefixHashes())
		a := trail.NewCandidate(s.name, s.load(k), s.limit(), m, s.free() <= 0)
		if k.online() {
			a = a.WithWorkShare((s.recentWork(now) + o) / (w + o))
		}
		c = append(c, a)
	}
	i, t := p.policy.Choose(k.r, c, k.v.meanLoad(now, k))
	s := l[i]
	var b []*call
	for s.free() <= 0 {
		y := s.youngest()
		if y == nil {
			break
		}
		b = append(b, y.k)
		p.preempt(now, y, "online-needs-slot")
	}
	if len(b) == 0 {
		r = t
	}
	if k.failures > 0 {
		r = "retry"
	}
	p.start(now, k, s, r, names(l, s))
}

// names returns the names of the backend servers other than s.
func names(l []*server, s *server) []string {
	var n []string
	for _, a := range l {
		if a != s {
			n = append(n, a.name)
		}
	}
	return n
}

// load returns the calls in flight that stay when the call is dispatched here.
func (s *server) load(k *call) int {
	if k.online() {
		return s.online + s.external
	}
	return len(s.running) + s.external
}

// meanLoad returns the load per usable backend server, with the new call.
func (v *service) meanLoad(now time.Time, k *call) float64 {
	n := 0
	w := 1
	for _, s := range v.servers {
		if s.usable(now) {
			n++
			w += s.load(k)
		}
	}
	return float64(w) / float64(max(n, 1))
}

// meanWork returns the weighted cost of the recent online calls per usable
// backend server.
func (v *service) meanWork(now time.Time) float64 {
	n := 0
	w := 0.0
	for _, s := range v.servers {
		if s.usable(now) {
			n++
			w += s.recentWork(now)
		}
	}
	return w / float64(max(n, 1))
}

// preempt cancels a batch attempt and queues its call again at its old place.
func (p *Place) preempt(now time.Time, a *attempt, reason string) {
	k := a.k
	p.out = append(p.out, decide.Cancel(k.key, k.r, a.id, a.s.name, reason))
	p.release(a)
	k.verdict = trail.MayHaveRun
	if k.failures > 0 {
		// In the queue it would hold up the others until a backend server at
		// which it has not failed is free.
		k.v.retries = append(k.v.retries, k)
		return
	}
	k.v.batch.Push(now, trail.NewQueued(k.key, k.r, k.arrived))
}

func (p *Place) start(now time.Time, k *call, s *server, reason string, alternatives []string) *attempt {
	a := &attempt{id: p.attemptID(), k: k, s: s, order: p.attempts, began: now}
	k.a = a
	p.running[a.id] = a
	s.running[a.id] = a
	s.peaks[0] = max(s.peaks[0], len(s.running))
	if k.online() {
		s.online++
		s.recent = s.recentWork(now) + float64(max(k.r.GetCostTokens(), 1))
		s.recentAt = now
	} else {
		s.batch++
	}
	a.inFlight = len(s.running)
	s.prefixes.add(k.r.GetPrefixHashes())
	p.out = append(p.out, decide.Dispatch(k.key, k.r, a.id, s.name, s.address, reason, alternatives))
	return a
}
