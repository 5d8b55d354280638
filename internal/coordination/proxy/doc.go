// Package proxy sends attempts of requests to backend servers by way of another
// front while this one has no path to them.
//
// Only the sending of an attempt moves to the other front. The choice of the
// server, the count of its requests, permits, retries, streams and time limits stay
// with the front that has the caller, so every promise is kept as if it sent the
// attempt itself. The other front sends directly only, and an attempt goes through
// at most one.
package proxy
