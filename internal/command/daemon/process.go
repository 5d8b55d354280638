package daemon

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/outage"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/node"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/platform/store"
)

// A connection whose peer does not answer keepalive probes is closed by the
// kernel after about 2.5 s: 1 s idle and three probes 500 ms apart.
var keepalive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

const (
	// Fraction of the host's memory that the responses of backend servers to online
	// requests may hold, and those to batch items.
	bufferFraction = 0.12
	// The same without a memory limit, in bytes.
	defaultBufferBytes = 64 << 20
)

// process holds the state that all roles share.
type process struct {
	role     string
	settings *wire.Node
	logger   log.Interface
	registry *prometheus.Registry
	dialer   *net.Dialer
	// Calls the platform, except for most calls while it does not answer.
	store       trail.StaleStore
	incarnation uint64
}

func newProcess(role string, settings *wire.Node, logger log.Interface) *process {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d := &net.Dialer{Timeout: time.Second, KeepAliveConfig: keepalive}
	return &process{
		role: role, settings: settings, logger: logger, registry: r, dialer: d,
		store:       outage.New(store.New(settings, d, logger, r), logger, r),
		incarnation: uint64(time.Now().UnixNano()),
	}
}

// Receive buffer of a connection to a backend server. The kernel's own grows to some
// megabytes for each response that a caller reads slowly. A response of 4 MB at a round
// trip of 3 ms takes 0.1 s with it.
const backendBufferBytes = 128 << 10

// backendDialer returns the dialer for connections to backend servers.
func (p *process) backendDialer() *net.Dialer {
	d := *p.dialer
	d.Control = func(_, _ string, conn syscall.RawConn) error {
		var e error
		f := conn.Control(func(descriptor uintptr) {
			e = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, backendBufferBytes)
		})
		return errors.CombineErrors(f, e)
	}
	if a := net.ParseIP(p.settings.GetDialAddress()); a != nil {
		d.LocalAddr = &net.TCPAddr{IP: a}
	}
	return &d
}

// reloadSettings reads and checks the settings file for each value received from
// changed. New settings only take effect at the next start, since a running
// process keeps its ports and addresses.
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

// serveMetrics serves the metrics endpoint until ctx is cancelled. If the port
// cannot be opened, the process runs without it.
func (p *process) serveMetrics(ctx context.Context, server *httpd.Server) {
	n, e := net.Listen("tcp", net.JoinHostPort(p.settings.GetHostAddress(), metricsPort))
	if e != nil {
		p.logger.WithError(e).Warn("bulrushd: could not listen for metrics requests, running without")
		return
	}
	p.serveHTTP(ctx, "metrics", n, server.Admin(p.registry))
}

func (p *process) peerAddress() string {
	return net.JoinHostPort(p.settings.GetHostAddress(), strconv.Itoa(int(p.settings.GetPeerPort())))
}

// bufferBytes returns the bytes that responses of backend servers may hold in memory
// together, for online requests and as much again for batch items.
func (p *process) bufferBytes() int64 {
	if m := p.settings.GetMemoryMb(); m > 0 {
		return int64(float64(m<<20) * bufferFraction)
	}
	return defaultBufferBytes
}
