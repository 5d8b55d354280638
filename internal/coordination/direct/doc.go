// Package direct serves online requests: it chooses a service of the route and
// a backend server by the loads of the fleet, forwards the request and relays
// the response.
//
// A front queues no requests. It sends a request at once, or rejects it at once
// with a Retry-After time. An attempt that did not run is repeated at another
// backend server. One that may have run is repeated only where the route allows
// it, within the route's number of attempts, the retry budget of the service and
// the deadline of the request.
//
// An interrupted stream is resumed after the last event that was relayed to the
// caller. If it cannot be resumed, the caller's connection is aborted, so that a
// partial response is never taken for a complete one.
package direct
