// Package order keeps the model engines matched to the services text: model,
// version and adapters.
//
// The scheduler that owns an engine compares what the engine reports with the
// text and gives at most one order at a time. Each order carries a fencing
// token, the platform's version of the object fences/<host>, which the owner
// updates first. An engine that checks tokens refuses the order of an earlier
// owner. For one that ignores them, a new owner waits until the lease of the
// one before must have ended, and an owner gives orders only within its lease
// by its own monotonic clock.
//
// Orders that load weights are limited for each scheduler, because the weight
// store is limited for the whole fleet.
package order
