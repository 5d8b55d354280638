package place

import (
	"fmt"
	"strconv"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
)

// prefixIDs returns the ids of the prefixes of a call's prompt.
func prefixIDs(call *call) []string {
	var l []string
	for _, h := range call.request.GetPrefixHashes() {
		l = append(l, strconv.FormatUint(h, 16))
	}
	return l
}

// recordBegun records that the answer to a call has begun.
func (p *Placer) recordBegun(now time.Time, call *call) {
	p.prefixCrashes.AddBegun(now, call.fingerprint, prefixIDs(call))
}

// recordLoss records that an attempt lost its backend server, if its answer had
// not begun. Batch calls are not what crashes backend servers.
func (p *Placer) recordLoss(now time.Time, attempt *attempt) {
	if attempt.call.online() && attempt.firstTokenAt.IsZero() {
		p.prefixCrashes.AddLoss(now, attempt.call.fingerprint, prefixIDs(attempt.call), attempt.server.name, attempt.startedAt)
	}
}

// poisoned returns for how long a call is still rejected because the request
// itself, or others with a prefix of its prompt, have crashed backend servers,
// and the evidence for it. The time is 0 for a call that is not.
func (p *Placer) poisoned(now time.Time, call *call) (time.Duration, string) {
	u, o := p.crashTracker.RejectedUntil(now, call.fingerprint)
	if o {
		return u.Sub(now), fmt.Sprintf("equal requests lost backend servers %v", p.crashTracker.CrashedHosts(now, call.fingerprint))
	}
	if !call.online() {
		return 0, ""
	}
	i := prefixIDs(call)
	d, o := p.prefixCrashes.Stopped(now, call.fingerprint, i)
	if !o {
		return 0, ""
	}
	k := "equal requests"
	if d.Part() >= 0 {
		k = "requests with prefix " + i[d.Part()]
	}
	return d.Until().Sub(now), fmt.Sprintf("%s lost %d backend servers in a row before an answer began", k, d.Losses())
}

// rejectIfPoisoned rejects a call that is not in flight if it is rejected for
// crashes.
func (p *Placer) rejectIfPoisoned(now time.Time, call *call) {
	w, e := p.poisoned(now, call)
	if w == 0 {
		return
	}
	if call.request.GetNonIdempotent() && call.verdict != trail.NotRun {
		// Repeating it could do harm.
		w = 0
	}
	p.removeCall(call)
	p.decisions = append(p.decisions, decide.Reject(call.key, call.request, codePoisoned, call.verdict, w).WithEvidence(e))
}

// rejectPoisoned rejects the waiting calls that are rejected for crashes.
func (p *Placer) rejectPoisoned(now time.Time) {
	for _, k := range p.waitingCalls() {
		p.rejectIfPoisoned(now, k)
	}
}
