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
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	maxHeaderBytes       = 64 << 10
	// A caller that neither sends nor takes a byte for so long is cut off.
	progressTimeout = 30 * time.Second

	defaultMaxBodyBytes   = 16 << 20
	defaultMaxConnections = 10_000
	defaultDrainTimeout   = 120 * time.Second
)

// Server is an HTTP server for one handler.
type Server struct {
	handler http.Handler
	logger  log.Interface
	// Label of the metrics, because a process has more than one server.
	name string
	// Bytes of one request body.
	maxBodyBytes int64
	// Connections open at the same time; further ones wait to be accepted.
	maxConnections int
	// Time that requests in progress have after the context of Serve ends.
	drainTimeout time.Duration
	// Time after the context of Serve ends in which requests are still taken.
	drainDelay time.Duration
	// Time of a caller for a head, and between two requests.
	timeouts func() (header, idle time.Duration)
	// What must hold besides a running Serve.
	readinessCheck func() bool
	// Whether Serve runs and was not told to stop.
	serving  atomic.Bool
	inFlight prometheus.Gauge
}

type option = func(*Server)

// WithName sets the label server of the metrics. Servers with the same
// registerer need different names. The default is "api".
func WithName(name string) func(*Server) {
	return func(s *Server) { s.name = name }
}

// WithMaxBodyBytes bounds one request body in bytes. The default is 16 MiB.
func WithMaxBodyBytes(limit int64) func(*Server) {
	return func(s *Server) { s.maxBodyBytes = limit }
}

// WithMaxConnections bounds the connections that are open at the same time. The
// default is 10,000.
func WithMaxConnections(limit int) func(*Server) {
	return func(s *Server) { s.maxConnections = limit }
}

// WithDrainTimeout bounds the time that requests in progress have to finish
// after the context of Serve ends. The default is 120 s.
func WithDrainTimeout(timeout time.Duration) func(*Server) {
	return func(s *Server) { s.drainTimeout = timeout }
}

// WithDrainDelay sets the time after the context of Serve ends in which the
// server is not ready but still takes requests, and closes each connection
// after its answer. A balancer that follows readiness sends nothing more when
// the listener and the idle connections are closed; a request that meets the
// close of its connection would be lost. The default is 0.
func WithDrainDelay(delay time.Duration) func(*Server) {
	return func(s *Server) { s.drainDelay = delay }
}

// WithReadinessCheck makes readiness depend on condition too, which must not block.
func WithReadinessCheck(check func() bool) func(*Server) {
	return func(s *Server) { s.readinessCheck = check }
}

// WithTimeouts bounds the time of a caller for the head of a request, and between
// two requests on a connection, by what times returns at that moment. It must
// not block; zero stands for the defaults of 5 s and 60 s.
func WithTimeouts(timeouts func() (header, idle time.Duration)) func(*Server) {
	return func(s *Server) {
		s.timeouts = func() (time.Duration, time.Duration) {
			h, i := timeouts()
			return cmp.Or(h, defaultHeaderTimeout), cmp.Or(i, defaultIdleTimeout)
		}
	}
}

// New returns a server for h. It opens nothing before Serve.
func New(handler http.Handler, logger log.Interface, registry prometheus.Registerer, options ...option) *Server {
	s := &Server{
		logger:         logger,
		name:           "api",
		maxBodyBytes:   defaultMaxBodyBytes,
		maxConnections: defaultMaxConnections,
		drainTimeout:   defaultDrainTimeout,
		timeouts:       func() (time.Duration, time.Duration) { return defaultHeaderTimeout, defaultIdleTimeout },
		readinessCheck: func() bool { return true },
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

// Serve accepts connections on n until c ends, or n fails. Then the server is
// not ready, accepts nothing more after the drain delay, and gives requests in
// progress the drain bound to finish. It returns an error when n failed or the bound passed.
func (s *Server) Serve(ctx context.Context, accepted net.Listener) error {
	// Contexts of requests don't derive from c, so that requests in progress
	// survive its end.
	h := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeoutPlaceholder,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeoutPlaceholder,
	}
	d := make(chan error, 1)
	f := context.AfterFunc(ctx, func() { d <- s.shutdown(ctx, h) })
	s.serving.Store(true)
	e := h.Serve(deadlineListener{netutil.LimitListener(accepted, s.maxConnections), s.timeouts})
	s.serving.Store(false)
	if f() {
		_ = h.Close()
		return errors.Wrap(e, "serve HTTP")
	}
	return <-d
}

func (s *Server) shutdown(ctx context.Context, server *http.Server) error {
	s.serving.Store(false)
	s.logger.WithField("delay", s.drainDelay.String()).Info("httpd: shutdown started")
	// Server.SetKeepAlivesEnabled would close the idle connections at once, so
	// the guard asks for the close of each connection instead.
	time.Sleep(s.drainDelay)
	c, f := context.WithTimeout(context.WithoutCancel(ctx), s.drainTimeout)
	defer f()
	e := server.Shutdown(c)
	if e != nil {
		_ = server.Close()
		s.logger.WithError(e).Error("httpd: requests were cut off")
		return errors.Wrap(e, "finish requests in progress")
	}
	s.logger.Info("httpd: shutdown finished")
	return nil
}

// Ready says whether the server takes requests.
func (s *Server) Ready() bool { return s.serving.Load() && s.readinessCheck() }
