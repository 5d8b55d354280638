package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Time that a new connection has to send its first request after the server
	// has stopped accepting.
	firstRequestTimeout = time.Second
	// Interval between two looks at the connections during a shutdown.
	connPollInterval = 5 * time.Millisecond
)

// connTracker knows the connections of a server whose first request has not been
// read.
type connTracker struct {
	mu sync.Mutex
	// Time at which each of them was accepted.
	acceptedAt map[net.Conn]time.Time
}

func newConnTracker() *connTracker { return &connTracker{acceptedAt: map[net.Conn]time.Time{}} }

// update records the state of a connection. It is the ConnState hook of
// http.Server.
func (c *connTracker) update(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew {
		c.acceptedAt[conn] = time.Now()
		return
	}
	delete(c.acceptedAt, conn)
}

// waitFirstRequests waits until the first request of each connection is being
// answered. Connections that have not sent one within firstRequestTimeout are
// closed.
func (c *connTracker) waitFirstRequests(ctx context.Context) {
	t := time.NewTicker(connPollInterval)
	defer t.Stop()
	// net/http looks once more whether the server shuts down after it has
	// reported the last request as read.
	for n := 0; n < 2 && ctx.Err() == nil; {
		n++
		if c.closeSilent(time.Now()) > 0 {
			n = 0
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// closeSilent closes the connections whose time for the first request is over
// and returns the number of others.
func (c *connTracker) closeSilent(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, a := range c.acceptedAt {
		if now.Sub(a) >= firstRequestTimeout {
			delete(c.acceptedAt, n)
			_ = n.Close()
		}
	}
	return len(c.acceptedAt)
}
