package tool

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/view"
	"bulrushtrail.example/trail/internal/protocol/objapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/conf"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// Interval of the keepalive probes by which the kernel detects and closes
// connections to processes or hosts that are gone.
const tcpKeepalive = 15 * time.Second

// process is one running role.
type process struct {
	// Cancelled when the graceful shutdown starts.
	ctx  context.Context
	stop context.CancelFunc
	// Cancelled when the graceful shutdown has finished.
	lifetime context.Context
	settings *conf.Settings
	logger   log.Interface
	registry *prometheus.Registry
	dialer   *net.Dialer
	self     *wire.Member
	store    *objapi.Client
	mesh     *mesh.Mesh
	views    *view.Views
}

// operations holds the handlers of the peer operations that a role serves, and
// what its shutdown needs. Operations that the role does not serve are nil.
type operations struct {
	call   func(ctx context.Context, stream *frame.Stream, request *wire.Call)
	claim  func(ctx context.Context, stream *frame.Stream, request *wire.Claim)
	settle func(ctx context.Context, stream *frame.Stream, request *wire.Settle)
	put    func(ctx context.Context, stream *frame.Stream, request *wire.Put)
	get    func(ctx context.Context, stream *frame.Stream, request *wire.Get)
	answer func(ctx context.Context, stream *frame.Stream, request *wire.Answer)
	copy   func(ctx context.Context, stream *frame.Stream, request *wire.Copy)
	report func(ctx context.Context, stream *frame.Stream, request *wire.ReportRequest)
	// Run concurrently once the member is marked as leaving.
	drains []func(ctx context.Context) error
	// Server of the HTTP API; nil for roles other than entry.
	api *httpd.Server
}

// runRole runs a role until ctx is cancelled and then shuts it down gracefully.
func runRole(ctx context.Context, settings *conf.Settings, stderr io.Writer) error {
	n, e := net.Listen("tcp", settings.PeerAddress())
	if e != nil {
		return e
	}
	b, e := net.Listen("tcp", settings.AdminAddress())
	if e != nil {
		return e
	}
	p := newProcess(ctx, settings, stderr)
	defer p.stop()
	f, g := context.WithCancel(context.WithoutCancel(ctx))
	defer g()
	p.lifetime = f
	p.connectShared()
	o, e := p.build()
	if e != nil {
		return e
	}
	w := make(chan error, 3)
	h := p.handler(o)
	go func() { w <- p.mesh.Serve(f, n, h) }()
	e = p.serveHTTP(f, b, &o, w)
	if e != nil {
		return e
	}
	p.logger.Info(settings.Role() + ": started")
	select {
	case e = <-w:
		// A process that lost one of its listeners cannot do its work.
		return errors.Wrap(e, "serve")
	case <-p.ctx.Done():
	}
	return p.shutDown(o)
}

func newProcess(ctx context.Context, settings *conf.Settings, stderr io.Writer) *process {
	v, _ := log.ParseLevel(settings.LogLevel())
	l := &log.Logger{Handler: json.New(stderr), Level: v}
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p := &process{settings: settings, logger: l.WithField("member", settings.MemberID()), registry: r, dialer: &net.Dialer{KeepAlive: tcpKeepalive}}
	p.ctx, p.stop = context.WithCancel(ctx)
	p.self = wire.Member_builder{
		Id: proto.String(settings.MemberID()), Role: proto.String(settings.Role()), DataCentre: proto.String(settings.DataCentre()),
		PeerAddress: proto.String(settings.PeerAddress()), AdminAddress: proto.String(settings.AdminAddress()),
		Incarnation: proto.Uint64(uint64(time.Now().UnixNano())),
	}.Build()
	return p
}

// connectShared creates the object API client, the mesh and the views, which all
// roles use.
func (p *process) connectShared() {
	p.store = objapi.New(p.settings.PlatformURL(), p.dialer, p.logger, p.registry)
	p.mesh = mesh.New(p.lifetime, wire.Hello_builder{
		MemberId: proto.String(p.self.GetId()), DataCentre: proto.String(p.self.GetDataCentre()),
		Incarnation: proto.Uint64(p.self.GetIncarnation()), Role: proto.String(p.self.GetRole()),
	}.Build(), p.dialer, p.logger)
	p.views = view.New(p.lifetime, p.self, p.store, p.mesh, p.settings.Peers(), p.logger, p.registry)
}

// serveHTTP serves metrics and health checks, which remain available during the
// graceful shutdown, and the HTTP API if the role has one.
func (p *process) serveHTTP(ctx context.Context, listener net.Listener, served *operations, failed chan<- error) error {
	var h http.Handler
	x := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(w, r) }),
		p.logger, prometheus.NewRegistry(), httpd.WithReadinessCheck(p.ready))
	if served.api == nil {
		h = x.Admin(p.registry)
	} else {
		a, e := net.Listen("tcp", p.settings.HTTPAddress())
		if e != nil {
			return e
		}
		served.drains = []func(context.Context) error{drainInOrder(append([]func(context.Context) error{p.serveAPI(served.api, a, failed)}, served.drains...))}
		h = served.api.Admin(p.registry)
	}
	go func() { failed <- x.Serve(ctx, listener) }()
	return nil
}

// serveAPI serves the HTTP API until the graceful shutdown starts. It returns a
// drain function that waits until the last response has been written.
func (p *process) serveAPI(server *httpd.Server, listener net.Listener, failed chan<- error) func(context.Context) error {
	d := make(chan error, 1)
	go func() {
		e := server.Serve(p.ctx, listener)
		d <- e
		if p.ctx.Err() == nil {
			failed <- e
		}
	}()
	return func(ctx context.Context) error {
		select {
		case e := <-d:
			return e
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drainInOrder returns a drain that runs the given ones one after the other. The
// drain of an entry rejects requests, so it must not start before the HTTP
// server has stopped accepting them.
func drainInOrder(drains []func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		var e error
		for _, d := range drains {
			e = errors.CombineErrors(e, d(ctx))
		}
		return e
	}
}

// ready reports whether the process accepts work, that is, whether it has
// received the replicated state and is not shutting down.
func (p *process) ready() bool {
	return p.ctx.Err() == nil && p.views.Known()
}

// shutDown marks the member as leaving, drains the role within the drain timeout
// and removes the member.
func (p *process) shutDown(served operations) error {
	p.logger.WithField("bound", p.settings.DrainTimeout().String()).Info(p.settings.Role() + ": graceful shutdown started")
	c, f := context.WithTimeout(p.lifetime, p.settings.DrainTimeout())
	defer f()
	p.views.Leave(c)
	w := make(chan error, len(served.drains))
	for _, d := range served.drains {
		go func() { w <- d(c) }()
	}
	var e error
	for range served.drains {
		e = errors.CombineErrors(e, <-w)
	}
	p.views.Remove(p.lifetime)
	if e != nil {
		p.logger.WithError(e).Error(p.settings.Role() + ": graceful shutdown incomplete, work was cut off at the drain timeout")
		return errors.Wrap(e, "graceful shutdown")
	}
	p.logger.Info(p.settings.Role() + ": graceful shutdown finished")
	return nil
}
