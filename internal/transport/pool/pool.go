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
	maxIdle = 12
	// Idle time when the answer states none.
	defaultIdle = 4 * time.Second
	// An idle connection is not used in the last part of its time, because the
	// other side may close it while a request is on its way.
	idleMargin = 700 * time.Millisecond
)

// Pool keeps connections by address.
type Pool struct {
	d     trail.Dialer
	dials prometheus.Counter

	m sync.Mutex
	// Newest last.
	idle map[string][]*connection
}

// New returns an empty pool that connects through d.
func New(d trail.Dialer, r prometheus.Registerer) *Pool {
	return &Pool{
		d:    d,
		idle: map[string][]*connection{},
		dials: promauto.With(r).NewCounter(prometheus.CounterOpts{
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
func (s *Pool) Do(c context.Context, address, target string, q *http.Request, body []byte, belongs func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	n, e := s.take(c, address)
	if e != nil {
		return nil, trail.WrapError(e, "backend-unreachable", trail.NotRun, "no connection to backend server").At(address)
	}
	x := &exchange{s: s, n: n, stop: context.AfterFunc(c, n.abort)}
	e = x.send(target, q, body)
	if e != nil {
		x.end(false)
		return nil, e
	}
	a, e := x.answer(q, belongs)
	if e != nil {
		x.end(false)
		if errors.Is(e, errUnbounded) || n.in.left <= 0 {
			return nil, unbounded(e, address)
		}
		return nil, trail.WrapError(e, "backend-lost", trail.MayHaveRun, "no answer from backend server").At(address)
	}
	return a, nil
}

// take returns a kept connection that is still open, or a new one.
func (s *Pool) take(c context.Context, address string) (*connection, error) {
	for {
		n := s.pop(address)
		if n == nil {
			break
		}
		if n.usable() {
			return n, nil
		}
		n.close()
	}
	c, f := context.WithTimeout(c, dialTimeout)
	defer f()
	s.dials.Inc()
	n, e := s.d.DialContext(c, "tcp", address)
	if e != nil {
		return nil, e
	}
	return newConnection(n, address), nil
}

func (s *Pool) pop(address string) *connection {
	s.m.Lock()
	defer s.m.Unlock()
	l := s.idle[address]
	if len(l) == 0 {
		return nil
	}
	n := l[len(l)-1]
	s.idle[address] = l[:len(l)-1]
	return n
}

func (s *Pool) keep(n *connection) {
	s.m.Lock()
	l := append(s.idle[n.address], n)
	var o *connection
	if len(l) > maxIdle {
		o, l = l[0], l[1:]
	}
	s.idle[n.address] = l
	s.m.Unlock()
	if o != nil {
		o.close()
	}
}

// Forget closes the idle connections to an address whose backend server is
// gone.
func (s *Pool) Forget(address string) {
	s.m.Lock()
	l := s.idle[address]
	delete(s.idle, address)
	s.m.Unlock()
	for _, n := range l {
		n.close()
	}
}

var _ trail.Dialer = (*net.Dialer)(nil)
