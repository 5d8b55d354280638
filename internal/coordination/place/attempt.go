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
	maxFailures = 3
	// A stream without a token for so long has gone silent: 1 s to connect and
	// 10 s to the first byte. Later silence is seen by the HTTP client only.
	silentAfter = 11 * time.Second
)

// attempt is one run of a call at a backend server.
type attempt struct {
	id string
	k  *call
	s  *server
	// Grows with each dispatch.
	order uint64
	began time.Time
	// When the first token came, zero before.
	first time.Time
	// Attempts in flight at the backend server after the dispatch.
	inFlight int
}

// Started says that the backend server has accepted the attempt.
func (p *Place) Started(_ time.Time, id string) []decide.Decision {
	if a := p.running[id]; a != nil {
		a.k.verdict = trail.MayHaveRun
	}
	return nil
}

// FirstToken says that the first reply data of the attempt was passed on.
func (p *Place) FirstToken(now time.Time, id string) []decide.Decision {
	a := p.running[id]
	if a != nil {
		a.k.passed = true
		a.k.verdict = trail.MayHaveRun
		a.first = now
		a.s.lost = false
	}
	return nil
}

// Completed says that the attempt has passed on its whole answer, with the
// number of tokens, 0 when it is not known.
func (p *Place) Completed(now time.Time, id string, tokens int64) []decide.Decision {
	a := p.end(id)
	if a == nil {
		return nil
	}
	k := a.k
	a.s.completed(now)
	p.crashes.ClearSuspect(k.fingerprint)
	if k.online() {
		k.v.sample(now.Sub(a.began), k.r.GetCostTokens())
	}
	if !a.first.IsZero() {
		a.s.learned.sample(a.first.Sub(a.began), k.r.GetCostTokens(), now.Sub(a.first), tokens-1, a.inFlight)
	}
	p.remove(k)
	p.schedule(now, k.v)
	return p.take()
}

// Refused says that no connection was made, so that the call did not run.
func (p *Place) Refused(now time.Time, id string) []decide.Decision {
	a := p.end(id)
	if a == nil {
		return nil
	}
	a.s.failed(now, true)
	p.retry(now, a, trail.NotRun, codeRefused, true)
	return p.take()
}

// Draining says that the backend server answered with its drain mark and did
// not run the call.
func (p *Place) Draining(now time.Time, id string) []decide.Decision {
	a := p.end(id)
	if a == nil {
		return nil
	}
	a.s.drainUntil = now.Add(drainMark)
	p.retry(now, a, trail.NotRun, codeServerDrain, false)
	return p.take()
}

// Failed says that the attempt ended without a complete answer and with a
// verdict, and that the backend server is not known to be lost.
func (p *Place) Failed(now time.Time, id string, verdict trail.Verdict, code string) []decide.Decision {
	a := p.end(id)
	if a == nil {
		return nil
	}
	if code == "" {
		code = codeFailed
	}
	a.s.failed(now, false)
	p.retry(now, a, verdict, code, false)
	return p.take()
}

// Crashed says that the backend server was lost while it ran the attempt.
func (p *Place) Crashed(now time.Time, id string) []decide.Decision {
	a := p.end(id)
	if a == nil {
		return nil
	}
	a.s.failed(now, true)
	a.s.prefixes = prefixes{}
	a.s.lost = a.k.v.model()
	f := a.k.fingerprint
	a.k.suspect = true
	if p.crashes.AddCrash(now, f, a.s.name) {
		a.k.verdict = trail.MayHaveRun
		p.reject(a.k, codePoisoned, 0)
		p.rejectPoisoned(f)
		p.schedule(now, a.k.v)
		return p.take()
	}
	p.retry(now, a, trail.MayHaveRun, codeLost, false)
	return p.take()
}

// endSilent cancels the streams that have had no token for too long. The call
// may run again; the backend server is at fault if that happens twice.
func (p *Place) endSilent(now time.Time) {
	var l []*attempt
	for _, a := range p.running {
		if a.k.r.GetStream() && a.first.IsZero() && now.Sub(a.began) > silentAfter {
			l = append(l, a)
		}
	}
	slices.SortFunc(l, func(a, b *attempt) int { return cmp.Compare(a.order, b.order) })
	for _, a := range l {
		if p.running[a.id] == nil {
			// It was preempted for the call of an earlier one.
			continue
		}
		p.out = append(p.out, decide.Cancel(a.k.key, a.k.r, a.id, a.s.name, codeSilent))
		p.release(a)
		a.s.failed(now, false)
		p.retry(now, a, trail.MayHaveRun, codeSilent, false)
	}
}

// rejectPoisoned ends the waiting calls with a fingerprint.
func (p *Place) rejectPoisoned(fingerprint uint64) {
	for _, k := range p.waiting() {
		if k.fingerprint == fingerprint {
			p.reject(k, codePoisoned, 0)
		}
	}
}

// end takes an attempt out of flight, nil when it is not.
func (p *Place) end(id string) *attempt {
	a := p.running[id]
	if a != nil {
		p.release(a)
	}
	return a
}

// release frees the slot of an attempt.
func (p *Place) release(a *attempt) {
	delete(p.running, a.id)
	delete(a.s.running, a.id)
	if a.k.online() {
		a.s.online--
	} else {
		a.s.batch--
	}
	if a.k.v.alone == a {
		a.k.v.alone = nil
		a.s.reserved = nil
	}
	a.k.a = nil
}

// retry runs a call again at another backend server or ends it. An unconnected
// attempt is one that made no connection.
func (p *Place) retry(now time.Time, a *attempt, verdict trail.Verdict, code string, unconnected bool) {
	k := a.k
	v := k.v
	if verdict != trail.NotRun {
		k.verdict = verdict
	}
	k.failures++
	k.tried = append(k.tried, a.s.name)
	if !p.mayRetry(now, a, verdict, code, unconnected) {
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

func (p *Place) mayRetry(now time.Time, a *attempt, verdict trail.Verdict, code string, unconnected bool) bool {
	k := a.k
	if k.passed || verdict == trail.Ran || k.failures >= maxFailures {
		return false
	}
	if k.r.GetNonIdempotent() && !unconnected {
		return false
	}
	if !k.deadline.IsZero() && now.Add(k.v.estimate(k)).After(k.deadline) {
		return false
	}
	if !k.v.otherPresent(now, k) {
		return false
	}
	// A planned stop refuses each call once and must interrupt none.
	return code == codeServerDrain || k.v.budget.Take()
}

// retryAfter returns when the caller of a failed call may come back, 0 when a
// repetition could do harm.
func (p *Place) retryAfter(k *call, code string) time.Duration {
	if k.r.GetNonIdempotent() && k.verdict != trail.NotRun {
		return 0
	}
	return minRetryAfter
}
