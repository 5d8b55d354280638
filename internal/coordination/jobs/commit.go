package jobs

import (
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxCommitBackoff bounds the wait between tries while the platform or the
// depots are down.
const maxCommitBackoff = 15 * time.Second

// attempt is one commit, until it is known to have taken effect or its items
// are known to be done by another one.
type attempt struct {
	// Goes into the job's last_attempt.
	id      string
	results []result
	// Written by an earlier try, nil when there is nothing of the kind.
	successes, failures *wire.Segment
	stored              bool
	// The answer to a write was lost: the job is read before the next try.
	uncertain bool
	running   bool
	tries     int
	retryAt   time.Time
}

// step is one try of an attempt for the task to carry out.
type step struct {
	a *attempt
	// The job to change, and its version.
	base    *wire.Job
	version int64
	items   int
	// The final state to set, unspecified for none. A step whose results
	// complete the job sets it to completed by itself.
	end wire.JobState
}

// kind says how a try ended.
type kind int

const (
	// The job is now as in the try.
	committed kind = iota
	// The job was changed by another writer; it was read again.
	changed
	// Nothing took effect.
	failed
	// The answer was lost and the job could not be read.
	unknown
	// The job is not there any more.
	gone
)

// tried is the end of one try.
type tried struct {
	kind kind
	// Set when committed or changed.
	job     *wire.Job
	version int64
	e       error
}

// end returns the final state that the job is ready for.
func (p *plan) end() wire.JobState {
	switch {
	case len(p.running) > 0:
	case p.mode == cancelling:
		return wire.JobState_JOB_STATE_CANCELLED
	case p.mode == broken:
		return wire.JobState_JOB_STATE_FAILED
	case p.mode != ended && p.items >= 0 && p.count >= p.items:
		return wire.JobState_JOB_STATE_COMPLETED
	}
	return wire.JobState_JOB_STATE_UNSPECIFIED
}

// commit returns a try to start now, nil for none.
func (p *plan) commit(now time.Time) *step {
	if p.mode == ended {
		return nil
	}
	w := p.commitAt(now)
	if w.IsZero() || now.Before(w) {
		return nil
	}
	if p.attempt == nil {
		p.attempt = &attempt{id: uuid.NewString(), results: p.pending}
		p.pending = nil
	}
	p.attempt.running = true
	p.attempt.tries++
	p.lastCommit = now
	s := &step{a: p.attempt, base: p.job, version: p.version, items: p.items}
	if len(p.pending) == 0 {
		s.end = p.end()
	}
	return s
}

// commitAt returns when the next try is due, the zero time for never.
func (p *plan) commitAt(now time.Time) time.Time {
	e := p.end() != wire.JobState_JOB_STATE_UNSPECIFIED
	switch {
	case p.attempt != nil && p.attempt.running:
		return time.Time{}
	case p.attempt != nil:
		return p.attempt.retryAt
	case !e && len(p.pending) == 0:
		return time.Time{}
	case (p.mode == draining || p.mode == cancelling) && len(p.running) == 0:
		return now
	}
	d := p.interval
	if p.bytes < earlyCommitBytes {
		n := len(p.job.GetResults()) + len(p.job.GetErrors())
		d = max(d, time.Duration(n*n)*time.Second/segmentsSquared)
	}
	return p.lastCommit.Add(d)
}

// tried takes the end of a try.
func (p *plan) tried(now time.Time, t tried) {
	a := p.attempt
	a.running = false
	switch t.kind {
	case committed:
		p.adopt(t.job, t.version)
		p.settled()
	case changed:
		a.uncertain = false
		// The first try after a conflict is soon. When the version is the same,
		// the platform loses answers, and trying without pause would load it.
		a.retryAt = now.Add(backoff(a.tries, a.id))
		if t.version == p.version {
			a.retryAt = a.retryAt.Add(minInterval)
		}
		p.rebase(t.job, t.version)
	case failed, unknown:
		a.uncertain = t.kind == unknown
		a.retryAt = now.Add(min(backoff(a.tries, a.id)+minInterval, maxCommitBackoff))
	case gone:
		p.giveUp("job is gone")
	}
}

// settled ends an attempt whose items are all done.
func (p *plan) settled() {
	for _, r := range p.attempt.results {
		p.bytes -= len(r.line)
	}
	p.attempt = nil
}

// rebase takes a job that another writer changed while an attempt is open.
func (p *plan) rebase(j *wire.Job, version int64) {
	a := p.attempt
	if contains(j, a) {
		p.adopt(j, version)
		p.settled()
		return
	}
	p.adopt(j, version)
	if p.mode == ended {
		return
	}
	l := slices.DeleteFunc(slices.Clone(a.results), func(r result) bool { return isDone(j.GetDone(), r.index) })
	if len(l) == len(a.results) {
		return
	}
	// Others committed some of the items: their results here are dropped, and
	// the segments that hold them can't be used.
	p.settled()
	for _, r := range l {
		p.bytes += len(r.line)
	}
	if len(l) > 0 {
		p.attempt = &attempt{id: uuid.NewString(), results: l, tries: a.tries, retryAt: a.retryAt}
	}
}

// contains says whether an attempt has taken effect. Its segments are looked
// for too, because later writers may have changed last_attempt.
func contains(j *wire.Job, a *attempt) bool {
	if j.GetLastAttempt() == a.id {
		return true
	}
	h := func(l []*wire.Segment, s *wire.Segment) bool {
		return slices.ContainsFunc(l, func(x *wire.Segment) bool { return s != nil && x.GetId() == s.GetId() })
	}
	return h(j.GetResults(), a.successes) || h(j.GetErrors(), a.failures)
}

// adopt takes a newer job as the base of later changes.
func (p *plan) adopt(j *wire.Job, version int64) {
	if version < p.version || p.mode == ended {
		return
	}
	p.job, p.version = j, version
	for i, b := range j.GetDone() {
		if i < len(p.done) {
			p.done[i] |= b
		} else {
			p.done = append(p.done, b)
		}
	}
	p.count = countDone(p.done)
	p.pending = slices.DeleteFunc(p.pending, func(r result) bool {
		d := isDone(j.GetDone(), r.index)
		if d {
			p.bytes -= len(r.line)
		}
		return d
	})
	switch {
	case final(j.GetState()):
		p.giveUp("job is " + stateName(j.GetState()))
	case j.GetOwner() != p.me || j.GetEpoch() != p.epoch:
		p.giveUp("job was taken by " + j.GetOwner())
	case j.GetState() == wire.JobState_JOB_STATE_CANCELLING && p.mode != cancelling:
		p.mode, p.waiting = cancelling, nil
	}
}

// observe takes a job that the watch reported. While an attempt is open its
// end brings the newer job.
func (p *plan) observe(j *wire.Job, version int64) {
	if version <= p.version {
		return
	}
	if p.attempt == nil {
		p.adopt(j, version)
		return
	}
	if j.GetOwner() != p.me || j.GetEpoch() != p.epoch {
		p.giveUp("job was taken by " + j.GetOwner())
	}
	if j.GetState() == wire.JobState_JOB_STATE_CANCELLING && p.mode != ended {
		p.mode, p.waiting = cancelling, nil
	}
}

func (p *plan) giveUp(reason string) {
	p.mode, p.reason, p.waiting = ended, reason, nil
}

// left says whether a draining owner has nothing more to commit.
func (p *plan) left() bool {
	return p.mode == draining && len(p.running) == 0 && len(p.pending) == 0 && p.attempt == nil &&
		p.end() == wire.JobState_JOB_STATE_UNSPECIFIED
}

// apply returns the job as it is after a step's results.
func (s *step) apply(now time.Time) *wire.Job {
	j := proto.CloneOf(s.base)
	j.SetLastAttempt(s.a.id)
	if s.a.successes != nil {
		j.SetResults(append(j.GetResults(), s.a.successes))
	}
	if s.a.failures != nil {
		j.SetErrors(append(j.GetErrors(), s.a.failures))
	}
	d := slices.Clone(j.GetDone())
	for _, r := range s.a.results {
		d = setDone(d, r.index)
		if r.failed {
			j.SetFailed(j.GetFailed() + 1)
		}
	}
	j.SetDone(d)
	if s.items >= 0 {
		j.SetItems(int32(s.items))
	}
	if s.end != wire.JobState_JOB_STATE_UNSPECIFIED {
		j.SetState(s.end)
		j.SetEndedUnix(now.Unix())
	}
	return j
}
