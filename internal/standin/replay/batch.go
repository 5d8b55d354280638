package replay

import (
	"time"
)

// backlogInFlight is the number of batch items without a deadline that are
// always waiting or running. It equals the maximum that one job has in flight.
const backlogInFlight = 256

// backlogCaller submits the backlog, in jobs of itemsPerBacklogJob items each.
const (
	backlogCaller      = "backlog"
	itemsPerBacklogJob = 500
)

// batchJob is a batch job of the trace.
type batchJob struct {
	deadline time.Time
	missed   bool
}

// submitJob submits all items of a job at once.
func (r *run) submitJob(line *traceLine) {
	j := &batchJob{deadline: r.clock.now.Add(line.window)}
	for range line.Items {
		r.submitCall(&callState{line: line, job: j})
	}
}

// startBacklog submits the first backlogInFlight items of the backlog, which
// repeats the batch jobs of the trace without their deadlines.
func (r *run) startBacklog() {
	for _, x := range r.config.trace.lines {
		if x.Kind == kindBatch {
			o := *x
			o.Caller = backlogCaller
			r.backlogLines = append(r.backlogLines, &o)
		}
	}
	if len(r.backlogLines) == 0 {
		return
	}
	for range backlogInFlight {
		r.submitCall(r.nextBacklogItem())
	}
}

// nextBacklogItem returns the next item of the backlog. Jobs are submitted one
// after the other, so most items in flight share a prefix.
func (r *run) nextBacklogItem() *callState {
	r.backlogTaken++
	return &callState{line: r.backlogLines[r.backlogTaken/itemsPerBacklogJob%len(r.backlogLines)]}
}

// itemEnded resubmits an item that was not completed, unless its job's deadline
// passes first. It replaces a completed backlog item by the next one.
func (r *run) itemEnded(call *callState, code string, retryAfter time.Duration) {
	n := &callState{line: call.line, job: call.job}
	switch {
	case call.job == nil && code == "":
		r.clock.after(0, func() { r.submitCall(r.nextBacklogItem()) })
	case call.job == nil:
		r.clock.after(retryAfter, func() { r.submitCall(n) })
	case code == "":
		if r.clock.now.After(call.job.deadline) {
			r.missDeadline(call.job)
		}
	case r.clock.now.Add(retryAfter).After(call.job.deadline):
		r.missDeadline(call.job)
	default:
		r.clock.after(retryAfter, func() { r.submitCall(n) })
	}
}

func (r *run) missDeadline(job *batchJob) {
	r.figures.missedItems++
	if !job.missed {
		job.missed = true
		r.figures.missedJobs++
	}
}

// burstCallerName is the caller that sends the burst.
const burstCallerName = "region"

// startBurst schedules one caller's burst in the middle of the trace, and one
// request of each small caller, evenly spaced over the second half. The
// requests of the burst take their lengths from the trace, because with equal
// lengths all slots would become free at the same time.
func (r *run) startBurst() {
	var l []*traceLine
	for _, x := range r.config.trace.lines {
		if x.Kind == kindOnline {
			l = append(l, x)
		}
	}
	if len(l) == 0 {
		return
	}
	r.clock.after(r.config.trace.length/2, func() {
		for i := range r.config.burstRequests {
			o := *l[i%len(l)]
			o.Caller, o.Prefix = burstCallerName, burstCallerName
			r.submitCall(&callState{line: &o, online: true})
		}
	})
	g := r.config.trace.length / 2 / time.Duration(r.config.smallCallers+1)
	for i := range r.config.smallCallers {
		o := *l[0]
		o.Caller = hostName(i)
		o.Prefix = o.Caller
		r.clock.after(r.config.trace.length/2+time.Duration(i+1)*g, func() { r.submitCall(&callState{line: &o, online: true, smallCaller: true}) })
	}
}
