package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	trail "bulrushtrail.example/trail"
)

const (
	// Interval at which a new connection without room tries again.
	openRetryInterval = 20 * time.Millisecond
	// Socket buffers of a caller's connection. The kernel's own grow to some megabytes
	// each. A body of 4 MB at a round trip of 3 ms takes 0.1 s with the first.
	readBufferBytes  = 128 << 10
	writeBufferBytes = 64 << 10
)

// WithClientBudget bounds what the server holds for its clients, in place of
// WithMaxConnections.
func WithClientBudget(budget trail.ClientBudget) func(*Server) {
	return func(s *Server) { s.clients = budget }
}

// LimitClients returns a listener whose connections claim room in a budget. While there
// is none, connections wait to be accepted. report is called with the address of each
// client whose connection gives way.
func LimitClients(listener net.Listener, budget trail.ClientBudget, report func(remote string)) net.Listener {
	return &claimListener{Listener: listener, budget: budget, report: report, closed: make(chan struct{})}
}

type claimListener struct {
	net.Listener
	budget trail.ClientBudget
	// Called when a connection gives way, with the address of its client.
	report    func(remote string)
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *claimListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *claimListener) Accept() (net.Conn, error) {
	n, e := l.Listener.Accept()
	if e != nil {
		return nil, e
	}
	if t, o := n.(*net.TCPConn); o {
		_ = t.SetReadBuffer(readBufferBytes)
		_ = t.SetWriteBuffer(writeBufferBytes)
	}
	c := &claimedConn{Conn: n}
	f := func() {
		l.report(n.RemoteAddr().String())
		_ = n.Close()
	}
	for {
		c.claim = l.budget.Open(time.Now(), f)
		if c.claim != nil {
			return c, nil
		}
		select {
		case <-time.After(openRetryInterval):
		case <-l.closed:
			_ = n.Close()
			return nil, net.ErrClosed
		}
	}
}

// claimedConn is a connection with its claim.
type claimedConn struct {
	net.Conn
	claim trail.ClientClaim
}

func (n *claimedConn) Close() error {
	n.claim.Close()
	return n.Conn.Close()
}

type claimKey struct{}

// contextWithClaim is the ConnContext hook of http.Server.
func contextWithClaim(ctx context.Context, conn net.Conn) context.Context {
	if d, o := conn.(*deadlineConn); o {
		conn = d.Conn
	}
	c, o := conn.(*claimedConn)
	if !o {
		return ctx
	}
	return context.WithValue(ctx, claimKey{}, c.claim)
}

// ClaimOf returns the claim of the connection of a request, which takes everything
// without a budget.
func ClaimOf(r *http.Request) trail.ClientClaim {
	c, o := r.Context().Value(claimKey{}).(trail.ClientClaim)
	if !o {
		return noClaim{}
	}
	return c
}

// noClaim is the claim of a connection without a budget.
type noClaim struct{}

func (noClaim) Grow(time.Time, int64) bool { return true }
func (noClaim) Shrink(int64)               {}
func (noClaim) Await(time.Time)            {}
func (noClaim) Work(time.Time, int)        {}
func (noClaim) Reset(time.Time)            {}
func (noClaim) Close()                     {}

const (
	// Bytes that a header field takes in memory beside its text, twice since the header
	// is copied for the request to the backend server: an entry of the map and a slice.
	fieldBytes = 256
	// Retry-After of a request whose head has no room.
	headRetryAfter = "0.500"
)

// claimHead takes the bytes of a request's head.
func claimHead(claim trail.ClientClaim, r *http.Request) bool {
	n := 2 * len(r.RequestURI)
	for k, l := range r.Header {
		n += fieldBytes + 2*len(k)
		for _, v := range l {
			n += 2 * len(v)
		}
	}
	return claim.Grow(time.Now(), int64(n))
}

// refuseHead answers a request whose head has no room. It has not run.
func refuseHead(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", headRetryAfter)
	http.Error(w, "client-memory", http.StatusServiceUnavailable)
}
