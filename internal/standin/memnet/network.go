package memnet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errRefused is the failure of a dial to an address where nothing listens.
var errRefused = errors.New("connection refused")

// Network connects dialers and listeners by address. It implements
// trail.Dialer. Its connections have no buffer.
type Network struct {
	mutex sync.Mutex
	// Open listeners by address.
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen accepts connections to address until the listener is closed. An
// earlier listener of the address must be closed before.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{n: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{}), mute: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = l
	return l
}

// DialContext connects to the listener of address. It fails at once when there
// is none, and waits while the listener accepts nothing.
func (n *Network) DialContext(c context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	if l == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	select {
	case l.accept <- &silent{Conn: b, mute: l.hush()}:
		return &silent{Conn: a, mute: l.hush()}, nil
	case <-l.closed:
		return nil, errRefused
	case <-c.Done():
		return nil, c.Err()
	}
}

// Silence makes all connections to address that exist take bytes and pass
// none, without closing them. New connections work.
func (n *Network) Silence(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.listeners[address]
	close(l.mute)
	l.mute = make(chan struct{})
}

// silent is a connection that can stop passing bytes.
type silent struct {
	net.Conn
	// Closed when the connection falls silent.
	mute chan struct{}
}

// Write discards the bytes of a silent connection.
func (s *silent) Write(b []byte) (int, error) {
	select {
	case <-s.mute:
		return len(b), nil
	default:
		return s.Conn.Write(b)
	}
}

// hush returns the channel that silences connections made now.
func (l *listener) hush() chan struct{} {
	l.n.mutex.Lock()
	defer l.n.mutex.Unlock()
	return l.mute
}

type listener struct {
	n       *Network
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	// Silences the connections made so far; guarded by the network's mutex.
	mute chan struct{}
}

// Accept returns the next connection, and net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case k := <-l.accept:
		return k, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mutex.Lock()
		defer l.n.mutex.Unlock()
		delete(l.n.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr returns an address without meaning.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
