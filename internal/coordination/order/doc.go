// Package order reconciles the model engines with the services configuration:
// model, version and adapters.
//
// The scheduler that owns an engine compares the state that the engine reports
// with the configuration and sends at most one order at a time. Each order
// carries a fencing token: the platform's version of the object fences/<host>,
// which the owner updates first. An engine that checks tokens rejects orders of
// a previous owner. For an engine that ignores tokens, a new owner waits until
// the previous owner's lease must have expired, and an owner sends orders only
// within its lease as measured by its own monotonic clock.
//
// Orders that load weights are rate limited in each scheduler, because the
// capacity of the weight store is shared by the whole fleet.
package order
