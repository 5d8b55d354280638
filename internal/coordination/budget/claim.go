package budget

import "time"

// claim implements trail.ClientClaim. Its fields are guarded by the lock of the budget.
type claim struct {
	budget     *Budget
	disconnect func()
	bytes      int64
	closed     bool
	// Whether the process waits for the client, and since when.
	awaiting      bool
	awaitingSince time.Time
	// Time waited for the client since it last made progress, without the current wait,
	// and the bytes that it has moved since.
	waited time.Duration
	moved  int
}

// giveWay closes the connection of a claim that was removed. It does nothing for nil.
func (c *claim) giveWay() {
	if c != nil {
		c.disconnect()
	}
}

// waitedFor returns the time waited for the client since it last made progress, -1 if the
// process does not wait for it now.
func (c *claim) waitedFor(now time.Time) time.Duration {
	if !c.awaiting {
		return -1
	}
	return c.waited + now.Sub(c.awaitingSince)
}

// Grow takes bytes before they are allocated.
func (c *claim) Grow(now time.Time, bytes int64) bool { return c.budget.take(now, c, bytes) }

// Shrink gives bytes back.
func (c *claim) Shrink(bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.closed {
		c.bytes -= bytes
		c.budget.used -= bytes
	}
}

// Await starts a wait for the client.
func (c *claim) Await(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.awaiting {
		c.awaiting, c.awaitingSince = true, now
	}
}

// Work ends a wait for the client.
func (c *claim) Work(now time.Time, moved int) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.awaiting {
		return
	}
	c.awaiting = false
	c.waited += now.Sub(c.awaitingSince)
	c.moved += moved
	if c.moved >= progressBytes {
		c.waited, c.moved = 0, 0
	}
}

// Reset gives back all but the connection and waits for the next request.
func (c *claim) Reset(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.closed {
		return
	}
	c.budget.used -= c.bytes - connectionBytes
	c.bytes = connectionBytes
	c.awaiting, c.awaitingSince, c.waited, c.moved = true, now, 0, 0
}

// Close gives everything back.
func (c *claim) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.remove(c)
}
