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
	defaultHeader = 5 * time.Second
	defaultIdle   = 60 * time.Second
	headerBytes   = 64 << 10
	// A caller that neither sends nor takes a byte for so long is cut off.
	progressTimeout = 30 * time.Second

	defaultBodyBytes   = 16 << 20
	defaultConnections = 10_000
	defaultDrainBound  = 120 * time.Second
)

// Server is an HTTP server for one handler.
type Server struct {
	h http.Handler
	l log.Interface
	// Label of the metrics, because a process has more than one server.
	name string
	// Bytes of one request body.
	bodyBytes int64
	// Connections open at the same time; further ones wait to be accepted.
	connections int
	// Time that requests in progress have after the context of Serve ends.
	drainBound time.Duration
	// Time after the context of Serve ends in which requests are still taken.
	drainDelay time.Duration
	// Time of a caller for a head, and between two requests.
	times func() (header, idle time.Duration)
	// What must hold besides a running Serve.
	condition func() bool
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

// WithBodyBytes bounds one request body in bytes. The default is 16 MiB.
func WithBodyBytes(limit int64) func(*Server) {
	return func(s *Server) { s.bodyBytes = limit }
}

// WithConnections bounds the connections that are open at the same time. The
// default is 10,000.
func WithConnections(limit int) func(*Server) {
	return func(s *Server) { s.connections = limit }
}

// WithDrainBound bounds the time that requests in progress have to finish
// after the context of Serve ends. The default is 120 s.
func WithDrainBound(bound time.Duration) func(*Server) {
	return func(s *Server) { s.drainBound = bound }
}

// WithDrainDelay sets the time after the context of Serve ends in which the
// server is not ready but still takes requests, and closes each connection
// after its answer. A balancer that follows readiness sends nothing more when
// the listener and the idle connections are closed; a request that meets the
// close of its connection would be lost. The default is 0.
func WithDrainDelay(delay time.Duration) func(*Server) {
	return func(s *Server) { s.drainDelay = delay }
}

// WithCondition makes readiness depend on condition too, which must not block.
func WithCondition(condition func() bool) func(*Server) {
	return func(s *Server) { s.condition = condition }
}

// WithTimes bounds the time of a caller for the head of a request, and between
// two requests on a connection, by what times returns at that moment. It must
// not block; zero stands for the defaults of 5 s and 60 s.
func WithTimes(times func() (header, idle time.Duration)) func(*Server) {
	return func(s *Server) {
		s.times = func() (time.Duration, time.Duration) {
			h, i := times()
			return cmp.Or(h, defaultHeader), cmp.Or(i, defaultIdle)
		}
	}
}

// New returns a server for h. It opens nothing before Serve.
func New(h http.Handler, l log.Interface, r prometheus.Registerer, options ...option) *Server {
	s := &Server{
		l:           l,
		name:        "api",
		bodyBytes:   defaultBodyBytes,
		connections: defaultConnections,
		drainBound:  defaultDrainBound,
		times:       func() (time.Duration, time.Duration) { return defaultHeader, defaultIdle },
		condition:   func() bool { return true },
	}
	for _, o := range options {
		o(s)
	}
	s.inFlight = prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "bulrushtrail_http_requests_in_flight",
		Help:        "HTTP requests in progress.",
		ConstLabels: prometheus.Labels{"server": s.name},
	})
	r.MustRegister(s.inFlight)
	s.h = s.guard(h)
	return s
}

// Serve accepts connections on n until c ends, or n fails. Then the server is
// not ready, accepts nothing more after the drain delay, and gives requests in
// progress the drain bound to finish. It returns an error when n failed or the bound passed.
func (s *Server) Serve(c context.Context, n net.Listener) error {
	// Contexts of requests don't derive from c, so that requests in progress
	// survive its end.
	h := &http.Server{
		Handler:           s.h,
		ReadHeaderTimeout: headerMark,
		MaxHeaderBytes:    headerBytes,
		IdleTimeout:       idleMark,
	}
	d := make(chan error, 1)
	f := context.AfterFunc(c, func() { d <- s.shutDown(c, h) })
	s.serving.Store(true)
	e := h.Serve(listener{netutil.LimitListener(n, s.connections), s.times})
	s.serving.Store(false)
	if f() {
		_ = h.Close()
		return errors.Wrap(e, "serve HTTP")
	}
	return <-d
}

func (s *Server) shutDown(c context.Context, h *http.Server) error {
	s.serving.Store(false)
	s.l.WithField("delay", s.drainDelay.String()).Info("httpd: shutdown started")
	// Server.SetKeepAlivesEnabled would close the idle connections at once, so
	// the guard asks for the close of each connection instead.
	time.Sleep(s.drainDelay)
	c, f := context.WithTimeout(context.WithoutCancel(c), s.drainBound)
	defer f()
	e := h.Shutdown(c)
	if e != nil {
		_ = h.Close()
		s.l.WithError(e).Error("httpd: requests were cut off")
		return errors.Wrap(e, "finish requests in progress")
	}
	s.l.Info("httpd: shutdown finished")
	return nil
}

// Ready says whether the server takes requests.
func (s *Server) Ready() bool { return s.serving.Load() && s.condition() }
