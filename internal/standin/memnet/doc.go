// Package memnet is a network in memory for tests under a paused clock, where
// goroutines that wait on real sockets would stop the clock.
package memnet
