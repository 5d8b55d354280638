// Package batch accepts batch jobs, runs their items, and lists the results.
//
// All that must last is kept in platform objects: the items of a job in input
// objects, the job itself in a job object whose creation is the acceptance, and
// the results in results objects that only grow, by conditional updates. So
// each process can answer for each job, an item is listed once, and a result
// keeps its position.
//
// The front that accepted a job runs its items. When it is gone, the first of
// the other fronts in rendezvous order takes the job over. Two fronts that run
// the same job by mistake waste work but list nothing twice.
package batch
