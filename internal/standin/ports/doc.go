// Package ports finds free TCP ports for processes that tests start.
//
// A port that the kernel assigns to a listener on port 0 lies in the ephemeral
// range. After the listener is closed, the kernel may assign it to an outgoing
// connection of any process before the test process has bound it. The ports are
// therefore taken from below the ephemeral range.
package ports
