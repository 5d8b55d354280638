package daemon

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/coordination/direct"
	"bulrushtrail.example/trail/internal/coordination/fanout"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/gossip"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/jobrpc"
	"bulrushtrail.example/trail/internal/coordination/member"
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/coordination/relay"
	"bulrushtrail.example/trail/internal/coordination/roster"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/state/rules"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/internal/transport/mesh"
	"bulrushtrail.example/trail/internal/transport/pool"
	api "bulrushtrail.example/trail/platform/front"
	"bulrushtrail.example/trail/platform/server"
)

const (
	// Crashes of different backend servers after which a request is rejected.
	// A server that goes down takes up to eight requests with it, of which
	// seven have no part in it.
	poisonCrashLimit = 3
	// The balancer takes a host out after two failed checks a second apart.
	drainDelay = 2400 * time.Millisecond
	// Part of the stop time that is left for the end of the process itself.
	exitReserve = 600 * time.Millisecond
	// Time before the end of the drain in which batch jobs are released.
	jobReleaseReserve = 1300 * time.Millisecond
)

// frontRole is a running front.
type frontRole struct {
	*process
	self    *wire.Front
	fleet   *fleet.Fleet
	configs *inform.Informer
	hosts   *inform.Informer
	roster  *roster.Roster
	fanout  *fanout.Store
	gossip  *gossip.Task
	mesh    *mesh.Mesh
	relay   *relay.Store
	direct  *direct.Server
	jobs    *batch.Jobs
	api     *httpd.Server
	// Connections to backend servers.
	pool *pool.Pool
	// Backend servers as last reported, by id.
	lastServers map[string]*wire.BackendServer
}

// runFront serves callers until c ends.
func runFront(c context.Context, p *process) error {
	a, e := net.Listen("tcp", p.settings.GetApiAddress())
	if e != nil {
		return errors.Wrap(e, "listen for callers")
	}
	b, e := net.Listen("tcp", p.settings.GetReadyAddress())
	if e != nil {
		return errors.Wrap(e, "listen for readiness checks")
	}
	n, e := net.ListenPacket("udp", p.peerAddress())
	if e != nil {
		return errors.Wrap(e, "listen for datagrams of other fronts")
	}
	r, e := net.Listen("tcp", p.peerAddress())
	if e != nil {
		return errors.Wrap(e, "listen for other fronts")
	}
	// Ends after the graceful shutdown.
	l, f := context.WithCancel(context.WithoutCancel(c))
	defer f()
	s := newFront(l, p, n)
	m := member.New(l, p.store, s.self, p.logger)
	serveHTTP(l, b, api.Ready(s.api.Ready))
	p.serveMetrics(l, s.api)
	go s.servePeers(l, r)
	go s.configs.Relist(l, s.rank, s.gossip.TriggerSend)
	go s.hosts.Relist(l, s.rank, s.gossip.TriggerSend)
	go s.watchConfig(l)
	go s.watchHosts(l)
	d := make(chan struct{})
	context.AfterFunc(c, func() { s.drain(d) })
	e = s.api.Serve(c, a)
	if c.Err() == nil {
		return errors.Wrap(e, "serve callers")
	}
	<-d
	m.Remove(l)
	return e
}

func newFront(c context.Context, process *process, peerConn net.PacketConn) *frontRole {
	s := &frontRole{process: process}
	s.self = wire.Front_builder{
		Name: proto.String(process.settings.GetName()), Incarnation: &process.incarnation,
		DataCentre: proto.String(process.settings.GetDataCentre()), PeerAddress: proto.String(process.peerAddress()),
	}.Build()
	s.fleet = fleet.New(process.settings.GetName(), process.settings.GetDataCentre())
	s.pool = pool.New(process.dialer, process.registry)
	u := server.New(s.pool)
	q := poison.New(poisonCrashLimit)
	// The parts tell each other of changes through s, which is complete before
	// the first request.
	s.direct = direct.New(s.fleet, q, u, process.logger, process.registry, func() { s.gossip.TriggerSend() }, func(id string) { s.jobs.Yield(id) })
	s.mesh = mesh.New(c, wire.Hello_builder{
		MemberId: proto.String(process.settings.GetName()), DataCentre: proto.String(process.settings.GetDataCentre()),
		Incarnation: &process.incarnation, Role: &process.role,
	}.Build(), process.dialer, process.logger)
	s.fanout = fanout.New(process.store, process.settings.GetName(), member.Kind, s.mesh, process.logger)
	// A configuration may be large, and each front reads it from the platform.
	s.configs = inform.New(c, process.store, "configs", process.logger)
	s.hosts = s.newSharedInformer(c, "hosts")
	s.roster = roster.New(s.self, s.newSharedInformer(c, member.Kind), s.fleet, process.logger)
	s.fanout.SetWatchers(s.roster.Watchers, s.roster.Address)
	s.relay = relay.New(process.store, s.mesh, s.relayPeers, process.logger)
	s.jobs = batch.New(c, s.self, s.relay, jobrpc.New(s.mesh, s.roster.Address), s.fleet, u, s.direct.Table, process.settings.GetValueBytes(), process.logger, process.registry, func() { s.gossip.TriggerSend() })
	s.gossip = gossip.New(c, peerConn, s.self, s.fleet, q, s.roster, s.configs, s.hosts, process.logger, process.registry, s.jobs)
	s.api = httpd.New(api.New(s.direct, s.jobs, process.logger), process.logger, process.registry,
		httpd.WithTimeouts(s.callerTimeouts), httpd.WithReadinessCheck(s.ready), httpd.WithDrainDelay(drainDelay), httpd.WithDrainTimeout(s.stopTimeout()-drainDelay))
	return s
}

// newSharedInformer returns a copy of a kind that the fronts share.
func (s *frontRole) newSharedInformer(ctx context.Context, kind string) *inform.Informer {
	i := inform.New(ctx, s.fanout, kind, s.logger)
	s.fanout.Share(kind, i)
	return i
}

// callerTimeouts returns the times of the configuration in force, zero while
// there is none.
func (s *frontRole) callerTimeouts() (header, idle time.Duration) {
	t := s.direct.Table()
	if t == nil {
		return 0, 0
	}
	l := t.Limits()
	return time.Duration(l.GetHeaderMs()) * time.Millisecond, time.Duration(l.GetIdleMs()) * time.Millisecond
}

// servePeers answers other fronts until c ends.
func (s *frontRole) servePeers(ctx context.Context, listener net.Listener) {
	e := s.mesh.Serve(ctx, listener, func(ctx context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
		switch {
		case o.HasStore():
			s.relay.ServeCall(ctx, n, o.GetStore())
		case o.HasFollow():
			s.fanout.Serve(ctx, n, o.GetFollow())
		case o.HasResults():
			e := jobrpc.ServeResults(ctx, n, o.GetResults(), s.jobs.LocalResults)
			if e != nil {
				s.logger.WithError(e).Info("bulrushd: another front that asked for results was lost")
			}
		case o.HasJob():
			e := jobrpc.ServeNotice(n, o.GetJob(), s.jobs.HandleNotice)
			if e != nil {
				s.logger.WithError(e).Warn("bulrushd: notice of another front not answered")
			}
		}
	})
	if e != nil {
		s.logger.WithError(e).Error("bulrushd: other fronts are not answered any more")
	}
}

// relayPeers returns the peer addresses of the fronts that the platform answers.
func (s *frontRole) relayPeers() []string {
	var l []string
	for _, n := range s.fleet.PeersWithPlatform(time.Now()) {
		a := s.roster.Address(n)
		if a != "" {
			l = append(l, a)
		}
	}
	return l
}

func (s *frontRole) stopTimeout() time.Duration {
	return time.Duration(s.settings.GetStopSeconds()*float64(time.Second)) - exitReserve
}

// ready says whether the front can serve: it knows the configuration and the
// backend servers. It stays ready while the platform is away.
func (s *frontRole) ready() bool {
	return s.direct.Table() != nil && s.hosts.HasSynced() && s.fleet.ServerCount() > 0
}

// drain finishes the batch jobs of a front that stops, while its requests in
// progress end.
func (s *frontRole) drain(done chan<- struct{}) {
	defer close(done)
	s.gossip.Leave()
	c, f := context.WithTimeout(context.Background(), s.stopTimeout()-jobReleaseReserve)
	defer f()
	s.jobs.Drain(c)
}

// rank returns the place of this front by name among the live ones that the
// platform answers.
func (s *frontRole) rank() int {
	n := 0
	for _, p := range s.fleet.PeersWithPlatform(time.Now()) {
		if p < s.self.GetName() {
			n++
		}
	}
	return n
}

// watchConfig puts each new configuration in force until c ends.
func (s *frontRole) watchConfig(ctx context.Context) {
	for {
		w := s.configs.Changed()
		o, k := s.configs.Get("current")
		if k {
			s.applyConfig(o)
		}
		select {
		case <-w:
		case <-ctx.Done():
			return
		}
	}
}

func (s *frontRole) applyConfig(obj object.Object) {
	t := &wire.RouteTable{}
	e := obj.Decode(t)
	if e != nil {
		s.logger.WithError(e).Error("bulrushd: configuration is not readable, the one in force stays")
		return
	}
	r := rules.New(t)
	h := s.direct.Table()
	if h != nil && h.Version() >= r.Version() {
		return
	}
	s.direct.SetTable(r)
	s.jobs.ReapplyQuotas()
	s.logger.WithField("config-version", r.Version()).Info("bulrushd: configuration in force")
}

// watchHosts tells the fleet of each change of the registry until c ends.
func (s *frontRole) watchHosts(ctx context.Context) {
	for {
		w := s.hosts.Changed()
		d := s.syncServers()
		select {
		case <-w:
		case <-d:
		case <-ctx.Done():
			return
		}
	}
}

// syncServers tells the fleet of the registry. It returns a channel that has a
// value when entries that lapsed must be looked at again; nil for never.
func (s *frontRole) syncServers() <-chan time.Time {
	if !s.hosts.HasSynced() {
		return nil
	}
	var l []*wire.BackendServer
	k := map[string]*wire.BackendServer{}
	for n, o := range s.hosts.All() {
		b := &wire.BackendServer{}
		e := o.Decode(b)
		if e != nil {
			s.logger.WithError(e).WithField("server", n).Warn("bulrushd: backend server left out, its entry is not readable")
			continue
		}
		l = append(l, b)
		k[n] = b
	}
	s.logServerChanges(k)
	w := time.Now()
	u := w
	o, e := s.hosts.Outage()
	if o {
		u = w.Add(fleet.ExpiryGrace)
	} else if !e.IsZero() {
		u = e.Add(fleet.ExpiryGrace)
	}
	a := s.fleet.SetServers(w, l, s.hosts.ConfirmedBeforeChange(), u)
	s.jobs.TriggerDispatch()
	if a.After(w) {
		return time.After(a.Sub(w) + time.Millisecond)
	}
	return nil
}

// logServerChanges logs how the registry has changed since the last call, and
// closes the idle connections to backend servers that are gone.
func (s *frontRole) logServerChanges(servers map[string]*wire.BackendServer) {
	for n, b := range servers {
		o := s.lastServers[n]
		if o == nil || o.GetDraining() != b.GetDraining() || o.GetAddress() != b.GetAddress() {
			s.logger.WithFields(log.Fields{
				"server": n, "service": b.GetService(), "address": b.GetAddress(), "draining": b.GetDraining(),
			}).Info("bulrushd: backend server listed")
		}
	}
	for n, o := range s.lastServers {
		if b := servers[n]; b == nil || b.GetAddress() != o.GetAddress() {
			s.pool.CloseIdle(o.GetAddress())
		}
		if servers[n] == nil {
			s.logger.WithField("server", n).Info("bulrushd: backend server no longer listed")
		}
	}
	s.lastServers = servers
}
