package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/node"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/platform/store"
)

// A connection whose other end does not answer the kernel's probes is closed
// after about two and a half seconds.
var keepalive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// process is what all roles share.
type process struct {
	role        string
	settings    *wire.Node
	logger      log.Interface
	registry    *prometheus.Registry
	dialer      *net.Dialer
	store       *store.Client
	incarnation uint64
}

func newProcess(role string, settings *wire.Node, logger log.Interface) *process {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d := &net.Dialer{Timeout: time.Second, KeepAliveConfig: keepalive}
	return &process{
		role: role, settings: settings, logger: logger, registry: r, dialer: d,
		store:       store.New(settings, d, logger, r),
		incarnation: uint64(time.Now().UnixNano()),
	}
}

// reloadSettings reads the settings again at each value on changed. They take effect
// at the next start, since ports and addresses of a running process stay.
func (p *process) reloadSettings(ctx context.Context, path string, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		n, e := node.Load(path)
		if e != nil {
			p.logger.WithError(e).Error("bulrushd: settings not reloaded, the running ones stay")
			continue
		}
		p.logger.WithField("changed", !proto.Equal(n, p.settings)).Info("bulrushd: settings reloaded, changes take effect at the next start")
	}
}

// serveMetrics serves the metrics until c ends. A process whose metrics cannot be
// served goes on without.
func (p *process) serveMetrics(ctx context.Context, server *httpd.Server) {
	n, e := net.Listen("tcp", net.JoinHostPort(p.settings.GetHostAddress(), metricsPort))
	if e != nil {
		p.logger.WithError(e).Warn("bulrushd: metrics are not served")
		return
	}
	serveHTTP(ctx, n, server.Admin(p.registry))
}

// serveHTTP answers plain requests on n until c ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(listener) }()
}

func (p *process) peerAddress() string {
	return net.JoinHostPort(p.settings.GetHostAddress(), strconv.Itoa(int(p.settings.GetPeerPort())))
}
