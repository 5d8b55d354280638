package jobs

import (
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxTryBackoff bounds the wait between tries while the platform or the
// depots are down.
const maxTryBackoff = 15 * time.Second

// commit is one commit, until it is known to have taken effect or its items
// are known to be done by another one.
type commit struct {
	// Goes into the job's last_attempt.
	id      string
	results []itemResult
	// Written by an earlier try, nil when there is nothing of the kind.
	successes, failures *wire.Segment
	stored              bool
	// The answer to a write was lost: the job is read before the next try.
	outcomeUnknown bool
	inProgress     bool
	tries          int
	retryAt        time.Time
}

// commitTry is one try of an attempt for the task to carry out.
type commitTry struct {
	commit *commit
	// The job to change, and its version.
	base      *wire.Job
	version   int64
	itemCount int
	// The final state to set, unspecified for none. A step whose results
	// complete the job sets it to completed by itself.
	finalState wire.JobState
}

// tryStatus says how a try ended.
type tryStatus int

const (
	// The job is now as in the try.
	tryCommitted tryStatus = iota
	// The job was changed by another writer; it was read again.
	tryConflict
	// Nothing took effect.
	tryFailed
	// The answer was lost and the job could not be read.
	tryUnknown
	// The job is not there any more.
	tryJobMissing
)

// tryResult is the end of one try.
type tryResult struct {
	status tryStatus
	// Set when committed or changed.
	job     *wire.Job
	version int64
	err     error
}

// finalState returns the final state that the job is ready for.
func (p *plan) finalState() wire.JobState {
	switch {
	case len(p.inFlight) > 0:
	case p.mode == modeCancelling:
		return wire.JobState_JOB_STATE_CANCELLED
	case p.mode == modeInputMissing:
		return wire.JobState_JOB_STATE_FAILED
	case p.mode != modeEnded && p.itemCount >= 0 && p.doneCount >= p.itemCount:
		return wire.JobState_JOB_STATE_COMPLETED
	}
	return wire.JobState_JOB_STATE_UNSPECIFIED
}

// nextTry returns a try to start now, nil for none.
func (p *plan) nextTry(now time.Time) *commitTry {
	if p.mode == modeEnded {
		return nil
	}
	w := p.nextTryTime(now)
	if w.IsZero() || now.Before(w) {
		return nil
	}
	if p.commit == nil {
		p.commit = &commit{id: uuid.NewString(), results: p.pending}
		p.pending = nil
	}
	p.commit.inProgress = true
	p.commit.tries++
	p.lastTry = now
	s := &commitTry{commit: p.commit, base: p.job, version: p.version, itemCount: p.itemCount}
	if len(p.pending) == 0 {
		s.finalState = p.finalState()
	}
	return s
}

// nextTryTime returns when the next try is due, the zero time for never.
func (p *plan) nextTryTime(now time.Time) time.Time {
	e := p.finalState() != wire.JobState_JOB_STATE_UNSPECIFIED
	switch {
	case p.commit != nil && p.commit.inProgress:
		return time.Time{}
	case p.commit != nil:
		return p.commit.retryAt
	case !e && len(p.pending) == 0:
		return time.Time{}
	case (p.mode == modeDraining || p.mode == modeCancelling) && len(p.inFlight) == 0:
		return now
	}
	d := p.commitInterval
	if p.pendingBytes < earlyCommitBytes {
		n := len(p.job.GetResults()) + len(p.job.GetErrors())
		d = max(d, time.Duration(n*n)*time.Second/segmentsSquaredPerSecond)
	}
	return p.lastTry.Add(d)
}

// handleTry takes the end of a try.
func (p *plan) handleTry(now time.Time, result tryResult) {
	a := p.commit
	a.inProgress = false
	switch result.status {
	case tryCommitted:
		p.setJob(result.job, result.version)
		p.removeCommit()
	case tryConflict:
		a.outcomeUnknown = false
		// The first try after a conflict is soon. When the version is the same,
		// the platform loses answers, and trying without pause would load it.
		a.retryAt = now.Add(backoff(a.tries, a.id))
		if result.version == p.version {
			a.retryAt = a.retryAt.Add(minCommitInterval)
		}
		p.rebase(result.job, result.version)
	case tryFailed, tryUnknown:
		a.outcomeUnknown = result.status == tryUnknown
		a.retryAt = now.Add(min(backoff(a.tries, a.id)+minCommitInterval, maxTryBackoff))
	case tryJobMissing:
		p.endRun("job is gone")
	}
}

// removeCommit ends an attempt whose items are all done.
func (p *plan) removeCommit() {
	for _, r := range p.commit.results {
		p.pendingBytes -= len(r.line)
	}
	p.commit = nil
}

// rebase takes a job that another writer changed while an attempt is open.
func (p *plan) rebase(job *wire.Job, version int64) {
	a := p.commit
	if hasCommit(job, a) {
		p.setJob(job, version)
		p.removeCommit()
		return
	}
	p.setJob(job, version)
	if p.mode == modeEnded {
		return
	}
	l := slices.DeleteFunc(slices.Clone(a.results), func(r itemResult) bool { return isDone(job.GetDone(), r.index) })
	if len(l) == len(a.results) {
		return
	}
	// Others committed some of the items: their results here are dropped, and
	// the segments that hold them can't be used.
	p.removeCommit()
	for _, r := range l {
		p.pendingBytes += len(r.line)
	}
	if len(l) > 0 {
		p.commit = &commit{id: uuid.NewString(), results: l, tries: a.tries, retryAt: a.retryAt}
	}
}

// hasCommit says whether an attempt has taken effect. Its segments are looked
// for too, because later writers may have changed last_attempt.
func hasCommit(job *wire.Job, commit *commit) bool {
	if job.GetLastAttempt() == commit.id {
		return true
	}
	h := func(l []*wire.Segment, s *wire.Segment) bool {
		return slices.ContainsFunc(l, func(x *wire.Segment) bool { return s != nil && x.GetId() == s.GetId() })
	}
	return h(job.GetResults(), commit.successes) || h(job.GetErrors(), commit.failures)
}

// setJob takes a newer job as the base of later changes.
func (p *plan) setJob(job *wire.Job, version int64) {
	if version < p.version || p.mode == modeEnded {
		return
	}
	p.job, p.version = job, version
	for i, b := range job.GetDone() {
		if i < len(p.done) {
			p.done[i] |= b
		} else {
			p.done = append(p.done, b)
		}
	}
	p.doneCount = countDone(p.done)
	p.pending = slices.DeleteFunc(p.pending, func(r itemResult) bool {
		d := isDone(job.GetDone(), r.index)
		if d {
			p.pendingBytes -= len(r.line)
		}
		return d
	})
	switch {
	case isFinal(job.GetState()):
		p.endRun("job is " + stateName(job.GetState()))
	case job.GetOwner() != p.memberID || job.GetEpoch() != p.epoch:
		p.endRun("job was taken by " + job.GetOwner())
	case job.GetState() == wire.JobState_JOB_STATE_CANCELLING && p.mode != modeCancelling:
		p.mode, p.queued = modeCancelling, nil
	}
}

// handleUpdate takes a job that the watch reported. While an attempt is open its
// end brings the newer job.
func (p *plan) handleUpdate(job *wire.Job, version int64) {
	if version <= p.version {
		return
	}
	if p.commit == nil {
		p.setJob(job, version)
		return
	}
	if job.GetOwner() != p.memberID || job.GetEpoch() != p.epoch {
		p.endRun("job was taken by " + job.GetOwner())
	}
	if job.GetState() == wire.JobState_JOB_STATE_CANCELLING && p.mode != modeEnded {
		p.mode, p.queued = modeCancelling, nil
	}
}

func (p *plan) endRun(reason string) {
	p.mode, p.endReason, p.queued = modeEnded, reason, nil
}

// drainDone says whether a draining owner has nothing more to commit.
func (p *plan) drainDone() bool {
	return p.mode == modeDraining && len(p.inFlight) == 0 && len(p.pending) == 0 && p.commit == nil &&
		p.finalState() == wire.JobState_JOB_STATE_UNSPECIFIED
}

// updatedJob returns the job as it is after a step's results.
func (s *commitTry) updatedJob(now time.Time) *wire.Job {
	j := proto.CloneOf(s.base)
	j.SetLastAttempt(s.commit.id)
	if s.commit.successes != nil {
		j.SetResults(append(j.GetResults(), s.commit.successes))
	}
	if s.commit.failures != nil {
		j.SetErrors(append(j.GetErrors(), s.commit.failures))
	}
	d := slices.Clone(j.GetDone())
	for _, r := range s.commit.results {
		d = setDone(d, r.index)
		if r.failed {
			j.SetFailed(j.GetFailed() + 1)
		}
	}
	j.SetDone(d)
	if s.itemCount >= 0 {
		j.SetItems(int32(s.itemCount))
	}
	if s.finalState != wire.JobState_JOB_STATE_UNSPECIFIED {
		j.SetState(s.finalState)
		j.SetEndedUnix(now.Unix())
	}
	return j
}
