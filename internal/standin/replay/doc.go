// Package replay measures scheduling policies under load with a discrete-event
// simulation: it drives the decision module of package place with a recorded
// trace and a model of the runners, and passes the simulated time to the module.
//
// A simulated runner has a number of slots, a time per token that grows slightly
// with each running request, a prefill of the prompt tokens that are not in its
// bounded prefix cache, and delayed load reports. There is one scheduler, the
// only network fault is the loss of runners, and callers don't retry. The same
// trace and seed give the same figures.
package replay
