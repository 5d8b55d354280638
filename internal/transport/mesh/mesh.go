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
	ProtocolVersion   = 1
	dialTimeout       = time.Second
	helloTimeout      = 2 * time.Second
	keepaliveInterval = 5 * time.Second
	// A peer that takes no bytes for so long has gone silent.
	writeTimeout = 5 * time.Second
	// Bytes that one stream may queue at the receiver.
	streamWindowBytes = 256 << 10
)

// handler serves one stream that a peer opened. The stream is closed after it
// returns.
type handler = func(ctx context.Context, stream *frame.Stream, open *wire.Open, peer *wire.Hello)

// Mesh holds the sessions of one process.
type Mesh struct {
	hello  *wire.Hello
	dialer trail.Dialer
	logger log.Interface
	// Requests to the task that owns the sessions.
	requests chan sessionRequest
	done     chan struct{}
}

type sessionRequest struct {
	address string
	// A session that the requester found broken; nil for none.
	broken *yamux.Session
	reply  chan sessionResult
}

type sessionResult struct {
	session *yamux.Session
	err     error
}

// New returns a mesh that introduces itself with hello, whose version it sets.
// Its sessions end with c.
func New(ctx context.Context, hello *wire.Hello, dialer trail.Dialer, logger log.Interface) *Mesh {
	hello.SetVersion(ProtocolVersion)
	m := &Mesh{hello: hello, dialer: dialer, logger: logger, requests: make(chan sessionRequest), done: make(chan struct{})}
	go m.manageSessions(ctx)
	return m
}

// Open starts an exchange with the process at address. The error's verdict is
// NotRun when the peer can't have received the message.
func (m *Mesh) Open(ctx context.Context, address string, open *wire.Open) (*frame.Stream, error) {
	var b *yamux.Session
	// A session may have died since its last keepalive: one new one is tried
	// before the peer counts as unreachable.
	for range 2 {
		s, e := m.session(ctx, address, b)
		if e != nil {
			return nil, trail.WrapError(e, "peer-unreachable", trail.NotRun, "peer %s is unreachable", address)
		}
		n, e := s.OpenStream()
		if e != nil {
			b = s
			continue
		}
		f := frame.New(n)
		e = f.Send(open)
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
func (m *Mesh) Ping(ctx context.Context, address string) (time.Duration, error) {
	var b *yamux.Session
	var e error
	for range 2 {
		s, f := m.session(ctx, address, b)
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

func (m *Mesh) session(ctx context.Context, address string, broken *yamux.Session) (*yamux.Session, error) {
	r := sessionRequest{address: address, broken: broken, reply: make(chan sessionResult, 1)}
	select {
	case m.requests <- r:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.done:
		return nil, io.ErrClosedPipe
	}
	select {
	case a := <-r.reply:
		return a.session, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sessionTable is the state of the task that owns the sessions.
type sessionTable struct {
	sessions map[string]*yamux.Session
	// Requests for an address that is being dialled. One dial runs for each
	// address, and its result answers all of them.
	pending     map[string][]sessionRequest
	dialResults chan dialResult
}

type dialResult struct {
	address string
	sessionResult
}

func (m *Mesh) manageSessions(ctx context.Context) {
	defer close(m.done)
	t := &sessionTable{
		sessions:    map[string]*yamux.Session{},
		pending:     map[string][]sessionRequest{},
		dialResults: make(chan dialResult),
	}
	for {
		select {
		case <-ctx.Done():
			for _, s := range t.sessions {
				_ = s.Close()
			}
			return
		case r := <-m.requests:
			m.handleRequest(ctx, t, r)
		case d := <-t.dialResults:
			if d.err == nil {
				t.sessions[d.address] = d.session
			}
			for _, r := range t.pending[d.address] {
				r.reply <- d.sessionResult
			}
			delete(t.pending, d.address)
		}
	}
}

// handleRequest answers from a live session or starts a dial.
func (m *Mesh) handleRequest(ctx context.Context, table *sessionTable, request sessionRequest) {
	s := table.sessions[request.address]
	if s != nil && s != request.broken && !s.IsClosed() {
		request.reply <- sessionResult{session: s}
		return
	}
	if s != nil {
		_ = s.Close()
		delete(table.sessions, request.address)
	}
	table.pending[request.address] = append(table.pending[request.address], request)
	if len(table.pending[request.address]) > 1 {
		return
	}
	go func() {
		s, e := m.dial(ctx, request.address)
		select {
		case table.dialResults <- dialResult{request.address, sessionResult{s, e}}:
		case <-ctx.Done():
			if s != nil {
				_ = s.Close()
			}
		}
	}()
}

func (m *Mesh) dial(ctx context.Context, address string) (*yamux.Session, error) {
	c, f := context.WithTimeout(ctx, dialTimeout)
	defer f()
	n, e := m.dialer.DialContext(c, "tcp", address)
	if e != nil {
		return nil, e
	}
	_, e = m.handshake(n)
	if e != nil {
		_ = n.Close()
		return nil, e
	}
	return yamux.Client(n, yamuxConfig())
}

// handshake exchanges Hellos. Both sides send first, on their own goroutine,
// because an in-memory connection has no buffer.
func (m *Mesh) handshake(conn net.Conn) (*wire.Hello, error) {
	e := conn.SetDeadline(time.Now().Add(helloTimeout))
	if e != nil {
		return nil, e
	}
	// Unbuffered reads: bytes after the Hello belong to yamux.
	f := frame.NewUnbuffered(conn)
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
	return h, conn.SetDeadline(time.Time{})
}

// Serve accepts sessions until c ends or l fails, and runs h for each stream.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener, handle func(ctx context.Context, stream *frame.Stream, open *wire.Open, peer *wire.Hello)) error {
	f := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer f()
	for {
		n, e := listener.Accept()
		if e != nil {
			if ctx.Err() != nil {
				return nil
			}
			return e
		}
		go m.serveSession(ctx, n, handle)
	}
}

func (m *Mesh) serveSession(ctx context.Context, conn net.Conn, handle handler) {
	o, e := m.handshake(conn)
	if e != nil {
		m.logger.WithError(e).Warn("mesh: session refused")
		_ = conn.Close()
		return
	}
	s, e := yamux.Server(conn, yamuxConfig())
	if e != nil {
		_ = conn.Close()
		return
	}
	f := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer f()
	defer s.Close()
	for {
		t, e := s.AcceptStream()
		if e != nil {
			return
		}
		go m.serveStream(ctx, t, handle, o)
	}
}

func (m *Mesh) serveStream(ctx context.Context, conn net.Conn, handle handler, peer *wire.Hello) {
	defer conn.Close()
	f := frame.New(conn)
	o := &wire.Open{}
	_ = f.SetReadDeadline(time.Now().Add(helloTimeout))
	e := f.Recv(o)
	if e != nil {
		return
	}
	_ = f.SetReadDeadline(time.Time{})
	handle(ctx, f, o, peer)
}

func yamuxConfig() *yamux.Config {
	y := yamux.DefaultConfig()
	y.KeepAliveInterval = keepaliveInterval
	y.ConnectionWriteTimeout = writeTimeout
	y.MaxStreamWindowSize = streamWindowBytes
	y.LogOutput = io.Discard
	return y
}
