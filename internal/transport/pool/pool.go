package pool

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/valid"
)

const (
	dialTimeout = time.Second
	// Limit on the time to learn which process is at the other end of a connection.
	probeTimeout = 250 * time.Millisecond
	// A server may close the connection after the response to the first probe.
	probeTries        = 2
	maxIdlePerAddress = 12
	// A connection that has carried as many requests is closed, since it remembers their
	// ids.
	maxCarriedIDs = 1000
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
	// Responses to other requests.
	passedOverTotal prometheus.Counter

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
		passedOverTotal: promauto.With(registry).NewCounter(prometheus.CounterOpts{
			Name: "bulrushtrail_backend_responses_passed_over_total",
			Help: "Responses of backend servers that came in place of that to the request under way.",
		}),
	}
}

// Do writes the request with a header to the destination and returns the first response
// for which matches returns true. The caller must close the body of the response.
//
// An error has a verdict and one of the codes request-invalid, backend-unreachable,
// backend-restarted, backend-unidentified, backend-lost, answer-unbounded and
// answer-invalid. Reading a body over the size limit also fails with answer-unbounded.
// Reading a body without a length fails if its connection was reset, or ended before the
// whole request was sent. The argument fresh of matches is true if the
// connection has carried no request and no probe before; otherwise a response
// that does not identify its request may be a late duplicate of an earlier one. When
// ctx ends, the connection is aborted, also while the body is read.
func (s *Pool) Do(ctx context.Context, destination trail.Destination, request *trail.Request, header http.Header, matches func(a *http.Response, fresh bool) bool) (*trail.Response, error) {
	e := valid.Request(request.Method(), request.Target(), request.Host(), header)
	if e != nil {
		return nil, e
	}
	n, e := s.acquire(ctx, destination, request.ID())
	if e != nil {
		return nil, e
	}
	x := &exchange{pool: s, conn: n, detachContext: context.AfterFunc(ctx, n.abort)}
	n.recordID(request.ID())
	q := &http.Request{Method: request.Method(), Host: request.Host(), Header: header}
	e = x.writeRequest(request.Target(), q, request.Body())
	if e != nil {
		x.finish(false)
		return nil, e
	}
	a, e := x.readResponse(q, matches)
	if e != nil {
		x.finish(false)
		if errors.Is(e, errUnbounded) || n.limited.remaining <= 0 {
			return nil, unboundedError(e, destination.Address())
		}
		if errors.Is(e, errStatus) {
			return nil, trail.WrapError(e, "answer-invalid", trail.MayHaveRun, "answer of backend server is not HTTP").WithPlace(destination.Address())
		}
		return nil, trail.WrapError(e, "backend-lost", trail.MayHaveRun, "no answer from backend server").WithPlace(destination.Address())
	}
	b := n.born
	if destination.Probe() == nil {
		b = 0
	}
	return trail.NewResponse(a, b).WithExchange(trail.NewExchange(len(n.carriedIDs), x.passedOver)), nil
}

// acquire returns an idle connection to a destination that is still usable and has not
// carried a request with the id, or a new one. It closes idle connections that are not
// usable.
func (s *Pool) acquire(ctx context.Context, destination trail.Destination, id string) (*connection, error) {
	for {
		n := s.popIdle(destination, id)
		if n == nil {
			break
		}
		if n.usable() {
			return n, nil
		}
		n.close()
	}
	n, e := s.connect(ctx, destination)
	if e != nil || destination.Accepts(n.born) {
		return n, e
	}
	if n.born == trail.UnknownProcess {
		n.close()
		return nil, unidentifiedError(destination)
	}
	// The process is sound, and later requests may be for it.
	n.expires = time.Now().Add(defaultKeepAlive)
	s.putIdle(n)
	return nil, trail.NewError("backend-restarted", trail.NotRun, "another process of the backend server has the address").WithPlace(destination.Address())
}

func unidentifiedError(destination trail.Destination) error {
	return trail.NewError("backend-unidentified", trail.NotRun, "backend server does not tell which process it is").WithPlace(destination.Address())
}

// connect opens a connection to a destination, and asks which process is at its other
// end if there is a probe. A request for any process is not held up by a server that
// does not tell.
func (s *Pool) connect(ctx context.Context, destination trail.Destination) (*connection, error) {
	if destination.Probe() == nil {
		return s.dial(ctx, destination.Address())
	}
	for range probeTries {
		n, e := s.dial(ctx, destination.Address())
		if e != nil {
			return nil, e
		}
		k, a := s.identify(ctx, n, destination.Probe())
		if k {
			return n, nil
		}
		n.close()
		if !a {
			break
		}
	}
	if !destination.IsAny() {
		return nil, unidentifiedError(destination)
	}
	n, e := s.dial(ctx, destination.Address())
	if e == nil {
		n.born = trail.UnknownProcess
	}
	return n, e
}

func (s *Pool) dial(ctx context.Context, address string) (*connection, error) {
	c, f := context.WithTimeout(ctx, dialTimeout)
	defer f()
	s.dialsTotal.Inc()
	n, e := s.dialer.DialContext(c, "tcp", address)
	if e != nil {
		return nil, trail.WrapError(e, "backend-unreachable", trail.NotRun, "no connection to backend server").WithPlace(address)
	}
	return newConnection(n, address), nil
}

// popIdle removes and returns the most recently used idle connection to a destination
// that has not carried a request with the id, nil if there is none.
func (s *Pool) popIdle(destination trail.Destination, id string) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.idleConns[destination.Address()]
	for i := len(l) - 1; i >= 0; i-- {
		if destination.Accepts(l[i].born) && (l[i].born != 0 || destination.Probe() == nil) && !l[i].hasCarried(id) {
			n := l[i]
			s.idleConns[destination.Address()] = slices.Delete(l, i, i+1)
			return n
		}
	}
	return nil
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
