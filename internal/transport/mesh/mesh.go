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
	// ProtocolVersion is incremented when the meaning of a message changes.
	// Adjacent versions are compatible, which allows rolling upgrades of hosts.
	ProtocolVersion   = 1
	dialTimeout       = time.Second
	helloTimeout      = 2 * time.Second
	keepaliveInterval = 5 * time.Second
	// A session is closed when the peer accepts no bytes for this long, or does
	// not answer a keepalive in this time.
	writeTimeout = 5 * time.Second
	// Flow-control window: unread bytes that a stream may buffer at the
	// receiver.
	streamWindowBytes = 256 << 10
)

// handler serves one stream opened by a peer. The stream is closed when the
// handler returns.
type handler = func(ctx context.Context, stream *frame.Stream, open *wire.Open, peer *wire.Hello)

// Mesh holds the sessions of one process with its peers.
type Mesh struct {
	hello  *wire.Hello
	dialer trail.Dialer
	logger log.Interface
	// Requests to manageSessions, the goroutine that owns the dialled sessions.
	requests chan sessionRequest
	done     chan struct{}
}

type sessionRequest struct {
	address string
	// A session that the requester found to be broken and that must not be
	// returned again, or nil.
	broken *yamux.Session
	reply  chan sessionResult
}

type sessionResult struct {
	session *yamux.Session
	err     error
}

// New returns a mesh that sends hello at the start of each session, with its
// version set to ProtocolVersion. The sessions are closed when ctx ends.
func New(ctx context.Context, hello *wire.Hello, dialer trail.Dialer, logger log.Interface) *Mesh {
	hello.SetVersion(ProtocolVersion)
	m := &Mesh{hello: hello, dialer: dialer, logger: logger, requests: make(chan sessionRequest), done: make(chan struct{})}
	go m.manageSessions(ctx)
	return m
}

// Open opens a stream to the process at address and sends open as its first
// message. The verdict of an error is NotRun when the peer cannot have received
// the message, and MayHaveRun otherwise. It fails when ctx ends before the message
// is sent.
func (m *Mesh) Open(ctx context.Context, address string, open *wire.Open) (*frame.Stream, error) {
	var b *yamux.Session
	// A session may have failed since its last keepalive. It is replaced once
	// before the peer is reported as unreachable.
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
		e = sendWithin(ctx, f, open)
		if e != nil {
			_ = n.Close()
			return nil, trail.WrapError(e, "peer-lost", trail.MayHaveRun, "connection to peer %s was lost", address)
		}
		return f, nil
	}
	return nil, trail.NewError("peer-unreachable", trail.NotRun, "peer %s closes its sessions", address)
}

// sendWithin sends a message, which may have to wait for room in the window of the
// stream, and gives up when ctx ends. The stream must be closed after an error.
func sendWithin(ctx context.Context, stream *frame.Stream, message *wire.Open) error {
	f := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	e := stream.Send(message)
	if !f() {
		return context.Cause(ctx)
	}
	return e
}

// Ping measures the round-trip time to the process at address. It tries a new
// session once if the first one turns out to be broken.
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

// sessionTable is the state of manageSessions. Its maps are keyed by address.
type sessionTable struct {
	sessions map[string]*yamux.Session
	// Requests waiting for a dial. At most one dial per address is in progress,
	// and its result answers all requests for that address.
	pending     map[string][]sessionRequest
	dialResults chan dialResult
}

type dialResult struct {
	address string
	sessionResult
}

// manageSessions answers requests for sessions until ctx ends, and then closes
// all sessions that it holds.
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

// handleRequest answers with an open session, or queues the request behind a
// dial, which it starts if none is in progress.
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

// handshake exchanges Hello messages and returns the peer's. Both sides send at
// once, so the send runs on its own goroutine: over an unbuffered in-memory
// connection two blocking sends would deadlock.
func (m *Mesh) handshake(conn net.Conn) (*wire.Hello, error) {
	e := conn.SetDeadline(time.Now().Add(helloTimeout))
	if e != nil {
		return nil, e
	}
	// Read unbuffered: the bytes after the Hello belong to yamux.
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

// Serve accepts sessions until ctx ends or listener fails, and calls handle on
// a new goroutine for each stream.
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
		m.logger.WithError(e).Warn("mesh: handshake on an accepted connection failed")
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
