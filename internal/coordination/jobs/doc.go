// Package jobs runs the batch jobs that this scheduler owns.
//
// One task watches the jobs and takes those for which this member is preferred
// by a conditional update of owner and epoch. One task for each job reads its
// input, runs its items as batch calls and commits their results: a segment of
// successes and one of failures go to the depots, then one conditional update
// adds the segments and sets the done bits. Only that update counts, so an
// owner that was paused, or whose answer was lost, can't complete an item
// twice: its update fails, and it reads the job back.
//
// What a job does next is decided by its plan, which opens nothing and starts
// nothing; its task carries the decisions out.
package jobs
