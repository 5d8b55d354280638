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
	c    context.Context
	stop context.CancelFunc
	// Ends when the graceful shutdown is over.
	life  context.Context
	s     *conf.Settings
	l     log.Interface
	r     *prometheus.Registry
	d     *net.Dialer
	self  *wire.Member
	store *objapi.Client
	m     *mesh.Mesh
	v     *view.Views
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

// serve runs a role until c ends, and then shuts it down gracefully.
func serve(c context.Context, s *conf.Settings, diagnostics io.Writer) error {
	n, e := net.Listen("tcp", s.PeerAddress())
	if e != nil {
		return e
	}
	b, e := net.Listen("tcp", s.AdminAddress())
	if e != nil {
		return e
	}
	p := newProcess(c, s, diagnostics)
	defer p.stop()
	f, g := context.WithCancel(context.WithoutCancel(c))
	defer g()
	p.life = f
	p.connect()
	o, e := p.build()
	if e != nil {
		return e
	}
	w := make(chan error, 3)
	h := p.handler(o)
	go func() { w <- p.m.Serve(f, n, h) }()
	e = p.serveHTTP(f, b, &o, w)
	if e != nil {
		return e
	}
	p.l.Info(s.Role() + ": started")
	select {
	case e = <-w:
		// A listener that fails leaves the process useless.
		return errors.Wrap(e, "serve")
	case <-p.c.Done():
	}
	return p.shutDown(o)
}

func newProcess(c context.Context, s *conf.Settings, diagnostics io.Writer) *process {
	v, _ := log.ParseLevel(s.LogLevel())
	l := &log.Logger{Handler: json.New(diagnostics), Level: v}
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p := &process{s: s, l: l.WithField("member", s.MemberID()), r: r, d: &net.Dialer{KeepAlive: tcpKeepalive}}
	p.c, p.stop = context.WithCancel(c)
	p.self = wire.Member_builder{
		Id: proto.String(s.MemberID()), Role: proto.String(s.Role()), DataCentre: proto.String(s.DataCentre()),
		PeerAddress: proto.String(s.PeerAddress()), AdminAddress: proto.String(s.AdminAddress()),
		Incarnation: proto.Uint64(uint64(time.Now().UnixNano())),
	}.Build()
	return p
}

// connect creates what all roles share.
func (p *process) connect() {
	p.store = objapi.New(p.s.PlatformURL(), p.d, p.l, p.r)
	p.m = mesh.New(p.life, wire.Hello_builder{
		MemberId: proto.String(p.self.GetId()), DataCentre: proto.String(p.self.GetDataCentre()),
		Incarnation: proto.Uint64(p.self.GetIncarnation()), Role: proto.String(p.self.GetRole()),
	}.Build(), p.d, p.l)
	p.v = view.New(p.life, p.self, p.store, p.m, p.s.Peers(), p.l, p.r)
}

// serveHTTP serves the API at an entry, and metrics and health checks, which
// stay open during the graceful shutdown.
func (p *process) serveHTTP(c context.Context, n net.Listener, o *operations, failed chan<- error) error {
	var h http.Handler
	x := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(w, r) }),
		p.l, prometheus.NewRegistry(), httpd.WithReadinessCheck(p.ready))
	if o.api == nil {
		h = x.Admin(p.r)
	} else {
		a, e := net.Listen("tcp", p.s.HTTPAddress())
		if e != nil {
			return e
		}
		o.drains = []func(context.Context) error{inOrder(append([]func(context.Context) error{p.serveAPI(o.api, a, failed)}, o.drains...))}
		h = o.api.Admin(p.r)
	}
	go func() { failed <- x.Serve(c, n) }()
	return nil
}

// serveAPI serves the API until the process shall stop. The drain that it
// returns waits until the last answer is written.
func (p *process) serveAPI(h *httpd.Server, n net.Listener, failed chan<- error) func(context.Context) error {
	d := make(chan error, 1)
	go func() {
		e := h.Serve(p.c, n)
		d <- e
		if p.c.Err() == nil {
			failed <- e
		}
	}()
	return func(c context.Context) error {
		select {
		case e := <-d:
			return e
		case <-c.Done():
			return c.Err()
		}
	}
}

// inOrder runs the drains one after the other. An entry refuses requests only
// when its server takes no more of them.
func inOrder(l []func(context.Context) error) func(context.Context) error {
	return func(c context.Context) error {
		var e error
		for _, d := range l {
			e = errors.CombineErrors(e, d(c))
		}
		return e
	}
}

// ready says whether the process takes work: the agreed state is known and no
// shutdown was asked for.
func (p *process) ready() bool {
	return p.c.Err() == nil && p.v.Known()
}

func (p *process) shutDown(o operations) error {
	p.l.WithField("bound", p.s.DrainTimeout().String()).Info(p.s.Role() + ": graceful shutdown started")
	c, f := context.WithTimeout(p.life, p.s.DrainTimeout())
	defer f()
	p.v.Leave(c)
	w := make(chan error, len(o.drains))
	for _, d := range o.drains {
		go func() { w <- d(c) }()
	}
	var e error
	for range o.drains {
		e = errors.CombineErrors(e, <-w)
	}
	p.v.Remove(p.life)
	if e != nil {
		p.l.WithError(e).Error(p.s.Role() + ": work was cut off at the bound")
		return errors.Wrap(e, "graceful shutdown")
	}
	p.l.Info(p.s.Role() + ": graceful shutdown finished")
	return nil
}
