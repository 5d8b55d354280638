// Package place decides which backend server runs which call, and when.
//
// It is a deterministic state machine. Each event is a method call that takes
// the current time and returns the resulting decisions in the order in which
// they must be carried out. The package opens no sockets and starts no
// goroutines, and the same sequence of events always yields the same decisions.
//
// A call that is not in flight waits in exactly one place: the online or batch
// queue of its service, the service's retries, or the suspects of a crash. An
// attempt is in flight from its dispatch until an event ends it or a decision
// cancels it. Events for an attempt that is not in flight have no effect.
package place
