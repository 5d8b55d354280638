// Package batch accepts batch jobs, runs their items on backend servers, and
// serves the results.
//
// All durable state is kept in platform objects: the items of a job in input
// objects, the job itself in a job object whose creation is the acceptance, and
// the results in append-only results objects. Every write is a conditional
// update. So every front can serve every job, a result is listed once, and its
// position never changes.
//
// The front that accepted a job runs its items. When that front is gone, the
// successor takes the job over: the first of the other live fronts in
// rendezvous order. Two fronts that run the same job by mistake waste work, but
// no result is listed twice.
package batch
