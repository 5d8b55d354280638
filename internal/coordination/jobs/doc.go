// Package jobs runs the batch jobs that this scheduler owns.
//
// It lists and watches all jobs and starts a task for each job for which this
// member is the preferred owner. The task acquires the job by a conditional
// update of owner and epoch, reads its input, runs its items as batch calls and
// commits their results: it stores a segment of successes and one of failures
// in the depots, then adds the segments to the job and sets the done bits in
// one conditional update. Only that update makes results count. An owner that
// was paused, or whose response was lost, therefore can't complete an item
// twice: its update fails, and it reads the job back.
//
// The plan of a job decides what to do next; it performs no I/O and starts no
// goroutines. The task carries the decisions out.
package jobs
