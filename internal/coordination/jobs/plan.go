package jobs

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// An item fails after this many failed attempts that may have run.
	maxItemAttempts = 5
	// Dispatch pauses when the uncommitted results of a job reach this size.
	maxPendingBytes   = 8 << 20
	minCommitInterval = time.Second
	// Commits per second by all jobs of the system together.
	maxCommitRate = 100
	// Pending results of this size are committed regardless of the number of
	// segments.
	earlyCommitBytes = 4 << 20
	// Each segment takes about 230 bytes of the job object, which must stay below
	// 1 MB. The commit interval in seconds is at least the square of the number
	// of segments divided by this constant, so that a job of one day has about
	// 2,200 segments and one of a week 4,200.
	segmentsSquaredPerSecond = 20_000
	// After the deadline, items that were not read are failed without their
	// custom ids when this many consecutive reads of the input have failed.
	maxInputFailures = 3
	preemptedDelay   = time.Second
	// Items that were rejected for their size and are read ahead beside the others, which
	// bounds the memory that they take.
	maxTooLargeAhead = 1000
)

// Error codes that the plan distinguishes or sets.
const (
	codeRejected  = "request-rejected"
	codeLost      = "backend-lost"
	codePreempted = "preempted"
	codeDeadline  = "deadline-passed"
	codeTooLarge  = "request-too-large"
)

// mode is what the owner of a job currently does with it.
type mode int

const (
	// Items are dispatched.
	modeActive mode = iota
	// The deadline has passed: the remaining items are failed.
	modeExpired
	// The job is being cancelled: calls in flight are cancelled, finished
	// results are committed.
	modeCancelling
	// This process shuts down: calls in flight may run until drainDeadline,
	// finished results are committed.
	modeDraining
	// The input was not found: the job ends as failed.
	modeInputMissing
	// The job has ended or was deleted, or belongs to another owner.
	modeEnded
)

// plan decides what happens to one job. It processes events with the current
// time, performs no I/O and starts no goroutines.
type plan struct {
	memberID string
	epoch    int64
	// The newest known job object, and its version.
	job     *wire.Job
	version int64
	mode    mode
	// Why the mode is modeEnded.
	endReason string
	// -1 while unknown.
	itemCount int
	// Bitmap of the items whose result is committed, in the open commit or
	// pending.
	done []byte
	// Number of bits set in done.
	doneCount int
	// Items that were read and wait for dispatch.
	queued   []*batchItem
	inFlight map[int]*batchItem
	// Set when no more input is to be read.
	inputComplete bool
	inputFailures int
	limit         concurrencyLimit
	// Consecutive refusals over all items, and the earliest time of the next
	// dispatch.
	consecutiveRefusals int
	dispatchNotBefore   time.Time
	pending             []itemResult
	// Bytes of the results in pending and in the open commit.
	pendingBytes int
	// Moving average of the size of one result. Calls in flight count with it
	// against maxPendingBytes.
	averageResultBytes int
	// The open commit, nil for none.
	commit         *commit
	lastTry        time.Time
	commitInterval time.Duration
	// In a drain, calls that are still in flight at this time are cancelled.
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

// setCommitInterval sets the commit interval from the number of unfinished jobs
// in the system, so that together they stay within maxCommitRate.
func (p *plan) setCommitInterval(unfinishedJobs int) {
	p.commitInterval = max(minCommitInterval, time.Duration(unfinishedJobs)*time.Second/maxCommitRate)
}

// addItem processes an item read from the input.
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

// handleInputEnd processes the end of an input of itemCount items.
func (p *plan) handleInputEnd(itemCount int) {
	p.inputComplete = true
	if p.itemCount < 0 {
		p.itemCount = itemCount
	}
	p.failUnreadItems(itemCount, &itemError{"item-missing", "the input file has fewer items than the job"})
}

// handleReadError processes a failed read of the input, which is retried.
func (p *plan) handleReadError() {
	p.inputFailures++
	if p.mode == modeExpired && p.inputFailures >= maxInputFailures && p.itemCount >= 0 {
		p.inputComplete = true
		p.failUnreadItems(0, &itemError{codeDeadline, "the deadline passed while the input could not be read"})
	}
}

// failUnreadItems fails the items from index first on that are not done, queued
// or in flight.
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

// handleInputMissing ends the job as failed because its input was not found.
func (p *plan) handleInputMissing() {
	if p.mode == modeActive || p.mode == modeExpired {
		p.mode, p.queued = modeInputMissing, nil
	}
}

// wantsInput reports whether the next item of the input is to be read.
func (p *plan) wantsInput() bool {
	if p.inputComplete || p.pendingBytes >= maxPendingBytes {
		return false
	}
	n := 0
	for _, t := range p.queued {
		if t.tooLarge {
			n++
		}
	}
	return p.mode == modeExpired || p.mode == modeActive && len(p.queued)-min(n, maxTooLargeAhead) < int(p.limit.size)
}

// isPendingFull reports whether the uncommitted results, with those expected of
// the calls in flight, reach maxPendingBytes.
func (p *plan) isPendingFull() bool {
	return p.pendingBytes+len(p.inFlight)*p.averageResultBytes >= maxPendingBytes
}

// nextItem returns an item to dispatch now, nil for none. The item counts as in
// flight from then on.
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

// checkDeadline fails the queued items once the deadline of the job has passed.
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

// startDrain stops dispatch. Calls in flight may run until the deadline. A job
// that is being cancelled or that fails keeps its mode, because it only needs a
// commit to end.
func (p *plan) startDrain(deadline time.Time) {
	if p.mode == modeActive || p.mode == modeExpired {
		p.mode, p.queued, p.drainDeadline = modeDraining, nil, deadline
	}
}

// shouldCancelCalls reports whether the calls in flight are to be cancelled.
func (p *plan) shouldCancelCalls(now time.Time) bool {
	switch p.mode {
	case modeActive:
		return false
	case modeDraining:
		return !now.Before(p.drainDeadline)
	}
	return true
}

// addResult adds the result of an item that has none yet.
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

// nextWake returns the next time at which the plan has something to do even
// without an event, the zero time for never.
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
