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
)

const (
	dialTimeout = time.Second
	// Idle connections kept for one address.
	maxIdlePerAddress = 12
	// Idle time when the answer states none.
	defaultKeepAlive = 4 * time.Second
	// An idle connection is not used in the last part of its time, because the
	// other side may close it while a request is on its way.
	keepAliveMargin = 700 * time.Millisecond
)

// Pool keeps connections by address.
type Pool struct {
	dialer     trail.Dialer
	dialsTotal prometheus.Counter

	mu sync.Mutex
	// Newest last.
	idleConns map[string][]*connection
}

// New returns an empty pool that connects through d.
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

// Do writes the request and returns the first answer that belongs to it. The
// target is path and query as they stand in the request line. An error has a
// verdict and one of the codes backend-unreachable, backend-lost and
// answer-unbounded; the last also ends a body that is too long. Belongs is told
// whether the connection had no request before: an answer that does not say to
// which request it belongs can be a late copy otherwise. Ending c closes the connection, also while the body is
// read; the caller closes the body.
func (s *Pool) Do(ctx context.Context, address, target string, request *http.Request, body []byte, matches func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	n, e := s.acquire(ctx, address)
	if e != nil {
		return nil, trail.WrapError(e, "backend-unreachable", trail.NotRun, "no connection to backend server").At(address)
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
		return nil, trail.WrapError(e, "backend-lost", trail.MayHaveRun, "no answer from backend server").At(address)
	}
	return a, nil
}

// acquire returns a kept connection that is still open, or a new one.
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

// CloseIdle closes the idle connections to an address whose backend server is
// gone.
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
