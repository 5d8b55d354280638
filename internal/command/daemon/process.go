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
	n           *wire.Node
	l           log.Interface
	r           *prometheus.Registry
	d           *net.Dialer
	store       *store.Client
	incarnation uint64
}

func newProcess(role string, n *wire.Node, l log.Interface) *process {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d := &net.Dialer{Timeout: time.Second, KeepAliveConfig: keepalive}
	return &process{
		role: role, n: n, l: l, r: r, d: d,
		store:       store.New(n, d, l, r),
		incarnation: uint64(time.Now().UnixNano()),
	}
}

// reload reads the settings again at each value on changed. They take effect
// at the next start, since ports and addresses of a running process stay.
func (p *process) reload(c context.Context, path string, changed <-chan struct{}) {
	for {
		select {
		case <-c.Done():
			return
		case <-changed:
		}
		n, e := node.Load(path)
		if e != nil {
			p.l.WithError(e).Error("bulrushd: settings not reloaded, the running ones stay")
			continue
		}
		p.l.WithField("changed", !proto.Equal(n, p.n)).Info("bulrushd: settings reloaded, changes take effect at the next start")
	}
}

// metrics serves the metrics until c ends. A process whose metrics cannot be
// served goes on without.
func (p *process) metrics(c context.Context, s *httpd.Server) {
	n, e := net.Listen("tcp", net.JoinHostPort(p.n.GetHostAddress(), metricsPort))
	if e != nil {
		p.l.WithError(e).Warn("bulrushd: metrics are not served")
		return
	}
	serve(c, n, s.Admin(p.r))
}

// serve answers plain requests on n until c ends.
func serve(c context.Context, n net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	context.AfterFunc(c, func() { _ = s.Close() })
	go func() { _ = s.Serve(n) }()
}

func (p *process) peerAddress() string {
	return net.JoinHostPort(p.n.GetHostAddress(), strconv.Itoa(int(p.n.GetPeerPort())))
}
