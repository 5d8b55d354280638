// Package quota decides which batch jobs are admitted under a route's limit of
// waiting tokens.
//
// The limit bounds the tokens of unfinished items that all fronts together have
// accepted on a route. Each job has an entry in the route's account, which is
// added before the job is accepted, reduced as its items get results, and removed
// with the last result. Entries hold absolute numbers, so that changes are
// idempotent and can be repeated when their outcome is unknown.
//
// An account does no input or output. The caller commits a decision by a
// conditional update of the object from which the account was read.
package quota
