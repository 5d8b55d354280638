// Package quota decides which batch jobs a route's limit of waiting tokens lets
// in.
//
// All fronts together may have accepted so many tokens of unfinished items on a
// route. Each job has an entry in the route's account that is made before the
// job is accepted, shrinks as its items get results, and goes with the last of
// them. Entries hold absolute numbers, so that repeating a change whose outcome
// is not known does no harm.
//
// An account has no input and output: whoever decides by it makes the decision
// good by a conditional update of the object that it was read from.
package quota
