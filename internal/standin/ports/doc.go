// Package ports finds free ports for processes that tests start.
//
// A port that the system chooses for a listener is soon free again, and may be
// taken by the next connection of any process before the one that it was chosen
// for has started. So the ports are below those that the system gives to
// connections.
package ports
