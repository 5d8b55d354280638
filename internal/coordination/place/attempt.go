package place

import (
	"cmp"
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
)

const (
	// Limit on the failed attempts of one call.
	maxFailedAttempts = 3
	// Time that a stream may take to its first token: 1 s to connect and 10 s
	// to the first byte. Only the HTTP client detects silence later in the
	// stream.
	firstTokenTimeout = 11 * time.Second
)

// attempt is one execution of a call on a backend server.
type attempt struct {
	id     string
	call   *call
	server *server
	// Address of the server when the attempt started.
	address string
	// The process that runs it, by its response, or before that the latest process of
	// the server at the start of the attempt.
	process *process
	// Increases with each dispatch.
	sequence  uint64
	startedAt time.Time
	// Zero before the first reply data was sent.
	firstTokenAt time.Time
	// Attempts in flight on the backend server right after the dispatch,
	// including this one.
	serverInFlight int
}

// AttemptStarted reports that the backend server accepted the attempt. From
// then on it may have run.
func (p *Placer) AttemptStarted(_ time.Time, id string) []decide.Decision {
	if a := p.inFlight[id]; a != nil {
		a.call.verdict = trail.MayHaveRun
	}
	return nil
}

// AnswerStarted reports that the first reply data of the attempt was sent to
// the requester.
func (p *Placer) AnswerStarted(now time.Time, id string) []decide.Decision {
	a := p.inFlight[id]
	if a != nil {
		a.call.recordData(a)
		a.call.verdict = trail.MayHaveRun
		a.firstTokenAt = now
		p.recordBegun(now, a.call)
		a.server.lost = false
	}
	return nil
}

// AttemptCompleted reports that the whole answer of the attempt was sent to the
// requester. The number of tokens is 0 if it is not known.
func (p *Placer) AttemptCompleted(now time.Time, id string, tokens int64) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	k := a.call
	a.server.recordCompletion(now)
	a.server.largestAnswered = max(a.server.largestAnswered, k.request.GetCostTokens())
	p.crashTracker.ClearSuspect(now, k.fingerprint)
	p.recordBegun(now, k)
	if k.online() {
		k.service.recordDuration(now.Sub(a.startedAt), k.request.GetCostTokens())
	}
	if !a.firstTokenAt.IsZero() {
		a.server.adaptiveLimit.addSample(a.firstTokenAt.Sub(a.startedAt), k.request.GetCostTokens(), now.Sub(a.firstTokenAt), tokens-1, a.serverInFlight)
	}
	p.removeCall(k)
	p.schedule(now, k.service)
	return p.takeDecisions()
}

// ConnectionRefused reports that no connection was made, so that the call did
// not run.
func (p *Placer) ConnectionRefused(now time.Time, id string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	a.server.recordFailure(now, true)
	p.retryOrReject(now, a, trail.NotRun, codeRefused, true)
	return p.takeDecisions()
}

// DrainMarked reports that the response of the attempt has the drain mark. The
// backend server completes the attempt and gets no new work.
func (p *Placer) DrainMarked(now time.Time, id string) {
	if a := p.inFlight[id]; a != nil {
		a.server.drainUntil = now.Add(drainMarkLifetime)
	}
}

// ServerDraining reports that the backend server rejected the attempt with its
// drain mark and did not run the call.
func (p *Placer) ServerDraining(now time.Time, id string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	a.server.drainUntil = now.Add(drainMarkLifetime)
	p.retryOrReject(now, a, trail.NotRun, codeServerDraining, false)
	return p.takeDecisions()
}

// AttemptFailed reports that the attempt ended with the given verdict and
// without a complete answer, while the backend server is not known to be lost.
func (p *Placer) AttemptFailed(now time.Time, id string, verdict trail.Verdict, code string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	if code == "" {
		code = codeFailed
	}
	if code == codeBusy && verdict == trail.NotRun && a.server.mayLackMemory(a.call) {
		code = codeTooLarge
	} else {
		a.server.recordFailure(now, false)
	}
	p.retryOrReject(now, a, verdict, code, false)
	return p.takeDecisions()
}

// ServerCrashed reports that the backend server was lost while it ran the
// attempt.
func (p *Placer) ServerCrashed(now time.Time, id string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	a.server.recordFailure(now, true)
	a.server.prefixes = prefixHistory{}
	a.server.lost = a.call.service.isModel()
	a.call.suspect = true
	p.recordLoss(now, a)
	if p.crashTracker.AddCrash(now, a.call.fingerprint, a.server.name) {
		a.call.verdict = trail.MayHaveRun
		p.rejectIfPoisoned(now, a.call)
		p.schedule(now, a.call.service)
	} else {
		p.retryOrReject(now, a, trail.MayHaveRun, codeLost, false)
	}
	p.rejectPoisoned(now)
	return p.takeDecisions()
}

// cancelSilent cancels the streams without a first token within
// firstTokenTimeout. Their calls may be retried. Each counts as a failure of
// the backend server, so that two in a row eject it.
func (p *Placer) cancelSilent(now time.Time) {
	var l []*attempt
	for _, a := range p.inFlight {
		if a.call.request.GetStream() && a.firstTokenAt.IsZero() && now.Sub(a.startedAt) > firstTokenTimeout {
			l = append(l, a)
		}
	}
	slices.SortFunc(l, func(a, b *attempt) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, a := range l {
		if p.inFlight[a.id] == nil {
			// A retry of an earlier one has preempted this attempt.
			continue
		}
		p.decisions = append(p.decisions, decide.Cancel(a.call.key, a.call.request, a.id, a.server.name, codeSilent))
		p.releaseSlot(a)
		a.server.recordFailure(now, false)
		p.retryOrReject(now, a, trail.MayHaveRun, codeSilent, false)
	}
}

// endAttempt removes the attempt from those in flight and frees its slot. It
// returns nil if the attempt is not in flight.
func (p *Placer) endAttempt(id string) *attempt {
	a := p.inFlight[id]
	if a != nil {
		p.releaseSlot(a)
	}
	return a
}

// releaseSlot removes an attempt from those in flight and frees its slot.
func (p *Placer) releaseSlot(attempt *attempt) {
	delete(p.inFlight, attempt.id)
	delete(attempt.server.inFlight, attempt.id)
	if attempt.call.online() {
		attempt.server.onlineInFlight--
	} else {
		attempt.server.batchInFlight--
	}
	if attempt.call.service.runningSuspect == attempt {
		attempt.call.service.runningSuspect = nil
		attempt.server.reservedFor = nil
	}
	attempt.call.attempt = nil
}

// retryOrReject schedules a failed call for another backend server, or rejects
// it if it may not be retried. unconnected is set if the attempt made no
// connection.
func (p *Placer) retryOrReject(now time.Time, attempt *attempt, verdict trail.Verdict, code string, unconnected bool) {
	k := attempt.call
	v := k.service
	if verdict != trail.NotRun {
		k.verdict = verdict
	}
	k.failedAttempts++
	k.failedHosts = append(k.failedHosts, attempt.server.name)
	if !p.mayRetry(now, attempt, verdict, code, unconnected) {
		p.reject(k, code, p.retryAfter(k, code))
		p.schedule(now, v)
		return
	}
	if k.suspect {
		v.suspects = append(v.suspects, k)
	} else {
		v.retries = append(v.retries, k)
	}
	p.schedule(now, v)
}

func (p *Placer) mayRetry(now time.Time, attempt *attempt, verdict trail.Verdict, code string, unconnected bool) bool {
	k := attempt.call
	if k.dataSent || verdict == trail.Ran || k.failedAttempts >= maxFailedAttempts {
		return false
	}
	if k.request.GetNonIdempotent() && !unconnected {
		return false
	}
	if !k.deadline.IsZero() && now.Add(k.service.estimateDuration(k)).After(k.deadline) {
		return false
	}
	if !k.service.hasUntriedServer(now, k) {
		return false
	}
	// A draining backend server rejects each call once. Such a retry is not
	// charged to the retry budget, because a planned shutdown must not fail a
	// call.
	return code == codeServerDraining || k.service.retryBudget.Take()
}

// retryAfter returns the Retry-After for a failed call. It is 0 if repeating
// the request could do harm.
func (p *Placer) retryAfter(call *call, code string) time.Duration {
	if call.request.GetNonIdempotent() && call.verdict != trail.NotRun {
		return 0
	}
	return minRetryAfter
}
