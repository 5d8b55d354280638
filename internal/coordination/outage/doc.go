// Package outage spares a platform that does not answer calls that can't succeed.
//
// During an outage each front would repeat its lists, its callers' submissions and
// reads, and its writes of results many times a second. All of these calls are charged
// to the fleet and counted against the platform's rate limits, and those of all fronts
// together reach the platform at the moment of its return. A Store is a circuit breaker:
// once several calls in a row have failed, it makes a few calls a second, whichever come
// first, and fails the others at once as not run, until one is answered.
package outage
