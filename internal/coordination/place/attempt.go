package place

import (
	"cmp"
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
)

const (
	// Bound on the attempts of one call that fail.
	maxFailedAttempts = 3
	// A stream without a token for so long has gone silent: 1 s to connect and
	// 10 s to the first byte. Later silence is seen by the HTTP client only.
	firstTokenTimeout = 11 * time.Second
)

// attempt is one run of a call at a backend server.
type attempt struct {
	id     string
	call   *call
	server *server
	// Grows with each dispatch.
	sequence  uint64
	startedAt time.Time
	// When the first token came, zero before.
	firstTokenAt time.Time
	// Attempts in flight at the backend server after the dispatch.
	serverInFlight int
}

// AttemptStarted says that the backend server has accepted the attempt.
func (p *Placer) AttemptStarted(_ time.Time, id string) []decide.Decision {
	if a := p.inFlight[id]; a != nil {
		a.call.verdict = trail.MayHaveRun
	}
	return nil
}

// AnswerStarted says that the first reply data of the attempt was passed on.
func (p *Placer) AnswerStarted(now time.Time, id string) []decide.Decision {
	a := p.inFlight[id]
	if a != nil {
		a.call.dataSent = true
		a.call.verdict = trail.MayHaveRun
		a.firstTokenAt = now
		a.server.lost = false
	}
	return nil
}

// AttemptCompleted says that the attempt has passed on its whole answer, with the
// number of tokens, 0 when it is not known.
func (p *Placer) AttemptCompleted(now time.Time, id string, tokens int64) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	k := a.call
	a.server.recordCompletion(now)
	p.crashTracker.ClearSuspect(k.fingerprint)
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

// ConnectionRefused says that no connection was made, so that the call did not run.
func (p *Placer) ConnectionRefused(now time.Time, id string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	a.server.recordFailure(now, true)
	p.retryOrReject(now, a, trail.NotRun, codeRefused, true)
	return p.takeDecisions()
}

// ServerDraining says that the backend server answered with its drain mark and did
// not run the call.
func (p *Placer) ServerDraining(now time.Time, id string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	a.server.drainUntil = now.Add(drainMarkLifetime)
	p.retryOrReject(now, a, trail.NotRun, codeServerDrain, false)
	return p.takeDecisions()
}

// AttemptFailed says that the attempt ended without a complete answer and with a
// verdict, and that the backend server is not known to be lost.
func (p *Placer) AttemptFailed(now time.Time, id string, verdict trail.Verdict, code string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	if code == "" {
		code = codeFailed
	}
	a.server.recordFailure(now, false)
	p.retryOrReject(now, a, verdict, code, false)
	return p.takeDecisions()
}

// ServerCrashed says that the backend server was lost while it ran the attempt.
func (p *Placer) ServerCrashed(now time.Time, id string) []decide.Decision {
	a := p.endAttempt(id)
	if a == nil {
		return nil
	}
	a.server.recordFailure(now, true)
	a.server.prefixes = prefixHistory{}
	a.server.lost = a.call.service.isModel()
	f := a.call.fingerprint
	a.call.suspect = true
	if p.crashTracker.AddCrash(now, f, a.server.name) {
		a.call.verdict = trail.MayHaveRun
		p.reject(a.call, codePoisoned, 0)
		p.rejectPoisoned(f)
		p.schedule(now, a.call.service)
		return p.takeDecisions()
	}
	p.retryOrReject(now, a, trail.MayHaveRun, codeLost, false)
	return p.takeDecisions()
}

// cancelSilent cancels the streams that have had no token for too long. The call
// may run again; the backend server is at fault if that happens twice.
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
			// It was preempted for the call of an earlier one.
			continue
		}
		p.decisions = append(p.decisions, decide.Cancel(a.call.key, a.call.request, a.id, a.server.name, codeSilent))
		p.releaseSlot(a)
		a.server.recordFailure(now, false)
		p.retryOrReject(now, a, trail.MayHaveRun, codeSilent, false)
	}
}

// rejectPoisoned ends the waiting calls with a fingerprint.
func (p *Placer) rejectPoisoned(fingerprint uint64) {
	for _, k := range p.waitingCalls() {
		if k.fingerprint == fingerprint {
			p.reject(k, codePoisoned, 0)
		}
	}
}

// endAttempt takes an attempt out of flight, nil when it is not.
func (p *Placer) endAttempt(id string) *attempt {
	a := p.inFlight[id]
	if a != nil {
		p.releaseSlot(a)
	}
	return a
}

// releaseSlot frees the slot of an attempt.
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

// retryOrReject runs a call again at another backend server or ends it. An unconnected
// attempt is one that made no connection.
func (p *Placer) retryOrReject(now time.Time, attempt *attempt, verdict trail.Verdict, code string, unconnected bool) {
	k := attempt.call
	v := k.service
	if verdict != trail.NotRun {
		k.verdict = verdict
	}
	k.failedAttempts++
	k.triedHosts = append(k.triedHosts, attempt.server.name)
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
	// A planned stop refuses each call once and must interrupt none.
	return code == codeServerDrain || k.service.retryBudget.Take()
}

// retryAfter returns when the caller of a failed call may come back, 0 when a
// repetition could do harm.
func (p *Placer) retryAfter(call *call, code string) time.Duration {
	if call.request.GetNonIdempotent() && call.verdict != trail.NotRun {
		return 0
	}
	return minRetryAfter
}
