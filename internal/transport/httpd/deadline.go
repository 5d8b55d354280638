package httpd

import (
	"net"
	"time"
)

// net/http sets the read deadline of a connection once a head is due and once
// the connection is idle, from settings that are fixed before it serves. The
// server gives it these instead, which no other deadline comes near, and timed
// puts the time that holds at the moment in their place.
const (
	headerTimeoutPlaceholder = 100 * time.Hour
	idleTimeoutPlaceholder   = 200 * time.Hour
)

// deadlineListener makes connections whose callers' times are looked up when they are
// needed.
type deadlineListener struct {
	net.Listener
	timeouts func() (header, idle time.Duration)
}

func (l deadlineListener) Accept() (net.Conn, error) {
	n, e := l.Listener.Accept()
	if e != nil {
		return nil, e
	}
	return deadlineConn{n, l.timeouts}, nil
}

// deadlineConn is a connection of a caller.
type deadlineConn struct {
	net.Conn
	timeouts func() (header, idle time.Duration)
}

// SetReadDeadline replaces the deadlines of a head and of an idle connection
// by those that hold now.
func (n deadlineConn) SetReadDeadline(deadline time.Time) error {
	if d := time.Until(deadline); !deadline.IsZero() && d > headerTimeoutPlaceholder/2 {
		h, i := n.timeouts()
		if d > (headerTimeoutPlaceholder+idleTimeoutPlaceholder)/2 {
			h = i
		}
		deadline = time.Now().Add(h)
	}
	return n.Conn.SetReadDeadline(deadline)
}
