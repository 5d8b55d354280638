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
	headerMark = 100 * time.Hour
	idleMark   = 200 * time.Hour
)

// listener makes connections whose callers' times are looked up when they are
// needed.
type listener struct {
	net.Listener
	times func() (header, idle time.Duration)
}

func (l listener) Accept() (net.Conn, error) {
	n, e := l.Listener.Accept()
	if e != nil {
		return nil, e
	}
	return timed{n, l.times}, nil
}

// timed is a connection of a caller.
type timed struct {
	net.Conn
	times func() (header, idle time.Duration)
}

// SetReadDeadline replaces the deadlines of a head and of an idle connection
// by those that hold now.
func (n timed) SetReadDeadline(t time.Time) error {
	if d := time.Until(t); !t.IsZero() && d > headerMark/2 {
		h, i := n.times()
		if d > (headerMark+idleMark)/2 {
			h = i
		}
		t = time.Now().Add(h)
	}
	return n.Conn.SetReadDeadline(t)
}
