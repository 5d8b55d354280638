package memnet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errRefused is the error of a dial to an address without a listener.
var errRefused = errors.New("connection refused")

// Network connects dialers to listeners by address. It implements trail.Dialer.
// Its connections are unbuffered.
type Network struct {
	mu sync.Mutex
	// Open listeners by address.
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener that accepts connections to address until it is
// closed. A previous listener of the address must have been closed.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{}), blackhole: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// DialContext connects to the listener of address. It fails immediately if there
// is no listener, and blocks until the listener accepts the connection.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	select {
	case l.accept <- &pipeConn{Conn: b, blackhole: l.currentBlackhole()}:
		return &pipeConn{Conn: a, blackhole: l.currentBlackhole()}, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Blackhole makes all existing connections to address discard the bytes written
// to either end, without closing the connections. New connections are not
// affected.
func (n *Network) Blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	close(l.blackhole)
	l.blackhole = make(chan struct{})
}

// pipeConn is one end of a connection that can be blackholed.
type pipeConn struct {
	net.Conn
	// Closed when the connection is blackholed.
	blackhole chan struct{}
}

// Write discards the bytes if the connection is blackholed.
func (s *pipeConn) Write(b []byte) (int, error) {
	select {
	case <-s.blackhole:
		return len(b), nil
	default:
		return s.Conn.Write(b)
	}
}

// currentBlackhole returns the channel whose close blackholes new connections.
func (l *listener) currentBlackhole() chan struct{} {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return l.blackhole
}

type listener struct {
	network *Network
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	// Closed and replaced to blackhole all connections made so far. Guarded by
	// network.mu.
	blackhole chan struct{}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case k := <-l.accept:
		return k, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close removes the listener from the network. Later dials are refused.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr returns a placeholder address.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
