// Package agenda decides which item of a front's batch jobs runs next.
//
// Jobs are run by earliest due time, so that a small job does not wait behind a
// large one that is due later. Within a job, items that have already run in part
// are resumed first, followed by the others in their order. An item whose run
// was refused or broke off has a backoff before its next run; one that fails too
// often, or can never complete, is given up.
//
// It is designed for slots that are free for two to three seconds between bursts
// of online requests, and for jobs of about ten items that are due within
// seconds.
package agenda
