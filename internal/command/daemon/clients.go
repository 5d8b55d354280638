package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/coordination/budget"
	"bulrushtrail.example/trail/internal/transport/httpd"
)

const (
	// Fraction of the host's memory that is held for callers. The process itself takes
	// about 20 MB of 100, the responses to batch items bufferFraction, and what the
	// garbage collector has not freed yet some more.
	clientBytesFraction = 0.3
	// The same without a memory limit, in bytes.
	defaultClientBytes = 512 << 20
	// Fraction of the host's memory that the items of unfinished batch jobs may hold.
	itemFraction = 0.15
	// Fraction of the descriptors for connections of callers. Each of their requests may
	// need one to a backend server or the platform, some two when a call is repeated. Other
	// fronts, the readiness check and metrics need the rest.
	clientDescriptorFraction = 0.3
	// Memory of the host for each connection of a caller, in bytes. A host of 64 MB still
	// has the 400 connections that a front has in the stated deployments.
	memoryPerConnection = 160 << 10
	// Connections of callers without a limit on memory and descriptors.
	defaultClientConnections = 10_000
	// Time without progress after which a caller may have to give way. A caller that
	// sends a body of 4 MB at 64 Mbit/s, or reads at its own pace, moves 16 KB, which
	// count as progress, in 2 ms.
	defaultClientStall = 2 * time.Second

	// Connections to the readiness check and to the metrics, each. The platform needs
	// one or two.
	adminConnections = 32
	// Time without progress of such a connection after which it may have to give way.
	adminStall = 200 * time.Millisecond
	// Limits on reading a request and on writing a response there.
	adminReadTimeout  = 2 * time.Second
	adminWriteTimeout = 5 * time.Second
	adminHeadBytes    = 8 << 10
)

// newCallerBudget returns the limits on what is held for callers, from the settings or
// derived from the memory and the descriptors of the host.
func (p *process) newCallerBudget() *budget.Budget {
	m, d := p.settings.GetMemoryMb()<<20, p.settings.GetMaxDescriptors()
	b := cmp.Or(p.settings.GetCallerBytes(), int64(clientBytesFraction*float64(m)), defaultClientBytes)
	n := int(p.settings.GetCallerConnections())
	if n == 0 {
		n = defaultClientConnections
		if m > 0 {
			n = min(n, int(m/memoryPerConnection))
		}
		if d > 0 {
			n = min(n, max(int(clientDescriptorFraction*float64(d)), 1))
		}
	}
	s := cmp.Or(time.Duration(p.settings.GetCallerStallMs())*time.Millisecond, defaultClientStall)
	return p.register("api", budget.New(b, n, s))
}

// register makes the counts of a budget metrics, under the name of its server.
func (p *process) register(server string, clients *budget.Budget) *budget.Budget {
	l := prometheus.Labels{"server": server}
	p.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bulrushtrail_client_bytes", Help: "Bytes held for clients.", ConstLabels: l}, func() float64 {
			n, _ := clients.Held()
			return float64(n)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bulrushtrail_client_connections", Help: "Connections of clients.", ConstLabels: l}, func() float64 {
			_, n := clients.Held()
			return float64(n)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bulrushtrail_client_refusals_total", Help: "Claims of bytes that were refused.", ConstLabels: l}, func() float64 { return float64(clients.Refused()) }),
		closedCounter(server, "bytes", func() int64 {
			n, _ := clients.Closed()
			return n
		}),
		closedCounter(server, "connections", func() int64 {
			_, n := clients.Closed()
			return n
		}),
	)
	return clients
}

// closedCounter returns the metric of connections that gave way for a reason.
func closedCounter(server, reason string, value func() int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bulrushtrail_client_closed_total", Help: "Connections of clients without progress that were closed to make room, by what others needed.",
		ConstLabels: prometheus.Labels{"server": server, "reason": reason},
	}, func() float64 { return float64(value()) })
}

// serveHTTP serves handler on listener until ctx is cancelled. name is that of its
// metrics.
func (p *process) serveHTTP(ctx context.Context, name string, listener net.Listener, handler http.Handler) {
	b := p.register(name, budget.New(0, adminConnections, adminStall))
	s := &http.Server{Handler: handler, ReadHeaderTimeout: adminReadTimeout, ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, IdleTimeout: 10 * time.Second, MaxHeaderBytes: adminHeadBytes}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	l := httpd.LimitClients(listener, b, func(remote string) {
		p.logger.WithFields(log.Fields{"remote": remote, "server": name}).Debug("bulrushd: connection closed, others need its place")
	})
	go func() { _ = s.Serve(l) }()
}

// itemBytes returns the bytes that the items of unfinished batch jobs may hold, 0 without
// a memory limit.
func (p *process) itemBytes() int64 {
	return int64(itemFraction * float64(p.settings.GetMemoryMb()<<20))
}
