// Package mesh keeps one session with each peer process and opens a stream on
// it for each exchange.
//
// A session is a yamux connection over TCP that begins with a Hello in each
// direction. Keepalives close a session that has gone silent, and the next
// exchange dials again, so that a lost connection costs one keepalive period
// and not the peer.
package mesh
