// Package place decides which backend server runs which call, and when.
//
// It is a decision module: events with the current time go in as method calls,
// and each returns the decisions that it caused, in the order in which they
// must be carried out. It opens no socket and starts no goroutine, and the
// same events give the same decisions.
//
// A call waits in one place at a time: in the online or batch queue of its
// service, among the retries, or among the suspects of a crash. An attempt is
// in flight from its dispatch to the event that ends it or the decision that
// cancels it; an event for an attempt that is not in flight changes nothing.
package place
