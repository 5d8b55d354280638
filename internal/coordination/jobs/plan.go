package jobs

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Attempts of an item that may have run.
	maxAttempts = 5
	// Finished results that wait for their commit; above it dispatch pauses.
	maxPendingBytes = 8 << 20
	minInterval     = time.Second
	// Commits of all jobs of the system in a second.
	maxCommitRate = 100
	// Results of this size are committed without regard to the number of
	// segments.
	earlyCommitBytes = 4 << 20
	// Each segment takes about 230 bytes of the job, which must stay under
	// 1 MB. The interval grows with the square of their number, so that a job
	// of a day has about 2,200 and one of a week 4,200.
	segmentsSquared = 20_000
	// Failed reads of the input after the deadline, before the items that
	// were not read are failed without their custom ids.
	maxInputFailures = 3
	preemptedWait    = time.Second
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
	active mode = iota
	// The deadline has passed: what is left is failed.
	expired
	// The job is being cancelled: running calls end, results are committed.
	cancelling
	// This process shuts down: running calls end, results are committed.
	draining
	// The input can't be used: the job ends as failed.
	broken
	// Nothing is left to do, or the job belongs to another owner.
	ended
)

// plan decides what happens to one job. It takes events with the current time,
// opens nothing and starts nothing.
type plan struct {
	me    string
	epoch int64
	// The job as the platform last had it, and its version.
	job     *wire.Job
	version int64
	mode    mode
	// Why the mode is ended.
	reason string
	// Number of items; -1 while it is not known.
	items int
	// Items whose result is committed, in the attempt or pending.
	done []byte
	// Bits set in done.
	count int
	// Items that were read and are to be dispatched.
	waiting []*item
	running map[int]*item
	// The input has been read to its end.
	inputEnd      bool
	inputFailures int
	limit         limit
	// Refusals in a row over all items, and when dispatch goes on.
	refusals  int
	holdUntil time.Time
	pending   []result
	// Bytes of pending and of the attempt.
	bytes int
	// Moving average of the bytes of one result, with which the running calls
	// count against maxPendingBytes.
	average int
	// The commit that runs or is to be tried again, nil for none.
	attempt    *attempt
	lastCommit time.Time
	interval   time.Duration
	// Calls that still run then are cancelled while draining.
	drainUntil time.Time
}

func newPlan(me string, j *wire.Job, version int64, now time.Time) *plan {
	p := &plan{
		me: me, epoch: j.GetEpoch(), job: j, version: version,
		items:   int(j.GetItems()),
		done:    append([]byte(nil), j.GetDone()...),
		running: map[int]*item{},
		limit:   newLimit(), interval: minInterval, lastCommit: now,
	}
	p.count = countDone(p.done)
	if p.items == 0 {
		p.items = -1
	}
	if j.GetState() == wire.JobState_JOB_STATE_CANCELLING {
		p.mode = cancelling
	}
	return p
}

// spread sets the commit interval from the number of active jobs.
func (p *plan) spread(activeJobs int) {
	p.interval = max(minInterval, time.Duration(activeJobs)*time.Second/maxCommitRate)
}

// read takes an item of the input.
func (p *plan) read(t *item) {
	p.inputFailures = 0
	switch {
	case isDone(p.done, t.index) || p.items >= 0 && t.index >= p.items:
	case t.fault != nil:
		p.finish(t, 0, nil, t.fault)
	case p.mode == expired:
		p.finish(t, 0, nil, deadlineFault())
	case p.mode == active:
		p.waiting = append(p.waiting, t)
	}
}

// readAll takes the end of the input after so many items.
func (p *plan) readAll(items int) {
	p.inputEnd = true
	if p.items < 0 {
		p.items = items
	}
	p.failUnread(items, &fault{"item-missing", "the input file has fewer items than the job"})
}

// readFailed takes a failed read of the input, which will be repeated.
func (p *plan) readFailed() {
	p.inputFailures++
	if p.mode == expired && p.inputFailures >= maxInputFailures && p.items >= 0 {
		p.inputEnd = true
		p.failUnread(0, &fault{codeDeadline, "the deadline passed while the input could not be read"})
	}
}

// failUnread fails the items from the first index that nothing is known of.
func (p *plan) failUnread(first int, f *fault) {
	h := map[int]bool{}
	for _, t := range p.waiting {
		h[t.index] = true
	}
	for i := first; i < p.items; i++ {
		if !isDone(p.done, i) && !h[i] && p.running[i] == nil {
			p.finish(&item{index: i}, 0, nil, f)
		}
	}
}

// inputGone takes that the input file does not exist: the job fails.
func (p *plan) inputGone() {
	if p.mode == active || p.mode == expired {
		p.mode, p.waiting = broken, nil
	}
}

// wantsInput says whether the next item of the input is to be read.
func (p *plan) wantsInput() bool {
	if p.inputEnd || p.bytes >= maxPendingBytes {
		return false
	}
	return p.mode == expired || p.mode == active && len(p.waiting) < int(p.limit.size)
}

// full says whether the results that wait, with those of the running calls,
// may take all the memory that a job has.
func (p *plan) full() bool {
	return p.bytes+len(p.running)*p.average >= maxPendingBytes
}

// next returns an item to dispatch now, nil for none.
func (p *plan) next(now time.Time) *item {
	if p.mode != active || p.full() || now.Before(p.holdUntil) || len(p.running) >= int(p.limit.size) {
		return nil
	}
	for i, t := range p.waiting {
		if now.Before(t.notBefore) {
			continue
		}
		p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
		p.running[t.index] = t
		t.sent = now
		return t
	}
	return nil
}

// tick takes the time: the deadline may have passed.
func (p *plan) tick(now time.Time) {
	d := p.job.GetDeadlineUnix()
	if p.mode != active || d == 0 || now.Before(time.Unix(d, 0)) {
		return
	}
	p.mode = expired
	for _, t := range p.waiting {
		p.finish(t, 0, nil, deadlineFault())
	}
	p.waiting = nil
}

// drain stops dispatch. Calls may run until the given time. A job that is being
// cancelled or fails stays so: its end needs no more than a commit.
func (p *plan) drain(until time.Time) {
	if p.mode == active || p.mode == expired {
		p.mode, p.waiting, p.drainUntil = draining, nil, until
	}
}

// stopsCalls says whether running calls are to be cancelled.
func (p *plan) stopsCalls(now time.Time) bool {
	switch p.mode {
	case active:
		return false
	case draining:
		return !now.Before(p.drainUntil)
	}
	return true
}

// finish adds a result.
func (p *plan) finish(t *item, status int32, body []byte, f *fault) {
	if isDone(p.done, t.index) {
		return
	}
	r := newResult(p.job.GetId(), t, status, body, f)
	p.done = setDone(p.done, t.index)
	p.count++
	p.pending = append(p.pending, r)
	p.bytes += len(r.line)
	p.average += (len(r.line) - p.average) / 8
}

func deadlineFault() *fault {
	return &fault{codeDeadline, "the deadline of the job passed before the item ran"}
}

// wake returns when something is due without an event, the zero time for
// never.
func (p *plan) wake(now time.Time) time.Time {
	w := p.commitAt(now)
	n := func(t time.Time) {
		if t.After(now) && (w.IsZero() || t.Before(w)) {
			w = t
		}
	}
	if p.mode == active && p.job.GetDeadlineUnix() != 0 {
		n(time.Unix(p.job.GetDeadlineUnix(), 0))
	}
	if p.mode == draining {
		n(p.drainUntil)
	}
	if !p.full() && len(p.running) < int(p.limit.size) {
		for _, t := range p.waiting {
			n(later(t.notBefore, p.holdUntil))
		}
	}
	return w
}
