// Package route chooses the scheduler for each call and passes a call on when
// its scheduler refuses it or is lost.
//
// The decision module ranks the schedulers that report backend servers for the
// service: those of the own data centre first, then by the rendezvous order of
// the call's prefix while the load stays bounded, then by the least expected
// wait. A task owns the module and a subscription to the load reports of each
// scheduler. A scheduler that does not answer is avoided until a new
// subscription to it works.
package route
