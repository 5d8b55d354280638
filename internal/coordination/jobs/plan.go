package jobs

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Attempts of an item that may have run.
	maxItemAttempts = 5
	// Finished results that wait for their commit; above it dispatch pauses.
	maxPendingBytes   = 8 << 20
	minCommitInterval = time.Second
	// Commits of all jobs of the system in a second.
	maxCommitRate = 100
	// Results of this size are committed without regard to the number of
	// segments.
	earlyCommitBytes = 4 << 20
	// Each segment takes about 230 bytes of the job, which must stay under
	// 1 MB. The interval grows with the square of their number, so that a job
	// of a day has about 2,200 and one of a week 4,200.
	segmentsSquaredPerSecond = 20_000
	// Failed reads of the input after the deadline, before the items that
	// were not read are failed without their custom ids.
	maxInputFailures = 3
	preemptedDelay   = time.Second
)

// Codes of calls that the plan tells apart.
const (
	codeRejected  = "request-rejected"
	codePreempted = "preempted"
	codeDeadline  = "deadline-passed"
)

// mode is what a job's owner does with it.
type mode int

const (
	// Items are dispatched.
	modeActive mode = iota
	// The deadline has passed: what is left is failed.
	modeExpired
	// The job is being cancelled: running calls end, results are committed.
	modeCancelling
	// This process shuts down: running calls end, results are committed.
	modeDraining
	// The input can't be used: the job ends as failed.
	modeInputMissing
	// Nothing is left to do, or the job belongs to another owner.
	modeEnded
)

// plan decides what happens to one job. It takes events with the current time,
// opens nothing and starts nothing.
type plan struct {
	memberID string
	epoch    int64
	// The job as the platform last had it, and its version.
	job     *wire.Job
	version int64
	mode    mode
	// Why the mode is ended.
	endReason string
	// Number of items; -1 while it is not known.
	itemCount int
	// Items whose result is committed, in the attempt or pending.
	done []byte
	// Bits set in done.
	doneCount int
	// Items that were read and are to be dispatched.
	queued   []*batchItem
	inFlight map[int]*batchItem
	// The input has been read to its end.
	inputComplete bool
	inputFailures int
	limit         concurrencyLimit
	// Refusals in a row over all items, and when dispatch goes on.
	consecutiveRefusals int
	dispatchNotBefore   time.Time
	pending             []itemResult
	// Bytes of pending and of the attempt.
	pendingBytes int
	// Moving average of the bytes of one result, with which the running calls
	// count against maxPendingBytes.
	averageResultBytes int
	// The commit that runs or is to be tried again, nil for none.
	commit         *commit
	lastTry        time.Time
	commitInterval time.Duration
	// Calls that still run then are cancelled while draining.
	drainDeadline time.Time
}

func newPlan(memberID string, job *wire.Job, version int64, now time.Time) *plan {
	p := &plan{
		memberID: memberID, epoch: job.GetEpoch(), job: job, version: version,
		itemCount: int(job.GetItems()),
		done:      append([]byte(nil), job.GetDone()...),
		inFlight:  map[int]*batchItem{},
		limit:     newConcurrencyLimit(), commitInterval: minCommitInterval, lastTry: now,
	}
	p.doneCount = countDone(p.done)
	if p.itemCount == 0 {
		p.itemCount = -1
	}
	if job.GetState() == wire.JobState_JOB_STATE_CANCELLING {
		p.mode = modeCancelling
	}
	return p
}

// setCommitInterval sets the commit interval from the number of active jobs.
func (p *plan) setCommitInterval(unfinishedJobs int) {
	p.commitInterval = max(minCommitInterval, time.Duration(unfinishedJobs)*time.Second/maxCommitRate)
}

// addItem takes an item of the input.
func (p *plan) addItem(item *batchItem) {
	p.inputFailures = 0
	switch {
	case isDone(p.done, item.index) || p.itemCount >= 0 && item.index >= p.itemCount:
	case item.err != nil:
		p.addResult(item, 0, nil, item.err)
	case p.mode == modeExpired:
		p.addResult(item, 0, nil, deadlineError())
	case p.mode == modeActive:
		p.queued = append(p.queued, item)
	}
}

// handleInputEnd takes the end of the input after so many items.
func (p *plan) handleInputEnd(itemCount int) {
	p.inputComplete = true
	if p.itemCount < 0 {
		p.itemCount = itemCount
	}
	p.failUnreadItems(itemCount, &itemError{"item-missing", "the input file has fewer items than the job"})
}

// handleReadError takes a failed read of the input, which will be repeated.
func (p *plan) handleReadError() {
	p.inputFailures++
	if p.mode == modeExpired && p.inputFailures >= maxInputFailures && p.itemCount >= 0 {
		p.inputComplete = true
		p.failUnreadItems(0, &itemError{codeDeadline, "the deadline passed while the input could not be read"})
	}
}

// failUnreadItems fails the items from the first index that nothing is known of.
func (p *plan) failUnreadItems(first int, err *itemError) {
	h := map[int]bool{}
	for _, t := range p.queued {
		h[t.index] = true
	}
	for i := first; i < p.itemCount; i++ {
		if !isDone(p.done, i) && !h[i] && p.inFlight[i] == nil {
			p.addResult(&batchItem{index: i}, 0, nil, err)
		}
	}
}

// handleInputMissing takes that the input file does not exist: the job fails.
func (p *plan) handleInputMissing() {
	if p.mode == modeActive || p.mode == modeExpired {
		p.mode, p.queued = modeInputMissing, nil
	}
}

// wantsInput says whether the next item of the input is to be read.
func (p *plan) wantsInput() bool {
	if p.inputComplete || p.pendingBytes >= maxPendingBytes {
		return false
	}
	return p.mode == modeExpired || p.mode == modeActive && len(p.queued) < int(p.limit.size)
}

// isPendingFull says whether the results that wait, with those of the running calls,
// may take all the memory that a job has.
func (p *plan) isPendingFull() bool {
	return p.pendingBytes+len(p.inFlight)*p.averageResultBytes >= maxPendingBytes
}

// nextItem returns an item to dispatch now, nil for none.
func (p *plan) nextItem(now time.Time) *batchItem {
	if p.mode != modeActive || p.isPendingFull() || now.Before(p.dispatchNotBefore) || len(p.inFlight) >= int(p.limit.size) {
		return nil
	}
	for i, t := range p.queued {
		if now.Before(t.notBefore) {
			continue
		}
		p.queued = append(p.queued[:i], p.queued[i+1:]...)
		p.inFlight[t.index] = t
		t.lastStart = now
		return t
	}
	return nil
}

// checkDeadline takes the time: the deadline may have passed.
func (p *plan) checkDeadline(now time.Time) {
	d := p.job.GetDeadlineUnix()
	if p.mode != modeActive || d == 0 || now.Before(time.Unix(d, 0)) {
		return
	}
	p.mode = modeExpired
	for _, t := range p.queued {
		p.addResult(t, 0, nil, deadlineError())
	}
	p.queued = nil
}

// startDrain stops dispatch. Calls may run until the given time. A job that is being
// cancelled or fails stays so: its end needs no more than a commit.
func (p *plan) startDrain(deadline time.Time) {
	if p.mode == modeActive || p.mode == modeExpired {
		p.mode, p.queued, p.drainDeadline = modeDraining, nil, deadline
	}
}

// shouldCancelCalls says whether running calls are to be cancelled.
func (p *plan) shouldCancelCalls(now time.Time) bool {
	switch p.mode {
	case modeActive:
		return false
	case modeDraining:
		return !now.Before(p.drainDeadline)
	}
	return true
}

// addResult adds a result.
func (p *plan) addResult(item *batchItem, status int32, body []byte, err *itemError) {
	if isDone(p.done, item.index) {
		return
	}
	r := newResult(p.job.GetId(), item, status, body, err)
	p.done = setDone(p.done, item.index)
	p.doneCount++
	p.pending = append(p.pending, r)
	p.pendingBytes += len(r.line)
	p.averageResultBytes += (len(r.line) - p.averageResultBytes) / 8
}

func deadlineError() *itemError {
	return &itemError{codeDeadline, "the deadline of the job passed before the item ran"}
}

// nextWake returns when something is due without an event, the zero time for
// never.
func (p *plan) nextWake(now time.Time) time.Time {
	w := p.nextTryTime(now)
	n := func(t time.Time) {
		if t.After(now) && (w.IsZero() || t.Before(w)) {
			w = t
		}
	}
	if p.mode == modeActive && p.job.GetDeadlineUnix() != 0 {
		n(time.Unix(p.job.GetDeadlineUnix(), 0))
	}
	if p.mode == modeDraining {
		n(p.drainDeadline)
	}
	if !p.isPendingFull() && len(p.inFlight) < int(p.limit.size) {
		for _, t := range p.queued {
			n(laterTime(t.notBefore, p.dispatchNotBefore))
		}
	}
	return w
}
