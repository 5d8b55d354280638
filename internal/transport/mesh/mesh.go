package mesh

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/yamux"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// ProtocolVersion is raised when a message changes its meaning. Versions
	// one apart work together, so that hosts can be replaced one by one.
	ProtocolVersion = 1
	dialTimeout     = time.Second
	helloTimeout    = 2 * time.Second
	keepalivePeriod = 5 * time.Second
	// A peer that takes no bytes for so long has gone silent.
	writeTimeout = 5 * time.Second
	// Bytes that one stream may queue at the receiver.
	windowBytes = 256 << 10
)

// handler serves one stream that a peer opened. The stream is closed after it
// returns.
type handler = func(c context.Context, s *frame.Stream, o *wire.Open, from *wire.Hello)

// Mesh holds the sessions of one process.
type Mesh struct {
	hello *wire.Hello
	d     trail.Dialer
	l     log.Interface
	// Requests to the task that owns the sessions.
	requests chan request
	done     chan struct{}
}

type request struct {
	address string
	// A session that the requester found broken; nil for none.
	broken *yamux.Session
	reply  chan result
}

type result struct {
	s *yamux.Session
	e error
}

// New returns a mesh that introduces itself with hello, whose version it sets.
// Its sessions end with c.
func New(c context.Context, hello *wire.Hello, d trail.Dialer, l log.Interface) *Mesh {
	hello.SetVersion(ProtocolVersion)
	m := &Mesh{hello: hello, d: d, l: l, requests: make(chan request), done: make(chan struct{})}
	go m.run(c)
	return m
}

// Open starts an exchange with the process at address. The error's verdict is
// NotRun when the peer can't have received the message.
func (m *Mesh) Open(c context.Context, address string, o *wire.Open) (*frame.Stream, error) {
	var b *yamux.Session
	// A session may have died since its last keepalive: one new one is tried
	// before the peer counts as unreachable.
	for range 2 {
		s, e := m.session(c, address, b)
		if e != nil {
			return nil, trail.WrapError(e, "peer-unreachable", trail.NotRun, "peer %s is unreachable", address)
		}
		n, e := s.OpenStream()
		if e != nil {
			b = s
			continue
		}
		f := frame.New(n)
		e = f.Send(o)
		if e != nil {
			_ = n.Close()
			return nil, trail.WrapError(e, "peer-lost", trail.MayHaveRun, "connection to peer %s was lost", address)
		}
		return f, nil
	}
	return nil, trail.NewError("peer-unreachable", trail.NotRun, "peer %s closes its sessions", address)
}

// Ping returns the round-trip time to the process at address, over a new
// connection when the old one is broken.
func (m *Mesh) Ping(c context.Context, address string) (time.Duration, error) {
	var b *yamux.Session
	var e error
	for range 2 {
		s, f := m.session(c, address, b)
		if f != nil {
			return 0, f
		}
		d, f := s.Ping()
		if f == nil {
			return d, nil
		}
		b, e = s, f
	}
	return 0, e
}

func (m *Mesh) session(c context.Context, address string, broken *yamux.Session) (*yamux.Session, error) {
	r := request{address: address, broken: broken, reply: make(chan result, 1)}
	select {
	case m.requests <- r:
	case <-c.Done():
		return nil, c.Err()
	case <-m.done:
		return nil, io.ErrClosedPipe
	}
	select {
	case a := <-r.reply:
		return a.s, a.e
	case <-c.Done():
		return nil, c.Err()
	}
}

// table is the state of the task that owns the sessions.
type table struct {
	live map[string]*yamux.Session
	// Requests for an address that is being dialled. One dial runs for each
	// address, and its result answers all of them.
	waiting map[string][]request
	dialled chan dialled
}

type dialled struct {
	address string
	result
}

func (m *Mesh) run(c context.Context) {
	defer close(m.done)
	t := &table{
		live:    map[string]*yamux.Session{},
		waiting: map[string][]request{},
		dialled: make(chan dialled),
	}
	for {
		select {
		case <-c.Done():
			for _, s := range t.live {
				_ = s.Close()
			}
			return
		case r := <-m.requests:
			m.serve(c, t, r)
		case d := <-t.dialled:
			if d.e == nil {
				t.live[d.address] = d.s
			}
			for _, r := range t.waiting[d.address] {
				r.reply <- d.result
			}
			delete(t.waiting, d.address)
		}
	}
}

// serve answers from a live session or starts a dial.
func (m *Mesh) serve(c context.Context, t *table, r request) {
	s := t.live[r.address]
	if s != nil && s != r.broken && !s.IsClosed() {
		r.reply <- result{s: s}
		return
	}
	if s != nil {
		_ = s.Close()
		delete(t.live, r.address)
	}
	t.waiting[r.address] = append(t.waiting[r.address], r)
	if len(t.waiting[r.address]) > 1 {
		return
	}
	go func() {
		s, e := m.dial(c, r.address)
		select {
		case t.dialled <- dialled{r.address, result{s, e}}:
		case <-c.Done():
			if s != nil {
				_ = s.Close()
			}
		}
	}()
}

func (m *Mesh) dial(c context.Context, address string) (*yamux.Session, error) {
	c, f := context.WithTimeout(c, dialTimeout)
	defer f()
	n, e := m.d.DialContext(c, "tcp", address)
	if e != nil {
		return nil, e
	}
	_, e = m.greet(n)
	if e != nil {
		_ = n.Close()
		return nil, e
	}
	return yamux.Client(n, settings())
}

// greet exchanges Hellos. Both sides send first, on their own goroutine,
// because an in-memory connection has no buffer.
func (m *Mesh) greet(n net.Conn) (*wire.Hello, error) {
	e := n.SetDeadline(time.Now().Add(helloTimeout))
	if e != nil {
		return nil, e
	}
	// Unbuffered reads: bytes after the Hello belong to yamux.
	f := frame.NewUnbuffered(n)
	w := make(chan error, 1)
	go func() { w <- f.Send(m.hello) }()
	h := &wire.Hello{}
	e = f.Recv(h)
	if e != nil {
		return nil, e
	}
	e = <-w
	if e != nil {
		return nil, e
	}
	if h.GetVersion()+1 < ProtocolVersion || h.GetVersion() > ProtocolVersion+1 {
		return nil, trail.NewError("protocol-version", trail.NotRun,
			"member %s speaks protocol version %d, this process %d", h.GetMemberId(), h.GetVersion(), ProtocolVersion)
	}
	return h, n.SetDeadline(time.Time{})
}

// Serve accepts sessions until c ends or l fails, and runs h for each stream.
func (m *Mesh) Serve(c context.Context, l net.Listener, h func(c context.Context, s *frame.Stream, o *wire.Open, from *wire.Hello)) error {
	f := context.AfterFunc(c, func() { _ = l.Close() })
	defer f()
	for {
		n, e := l.Accept()
		if e != nil {
			if c.Err() != nil {
				return nil
			}
			return e
		}
		go m.accept(c, n, h)
	}
}

func (m *Mesh) accept(c context.Context, n net.Conn, h handler) {
	o, e := m.greet(n)
	if e != nil {
		m.l.WithError(e).Warn("mesh: session refused")
		_ = n.Close()
		return
	}
	s, e := yamux.Server(n, settings())
	if e != nil {
		_ = n.Close()
		return
	}
	f := context.AfterFunc(c, func() { _ = s.Close() })
	defer f()
	defer s.Close()
	for {
		t, e := s.AcceptStream()
		if e != nil {
			return
		}
		go m.stream(c, t, h, o)
	}
}

func (m *Mesh) stream(c context.Context, n net.Conn, h handler, from *wire.Hello) {
	defer n.Close()
	f := frame.New(n)
	o := &wire.Open{}
	_ = f.SetReadDeadline(time.Now().Add(helloTimeout))
	e := f.Recv(o)
	if e != nil {
		return
	}
	_ = f.SetReadDeadline(time.Time{})
	h(c, f, o, from)
}

func settings() *yamux.Config {
	y := yamux.DefaultConfig()
	y.KeepAliveInterval = keepalivePeriod
	y.ConnectionWriteTimeout = writeTimeout
	y.MaxStreamWindowSize = windowBytes
	y.LogOutput = io.Discard
	return y
}
