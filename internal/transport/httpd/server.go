package httpd

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	trail "bulrushtrail.example/trail"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	maxHeaderBytes       = 64 << 10
	// Limit on a single read of a request body or write of a response. A client
	// that stalls for longer is disconnected.
	progressTimeout = 30 * time.Second

	defaultMaxBodyBytes   = 16 << 20
	defaultMaxConnections = 10_000
	defaultDrainTimeout   = 120 * time.Second
)

// Server is an HTTP server for one handler.
type Server struct {
	handler http.Handler
	logger  log.Interface
	// Value of the metrics label server, which distinguishes the servers of one
	// process.
	name         string
	maxBodyBytes int64
	// Limit on open connections. Further ones wait to be accepted.
	maxConnections int
	// Time to finish for requests that are in progress at the end of
	// drainDelay.
	drainTimeout time.Duration
	// Time after the end of Serve's context during which requests are still
	// accepted.
	drainDelay time.Duration
	// Last part of drainTimeout, in which handlers answer the requests that they
	// can't finish.
	answerReserve time.Duration
	// End of the time for requests in progress, nil before the end of drainDelay.
	drainEnd atomic.Pointer[time.Time]
	// Returns the time limits for reading a request header and for an idle
	// connection.
	timeouts func() (header, idle time.Duration)
	// Must return true, besides a running Serve, for the server to be ready.
	readinessCheck func() bool
	// Bounds what is held for clients, nil for none.
	clients trail.ClientBudget
	// Limits the log lines about clients that gave way or were refused.
	clientLines rate.Sometimes
	// Whether Serve is running and its context has not ended.
	serving  atomic.Bool
	inFlight prometheus.Gauge
}

type option = func(*Server)

// WithName sets the value of the metrics label server. Servers that share a
// registerer need different names. The default is "api".
func WithName(name string) func(*Server) {
	return func(s *Server) { s.name = name }
}

// WithMaxBodyBytes limits the size of a request body. The default is 16 MiB.
func WithMaxBodyBytes(limit int64) func(*Server) {
	return func(s *Server) { s.maxBodyBytes = limit }
}

// WithMaxConnections limits the number of connections that are open at the same
// time. The default is 10,000.
func WithMaxConnections(limit int) func(*Server) {
	return func(s *Server) { s.maxConnections = limit }
}

// WithDrainTimeout limits the time that requests in progress have to finish
// once the context of Serve has ended and the drain delay has passed. The
// default is 120 s.
func WithDrainTimeout(timeout time.Duration) func(*Server) {
	return func(s *Server) { s.drainTimeout = timeout }
}

// WithDrainDelay sets the time after the end of Serve's context during which
// the server is not ready but still accepts requests, and closes each
// connection after its response. It gives a load balancer that watches
// readiness time to stop sending before the listener and the idle connections
// are closed. A request sent on a connection that is just being closed would be
// lost. The default is 0.
func WithDrainDelay(delay time.Duration) func(*Server) {
	return func(s *Server) { s.drainDelay = delay }
}

// WithAnswerReserve cancels the contexts of the requests that are still in progress
// when only reserve is left of the drain timeout, so that their handlers can answer
// them. The handlers must write a response then. The default is 0: the connections
// are closed without a response.
func WithAnswerReserve(reserve time.Duration) func(*Server) {
	return func(s *Server) { s.answerReserve = reserve }
}

// WithReadinessCheck makes the server ready only while check returns true. The
// check must not block.
func WithReadinessCheck(check func() bool) func(*Server) {
	return func(s *Server) { s.readinessCheck = check }
}

// WithTimeouts sets a function that returns the current time limits for reading
// a request header and for a connection that is idle between two requests. They
// are looked up each time such a wait starts, so that a configuration change
// applies to open connections. The function must not block. Zero selects the
// defaults of 5 s and 60 s.
func WithTimeouts(timeouts func() (header, idle time.Duration)) func(*Server) {
	return func(s *Server) {
		s.timeouts = func() (time.Duration, time.Duration) {
			h, i := timeouts()
			return cmp.Or(h, defaultHeaderTimeout), cmp.Or(i, defaultIdleTimeout)
		}
	}
}

// New returns a server for handler. It accepts no connections before Serve.
func New(handler http.Handler, logger log.Interface, registry prometheus.Registerer, options ...option) *Server {
	s := &Server{
		logger:         logger,
		name:           "api",
		maxBodyBytes:   defaultMaxBodyBytes,
		maxConnections: defaultMaxConnections,
		drainTimeout:   defaultDrainTimeout,
		timeouts:       func() (time.Duration, time.Duration) { return defaultHeaderTimeout, defaultIdleTimeout },
		readinessCheck: func() bool { return true },
		clientLines:    rate.Sometimes{Interval: time.Second},
	}
	for _, o := range options {
		o(s)
	}
	s.inFlight = prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "bulrushtrail_http_requests_in_flight",
		Help:        "HTTP requests in progress.",
		ConstLabels: prometheus.Labels{"server": s.name},
	})
	registry.MustRegister(s.inFlight)
	s.handler = s.withLimits(handler)
	return s
}

// Serve accepts connections on listener until ctx ends or listener fails. When
// ctx ends, the server becomes not ready, stops accepting after the drain
// delay, and then waits up to the drain timeout for requests in progress. Serve
// returns an error if listener fails or the drain timeout expires.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	// Request contexts do not derive from ctx, so that requests in progress are
	// not cancelled when it ends.
	n := newConnTracker()
	// The parent of all request contexts.
	r, o := context.WithCancel(context.WithoutCancel(ctx))
	defer o()
	h := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return r },
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeoutPlaceholder,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeoutPlaceholder,
		ConnState:         n.update,
		ConnContext:       contextWithClaim,
	}
	l := deadlineListener{s.limit(listener), s.timeouts}
	a := make(chan struct{})
	x := func() {
		_ = l.Close()
		<-a
	}
	d := make(chan error, 1)
	f := context.AfterFunc(ctx, func() { d <- s.shutdown(ctx, h, n, x, o) })
	s.serving.Store(true)
	e := h.Serve(l)
	close(a)
	s.serving.Store(false)
	if f() {
		_ = h.Close()
		return errors.Wrap(e, "serve HTTP")
	}
	return <-d
}

// limit returns a listener that bounds the connections.
func (s *Server) limit(listener net.Listener) net.Listener {
	if s.clients == nil {
		return netutil.LimitListener(listener, s.maxConnections)
	}
	return LimitClients(listener, s.clients, func(remote string) { s.logClient(remote, "client-stalled") })
}

// logClient logs that a client gave way or was refused. Crowds of them share a line a
// second; the metrics count all.
func (s *Server) logClient(remote, reason string) {
	s.clientLines.Do(func() {
		s.logger.WithFields(log.Fields{"remote": remote, "reason": reason}).Warn("httpd: client refused or disconnected for want of room, or one of many")
	})
}

// DrainEnd returns when the requests in progress are cancelled. It returns false
// until the drain delay has passed, from when on a request that may take longer
// should be refused.
func (s *Server) DrainEnd() (time.Time, bool) {
	e := s.drainEnd.Load()
	if e == nil {
		return time.Time{}, false
	}
	return *e, true
}

// shutdown shuts server down after the drain delay. stopAccepting closes the
// listener and returns when no connection is accepted any more; cancelRequests
// cancels the contexts of all requests.
func (s *Server) shutdown(ctx context.Context, server *http.Server, conns *connTracker, stopAccepting, cancelRequests func()) error {
	s.serving.Store(false)
	s.logger.WithField("delay", s.drainDelay.String()).Info("httpd: shutdown started")
	// http.Server.SetKeepAlivesEnabled(false) would close idle connections at
	// once. Instead, withLimits closes each connection after its next response.
	time.Sleep(s.drainDelay)
	d := s.drainTimeout - s.answerReserve
	e := time.Now().Add(d)
	s.drainEnd.Store(&e)
	stopAccepting()
	c, f := context.WithTimeout(context.WithoutCancel(ctx), d)
	defer f()
	// net/http closes connections without a response if it reads their request
	// after the call of Shutdown.
	conns.waitFirstRequests(c)
	x := server.Shutdown(c)
	if x != nil && s.answerReserve > 0 {
		s.logger.Warn("httpd: requests in progress are cancelled, the time for them is over")
		cancelRequests()
		c, f := context.WithTimeout(context.WithoutCancel(ctx), s.answerReserve)
		defer f()
		x = server.Shutdown(c)
	}
	if x != nil {
		_ = server.Close()
		s.logger.WithError(x).Error("httpd: graceful shutdown failed, remaining connections closed")
		return errors.Wrap(x, "finish requests in progress")
	}
	s.logger.Info("httpd: shutdown finished")
	return nil
}

// Ready reports whether the server is serving and its readiness check succeeds.
func (s *Server) Ready() bool { return s.serving.Load() && s.readinessCheck() }
