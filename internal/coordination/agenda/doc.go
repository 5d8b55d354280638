// Package agenda decides which item of the batch jobs of a front runs next.
//
// Jobs that are due earlier come first, so that a small job does not wait
// behind a large one that is due later. Within a job, items that have run in
// part go on first, and then the others in their order. An item that was
// refused or broken rests before its next run; one that fails too often, or
// can never be done, is given up.
//
// The load that this answers: free slots that last for two to three seconds
// between bursts of online requests, and jobs of about ten items due within
// seconds.
package agenda
