package httpd

import (
	"net"
	"time"
)

// net/http sets the read deadline of a connection when it starts to wait for a
// request header and when the connection becomes idle, from timeouts that are
// fixed before it serves. The server configures these placeholders, which are
// far longer than any other timeout. deadlineConn recognises the deadlines that
// result and substitutes the timeouts currently in force.
const (
	headerTimeoutPlaceholder = 100 * time.Hour
	idleTimeoutPlaceholder   = 200 * time.Hour
)

// deadlineListener wraps accepted connections in deadlineConn.
type deadlineListener struct {
	net.Listener
	timeouts func() (header, idle time.Duration)
}

func (l deadlineListener) Accept() (net.Conn, error) {
	n, e := l.Listener.Accept()
	if e != nil {
		return nil, e
	}
	return &deadlineConn{n, l.timeouts}, nil
}

// deadlineConn is a server connection that looks up its header and idle
// timeouts whenever net/http starts one of them.
type deadlineConn struct {
	net.Conn
	timeouts func() (header, idle time.Duration)
}

// SetReadDeadline replaces the placeholder deadlines by the timeouts currently
// in force. The two are told apart by the midpoint between them.
func (n *deadlineConn) SetReadDeadline(deadline time.Time) error {
	if d := time.Until(deadline); !deadline.IsZero() && d > headerTimeoutPlaceholder/2 {
		h, i := n.timeouts()
		if d > (headerTimeoutPlaceholder+idleTimeoutPlaceholder)/2 {
			h = i
		}
		deadline = time.Now().Add(h)
	}
	return n.Conn.SetReadDeadline(deadline)
}
