// Package direct serves online requests: it finds the route, chooses a backend
// server by the loads of the fleet, and passes the answer on.
//
// Nothing waits at a front. A request is sent at once, or refused at once with
// a time to come back. An attempt that did not run goes on at another backend
// server; one that may have run does so only where the route allows it, within
// the attempts and the time of the request. A stream that breaks goes on after
// the last event that the caller has, or the caller's connection is cut, so
// that a part never looks like the whole.
package direct
