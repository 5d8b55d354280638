// Package ports finds and reserves free TCP and UDP ports for processes that tests
// start.
//
// A port that the kernel assigns to a listener on port 0 lies in the ephemeral
// range. After the listener is closed, the kernel may assign it to an outgoing
// connection of any process before the test process has bound it. The ports are
// therefore taken from below the ephemeral range. A reservation holds the ports at
// another loopback address, so that they stay free for its processes between two
// starts of them.
package ports
