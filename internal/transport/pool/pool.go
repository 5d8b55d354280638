package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/valid"
)

const (
	dialTimeout       = time.Second
	maxIdlePerAddress = 12
	// Keep-alive time if the response states none.
	defaultKeepAlive = 4 * time.Second
	// An idle connection is not used in this last part of the keep-alive time
	// that the server states, because the server may close it while a request is
	// in transit.
	keepAliveMargin = 700 * time.Millisecond
)

// Pool holds the idle connections to backend servers.
type Pool struct {
	dialer     trail.Dialer
	dialsTotal prometheus.Counter

	mu sync.Mutex
	// By address, the most recently used last.
	idleConns map[string][]*connection
}

// New returns an empty pool that connects with dialer.
func New(dialer trail.Dialer, registry prometheus.Registerer) *Pool {
	return &Pool{
		dialer:    dialer,
		idleConns: map[string][]*connection{},
		dialsTotal: promauto.With(registry).NewCounter(prometheus.CounterOpts{
			Name: "bulrushtrail_backend_connections_total",
			Help: "Connections opened to backend servers.",
		}),
	}
}

// Do writes the request and returns the first response for which matches returns
// true. The target is path and query as they stand in the request line. The
// caller must close the body of the response.
//
// An error has a verdict and one of the codes request-invalid, backend-unreachable,
// backend-lost and answer-unbounded. Reading a body over the size limit also fails
// with answer-unbounded. The argument fresh of matches is true if the connection has
// carried no request before; otherwise a response that does not identify its
// request may be a late duplicate of an earlier one. When ctx ends, the
// connection is aborted, also while the body is read.
func (s *Pool) Do(ctx context.Context, address, target string, request *http.Request, body []byte, matches func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	e := valid.Request(request.Method, target, request.Host, request.Header)
	if e != nil {
		return nil, e
	}
	n, e := s.acquire(ctx, address)
	if e != nil {
		return nil, trail.WrapError(e, "backend-unreachable", trail.NotRun, "no connection to backend server").WithPlace(address)
	}
	x := &exchange{pool: s, conn: n, detachContext: context.AfterFunc(ctx, n.abort)}
	e = x.writeRequest(target, request, body)
	if e != nil {
		x.finish(false)
		return nil, e
	}
	a, e := x.readResponse(request, matches)
	if e != nil {
		x.finish(false)
		if errors.Is(e, errUnbounded) || n.limited.remaining <= 0 {
			return nil, unboundedError(e, address)
		}
		return nil, trail.WrapError(e, "backend-lost", trail.MayHaveRun, "no answer from backend server").WithPlace(address)
	}
	return a, nil
}

// acquire returns an idle connection that is still usable, or a new one. It
// closes idle connections that are not.
func (s *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	for {
		n := s.popIdle(address)
		if n == nil {
			break
		}
		if n.usable() {
			return n, nil
		}
		n.close()
	}
	c, f := context.WithTimeout(ctx, dialTimeout)
	defer f()
	s.dialsTotal.Inc()
	n, e := s.dialer.DialContext(c, "tcp", address)
	if e != nil {
		return nil, e
	}
	return newConnection(n, address), nil
}

// popIdle removes and returns the most recently used idle connection to an
// address, nil if there is none.
func (s *Pool) popIdle(address string) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.idleConns[address]
	if len(l) == 0 {
		return nil
	}
	n := l[len(l)-1]
	s.idleConns[address] = l[:len(l)-1]
	return n
}

// putIdle adds an idle connection, and closes the least recently used one if
// there are too many to its address.
func (s *Pool) putIdle(conn *connection) {
	s.mu.Lock()
	l := append(s.idleConns[conn.address], conn)
	var o *connection
	if len(l) > maxIdlePerAddress {
		o, l = l[0], l[1:]
	}
	s.idleConns[conn.address] = l
	s.mu.Unlock()
	if o != nil {
		o.close()
	}
}

// CloseIdle closes the idle connections to an address, for example when its
// backend server has been removed.
func (s *Pool) CloseIdle(address string) {
	s.mu.Lock()
	l := s.idleConns[address]
	delete(s.idleConns, address)
	s.mu.Unlock()
	for _, n := range l {
		n.close()
	}
}

var _ trail.Dialer = (*net.Dialer)(nil)
