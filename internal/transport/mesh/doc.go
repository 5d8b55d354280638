// Package mesh maintains one multiplexed session per peer process and opens a
// stream on it for each request.
//
// A session is a yamux connection over TCP that starts with a Hello message in
// each direction. Keepalives close a session whose peer no longer responds, and
// the next request dials again. A lost connection thus costs a keepalive
// interval and a timeout, but does not leave the peer unreachable.
package mesh
