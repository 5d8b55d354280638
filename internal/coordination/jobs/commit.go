package jobs

import (
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxTryBackoff limits the delay between tries while the platform or the depots
// are unavailable.
const maxTryBackoff = 15 * time.Second

// commit is a set of results that is being committed. It is open until it is
// known to have taken effect, or until other writers are known to have
// committed its items.
type commit struct {
	// Stored as the job's last_attempt.
	id      string
	results []itemResult
	// Segments written by earlier tries, nil if not written yet or without
	// results of the kind.
	successes, failures *wire.Segment
	stored              bool
	// A write may have taken effect, and reading the job back failed: the next
	// try only reads the job.
	outcomeUnknown bool
	inProgress     bool
	tries          int
	retryAt        time.Time
}

// commitTry is one try of a commit, which the task carries out.
type commitTry struct {
	commit *commit
	// The job to change, and its version.
	base      *wire.Job
	version   int64
	itemCount int
	// The final state to set, unspecified for none. A try whose results complete
	// a job in progress sets the state to completed even so.
	finalState wire.JobState
}

// tryStatus is how a try ended.
type tryStatus int

const (
	// The update took effect.
	tryCommitted tryStatus = iota
	// The job was read back after a conflict or a lost response. It may contain
	// the commit, changes of other writers, or neither.
	tryReadBack
	// Nothing took effect.
	tryFailed
	// The update may have taken effect, and the job could not be read back.
	tryUnknown
	// The job object does not exist.
	tryJobMissing
)

// tryResult is the result of one try.
type tryResult struct {
	status tryStatus
	// Set with tryCommitted and tryReadBack.
	job     *wire.Job
	version int64
	err     error
}

// finalState returns the final state that the job can enter now, unspecified
// for none.
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

// handleTry processes the result of a try.
func (p *plan) handleTry(now time.Time, result tryResult) {
	a := p.commit
	a.inProgress = false
	switch result.status {
	case tryCommitted:
		p.setJob(result.job, result.version)
		p.removeCommit()
	case tryReadBack:
		a.outcomeUnknown = false
		// After a conflict the commit is retried after a short backoff. If the
		// version has not changed, the platform is losing responses, and retrying
		// without a longer pause would load it further.
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

// removeCommit removes the open commit and its share of pendingBytes.
func (p *plan) removeCommit() {
	for _, r := range p.commit.results {
		p.pendingBytes -= len(r.line)
	}
	p.commit = nil
}

// rebase processes a job that was read back while a commit is open. Of the
// commit it keeps the results that the job does not have yet.
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
	// Other writers committed some of the items: their results are dropped here,
	// and the segments that contain them can't be used.
	p.removeCommit()
	for _, r := range l {
		p.pendingBytes += len(r.line)
	}
	if len(l) > 0 {
		p.commit = &commit{id: uuid.NewString(), results: l, tries: a.tries, retryAt: a.retryAt}
	}
}

// hasCommit reports whether a commit has taken effect in a job. It looks for
// the commit's segments too, because later writers may have replaced
// last_attempt.
func hasCommit(job *wire.Job, commit *commit) bool {
	if job.GetLastAttempt() == commit.id {
		return true
	}
	h := func(l []*wire.Segment, s *wire.Segment) bool {
		return slices.ContainsFunc(l, func(x *wire.Segment) bool { return s != nil && x.GetId() == s.GetId() })
	}
	return h(job.GetResults(), commit.successes) || h(job.GetErrors(), commit.failures)
}

// setJob makes a newer version of the job the base of later changes.
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

// handleUpdate processes a job that the watch reported. While a commit is open
// the job is not replaced, because the result of a try brings a newer one; only
// a new owner and a cancellation take effect at once.
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

// drainDone reports whether a draining owner has nothing left to commit.
func (p *plan) drainDone() bool {
	return p.mode == modeDraining && len(p.inFlight) == 0 && len(p.pending) == 0 && p.commit == nil &&
		p.finalState() == wire.JobState_JOB_STATE_UNSPECIFIED
}

// updatedJob returns the job with the changes of the commit.
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
