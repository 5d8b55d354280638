package paths

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	monitor *Monitor
	address string
	// Times of the last write and of the last read of bytes, as time since the
	// monitor's start.
	writtenAt, readAt atomic.Int64
}

// socket is a conn that is a socket.
type socket struct {
	*conn
	syscall.Conn
}

func (c *conn) Read(p []byte) (int, error) {
	n, e := c.Conn.Read(p)
	if n > 0 {
		o := c.monitor.elapsed()
		c.readAt.Store(int64(o))
		c.monitor.heardAt.Store(int64(o))
	}
	return n, e
}

func (c *conn) Write(p []byte) (int, error) {
	c.writtenAt.Store(int64(c.monitor.elapsed()))
	c.monitor.scheduleCheck()
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.monitor.forget(c)
	return c.Conn.Close()
}

// waitingSince returns since when the server owes an answer, and false if it owes
// none or has begun it.
func (c *conn) waitingSince() (time.Duration, bool) {
	w := c.writtenAt.Load()
	return time.Duration(w), w > c.readAt.Load()
}
