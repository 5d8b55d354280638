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

// Kernel keepalives close connections whose other end is gone.
const tcpKeepalive = 15 * time.Second

// process is one running role.
type process struct {
	// Ends when the process shall shut down gracefully.
	ctx  context.Context
	stop context.CancelFunc
	// Ends when the graceful shutdown is over.
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

// operations are what a role serves to its peers. Those it does not serve are
// nil.
type operations struct {
	call   func(c context.Context, s *frame.Stream, o *wire.Call)
	claim  func(c context.Context, s *frame.Stream, o *wire.Claim)
	settle func(c context.Context, s *frame.Stream, o *wire.Settle)
	put    func(c context.Context, s *frame.Stream, o *wire.Put)
	get    func(c context.Context, s *frame.Stream, o *wire.Get)
	answer func(c context.Context, s *frame.Stream, o *wire.Answer)
	copy   func(c context.Context, s *frame.Stream, o *wire.Copy)
	report func(c context.Context, s *frame.Stream, o *wire.ReportRequest)
	// Drains are run at the same time, after the member is marked as leaving.
	drains []func(c context.Context) error
	// The server of an entry's API; nil for other roles.
	api *httpd.Server
}

// runRole runs a role until c ends, and then shuts it down gracefully.
func runRole(c context.Context, settings *conf.Settings, stderr io.Writer) error {
	n, e := net.Listen("tcp", settings.PeerAddress())
	if e != nil {
		return e
	}
	b, e := net.Listen("tcp", settings.AdminAddress())
	if e != nil {
		return e
	}
	p := newProcess(c, settings, stderr)
	defer p.stop()
	f, g := context.WithCancel(context.WithoutCancel(c))
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
		// A listener that fails leaves the process useless.
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

// connectShared creates what all roles share.
func (p *process) connectShared() {
	p.store = objapi.New(p.settings.PlatformURL(), p.dialer, p.logger, p.registry)
	p.mesh = mesh.New(p.lifetime, wire.Hello_builder{
		MemberId: proto.String(p.self.GetId()), DataCentre: proto.String(p.self.GetDataCentre()),
		Incarnation: proto.Uint64(p.self.GetIncarnation()), Role: proto.String(p.self.GetRole()),
	}.Build(), p.dialer, p.logger)
	p.views = view.New(p.lifetime, p.self, p.store, p.mesh, p.settings.Peers(), p.logger, p.registry)
}

// serveHTTP serves the API at an entry, and metrics and health checks, which
// stay open during the graceful shutdown.
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

// serveAPI serves the API until the process shall stop. The drain that it
// returns waits until the last answer is written.
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

// drainInOrder runs the drains one after the other. An entry refuses requests only
// when its server takes no more of them.
func drainInOrder(drains []func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		var e error
		for _, d := range drains {
			e = errors.CombineErrors(e, d(ctx))
		}
		return e
	}
}

// ready says whether the process takes work: the agreed state is known and no
// shutdown was asked for.
func (p *process) ready() bool {
	return p.ctx.Err() == nil && p.views.Known()
}

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
		p.logger.WithError(e).Error(p.settings.Role() + ": work was cut off at the bound")
		return errors.Wrap(e, "graceful shutdown")
	}
	p.logger.Info(p.settings.Role() + ": graceful shutdown finished")
	return nil
}
