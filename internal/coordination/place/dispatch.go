package place

import (
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
)

// shareSmoothing is the amount of work, in calls of the cost of the one to
// place, that is added both to each backend server's recent work and to the
// mean before they are compared. Without it, a few calls after an idle period
// would look like an overload.
const shareSmoothing = 8

// schedule dispatches the waiting calls of a service to its free slots:
// suspects first, then retries, online calls and batch calls.
func (p *Placer) schedule(now time.Time, service *service) {
	p.rejectUnservable(now, service)
	p.dispatchSuspects(now, service)
	p.dispatchRetries(now, service)
	p.dispatchQueued(now, service, service.onlineQueue)
	p.dispatchQueued(now, service, service.batchQueue)
}

// rejectUnservable rejects the waiting calls of a service without a usable
// backend server. Batch calls are kept while an ejected one is due to return.
func (p *Placer) rejectUnservable(now time.Time, service *service) {
	if service.callCount == 0 {
		return
	}
	s, w := service.available(now)
	if s {
		return
	}
	for _, k := range p.waitingCalls() {
		if k.service == service && (k.online() || w == 0) {
			p.reject(k, codeNoServer, clampRetryAfter(w))
		}
	}
}

func (p *Placer) dispatchQueued(now time.Time, service *service, queue trail.Queue) {
	for {
		n, e := queue.Next(now)
		if !e {
			return
		}
		k := p.calls[n]
		l := service.eligibleServers(now, k)
		if len(l) == 0 && service.boundToVersion(k) {
			// It must not block the calls behind it, which may go to servers of
			// other versions.
			queue.Remove(n, false)
			service.retries = append(service.retries, k)
			p.dispatchRetries(now, service)
			continue
		}
		if len(l) == 0 {
			return
		}
		queue.Remove(n, true)
		p.dispatch(now, k, l)
	}
}

// dispatchRetries considers each retry separately. Each may have other backend
// servers left to try, so that one without a free slot must not block the ones
// behind it.
func (p *Placer) dispatchRetries(now time.Time, service *service) {
	for _, k := range slices.Clone(service.retries) {
		if !service.hasUntriedServer(now, k) {
			p.reject(k, codeNoServer, minRetryAfter)
			continue
		}
		l := service.eligibleServers(now, k)
		if len(l) == 0 {
			continue
		}
		service.retries = removeFrom(service.retries, k)
		p.dispatch(now, k, l)
	}
}

// hasUntriedServer returns whether a backend server is present on which the
// call has not failed.
func (v *service) hasUntriedServer(now time.Time, call *call) bool {
	return slices.ContainsFunc(v.servers, func(s *server) bool {
		return s.present(now) && !s.lost && !slices.Contains(call.failedHosts, s.name) && v.mayContinue(call, s.process)
	})
}

// eligibleServers returns the backend servers that can take the call now. For
// an online call these include the ones with preemptable batch work.
func (v *service) eligibleServers(now time.Time, call *call) []*server {
	var h []int
	if !call.online() {
		h = v.headroom(now)
	}
	var l, b []*server
	for i, s := range v.servers {
		if !s.usable(now) || s.reservedFor != nil || slices.Contains(call.failedHosts, s.name) || !v.mayContinue(call, s.process) {
			continue
		}
		if !call.online() {
			if s.freeSlots() > 0 && s.limit()-s.onlineInFlight-s.externalLoad-h[i]-s.batchInFlight > 0 {
				l = append(l, s)
			}
			continue
		}
		switch {
		case s.freeSlots() > 0 && s.probing() && call.request.GetNonIdempotent():
			// A non-idempotent call is used as a probe only if no other backend
			// server can take it.
			b = append(b, s)
		case s.freeSlots() > 0:
			l = append(l, s)
		case s.onlineInFlight+s.externalLoad < s.limit() && s.youngestPreemptable() != nil:
			l = append(l, s)
		}
	}
	if len(l) > 0 {
		return l
	}
	return b
}

// dispatch assigns the call to the one of the given backend servers that the
// policy chooses. It first preempts batch work there if no slot is free.
func (p *Placer) dispatch(now time.Time, queued *call, servers []*server) {
	r := "preempted-batch"
	c := make([]trail.Candidate, 0, len(servers))
	w := queued.service.meanRecentCost(now)
	o := shareSmoothing * float64(max(queued.request.GetCostTokens(), 1))
	for _, s := range servers {
		m := s.prefixes.countMatched(queued.request.GetPrefixHashes())
		a := trail.NewCandidate(s.name, s.loadFor(queued), s.limit(), m, s.freeSlots() <= 0)
		if queued.online() {
			a = a.WithWorkShare((s.recentOnlineCost(now) + o) / (w + o))
		}
		c = append(c, a)
	}
	i, t := p.policy.Choose(queued.request, c, queued.service.meanLoad(now, queued))
	s := servers[i]
	var b []*call
	for s.freeSlots() <= 0 {
		y := s.youngestPreemptable()
		if y == nil {
			break
		}
		b = append(b, y.call)
		p.preempt(now, y, "online-needs-slot")
	}
	if len(b) == 0 {
		r = t
	}
	if queued.failedAttempts > 0 {
		r = "retry"
	}
	p.startAttempt(now, queued, s, r, otherNames(servers, s))
}

// otherNames returns the names of the backend servers that were not chosen.
func otherNames(servers []*server, chosen *server) []string {
	var n []string
	for _, a := range servers {
		if a != chosen {
			n = append(n, a.name)
		}
	}
	return n
}

// loadFor returns the calls in flight that remain when the call is dispatched
// here. An online call may preempt batch calls, so they do not count for it.
func (s *server) loadFor(call *call) int {
	if call.online() {
		return s.onlineInFlight + s.externalLoad
	}
	return len(s.inFlight) + s.externalLoad
}

// meanLoad returns the mean load of the usable backend servers, including the
// new call.
func (v *service) meanLoad(now time.Time, call *call) float64 {
	n := 0
	w := 1
	for _, s := range v.servers {
		if s.usable(now) {
			n++
			w += s.loadFor(call)
		}
	}
	return float64(w) / float64(max(n, 1))
}

// meanRecentCost returns the mean recentOnlineCost of the usable backend
// servers.
func (v *service) meanRecentCost(now time.Time) float64 {
	n := 0
	w := 0.0
	for _, s := range v.servers {
		if s.usable(now) {
			n++
			w += s.recentOnlineCost(now)
		}
	}
	return w / float64(max(n, 1))
}

// preempt cancels a batch attempt and requeues its call at its original
// position.
func (p *Placer) preempt(now time.Time, attempt *attempt, reason string) {
	k := attempt.call
	p.decisions = append(p.decisions, decide.Cancel(k.key, k.request, attempt.id, attempt.server.name, reason))
	p.releaseSlot(attempt)
	k.verdict = trail.MayHaveRun
	if k.failedAttempts > 0 {
		// At the head of the queue it would block the calls behind it until a
		// backend server on which it has not failed has a free slot.
		k.service.retries = append(k.service.retries, k)
		return
	}
	k.service.batchQueue.Push(now, trail.NewQueued(k.key, k.request, k.arrivedAt))
}

func (p *Placer) startAttempt(now time.Time, call *call, server *server, reason string, alternatives []string) *attempt {
	a := &attempt{id: p.newAttemptID(), call: call, server: server, address: server.address, process: server.process, sequence: p.attemptCount, startedAt: now}
	call.attempt = a
	p.inFlight[a.id] = a
	server.inFlight[a.id] = a
	server.countCall(now)
	server.peakInFlight[0] = max(server.peakInFlight[0], len(server.inFlight))
	if call.online() {
		server.onlineInFlight++
		server.onlineCost = server.recentOnlineCost(now) + float64(max(call.request.GetCostTokens(), 1))
		server.onlineCostAt = now
	} else {
		server.batchInFlight++
	}
	a.serverInFlight = len(server.inFlight)
	server.prefixes.add(call.request.GetPrefixHashes())
	p.decisions = append(p.decisions, decide.Dispatch(call.key, call.request, a.id, server.name, server.address, reason, alternatives))
	return a
}
