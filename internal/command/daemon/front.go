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
	rejectAfter = 3
	// The balancer takes a host out after two failed checks a second apart.
	drainDelay = 2400 * time.Millisecond
	// Part of the stop time that is left for the end of the process itself.
	exitTime = 600 * time.Millisecond
	// Time before the end of the drain in which batch jobs are released.
	releaseTime = 1300 * time.Millisecond
)

// frontRole is a running front.
type frontRole struct {
	*process
	self    *wire.Front
	f       *fleet.Fleet
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
	known map[string]*wire.BackendServer
}

// front serves callers until c ends.
func front(c context.Context, p *process) error {
	a, e := net.Listen("tcp", p.n.GetApiAddress())
	if e != nil {
		return errors.Wrap(e, "listen for callers")
	}
	b, e := net.Listen("tcp", p.n.GetReadyAddress())
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
	m := member.New(l, p.store, s.self, p.l)
	serve(l, b, api.Ready(s.api.Ready))
	p.metrics(l, s.api)
	go s.servePeers(l, r)
	go s.configs.Relist(l, s.rank, s.gossip.TriggerSend)
	go s.hosts.Relist(l, s.rank, s.gossip.TriggerSend)
	go s.followConfig(l)
	go s.followHosts(l)
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

func newFront(c context.Context, p *process, n net.PacketConn) *frontRole {
	s := &frontRole{process: p}
	s.self = wire.Front_builder{
		Name: proto.String(p.n.GetName()), Incarnation: &p.incarnation,
		DataCentre: proto.String(p.n.GetDataCentre()), PeerAddress: proto.String(p.peerAddress()),
	}.Build()
	s.f = fleet.New(p.n.GetName(), p.n.GetDataCentre())
	s.pool = pool.New(p.d, p.r)
	u := server.New(s.pool)
	q := poison.New(rejectAfter)
	// The parts tell each other of changes through s, which is complete before
	// the first request.
	s.direct = direct.New(s.f, q, u, p.l, p.r, func() { s.gossip.TriggerSend() }, func(id string) { s.jobs.Yield(id) })
	s.mesh = mesh.New(c, wire.Hello_builder{
		MemberId: proto.String(p.n.GetName()), DataCentre: proto.String(p.n.GetDataCentre()),
		Incarnation: &p.incarnation, Role: &p.role,
	}.Build(), p.d, p.l)
	s.fanout = fanout.New(p.store, p.n.GetName(), member.Kind, s.mesh, p.l)
	// A configuration may be large, and each front reads it from the platform.
	s.configs = inform.New(c, p.store, "configs", p.l)
	s.hosts = s.follow(c, "hosts")
	s.roster = roster.New(s.self, s.follow(c, member.Kind), s.f, p.l)
	s.fanout.SetWatchers(s.roster.Watchers, s.roster.Address)
	s.relay = relay.New(p.store, s.mesh, s.helpers, p.l)
	s.jobs = batch.New(c, s.self, s.relay, jobrpc.New(s.mesh, s.roster.Address), s.f, u, s.direct.Table, p.n.GetValueBytes(), p.l, p.r, func() { s.gossip.TriggerSend() })
	s.gossip = gossip.New(c, n, s.self, s.f, q, s.roster, s.configs, s.hosts, p.l, p.r, s.jobs)
	s.api = httpd.New(api.New(s.direct, s.jobs, p.l), p.l, p.r,
		httpd.WithTimeouts(s.callerTimes), httpd.WithReadinessCheck(s.ready), httpd.WithDrainDelay(drainDelay), httpd.WithDrainTimeout(s.stopTime()-drainDelay))
	return s
}

// follow returns a copy of a kind that the fronts share.
func (s *frontRole) follow(c context.Context, kind string) *inform.Informer {
	i := inform.New(c, s.fanout, kind, s.l)
	s.fanout.Share(kind, i)
	return i
}

// callerTimes returns the times of the configuration in force, zero while
// there is none.
func (s *frontRole) callerTimes() (header, idle time.Duration) {
	t := s.direct.Table()
	if t == nil {
		return 0, 0
	}
	l := t.Limits()
	return time.Duration(l.GetHeaderMs()) * time.Millisecond, time.Duration(l.GetIdleMs()) * time.Millisecond
}

// servePeers answers other fronts until c ends.
func (s *frontRole) servePeers(c context.Context, n net.Listener) {
	e := s.mesh.Serve(c, n, func(c context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
		switch {
		case o.HasStore():
			s.relay.ServeCall(c, n, o.GetStore())
		case o.HasFollow():
			s.fanout.Serve(c, n, o.GetFollow())
		case o.HasResults():
			e := jobrpc.ServeResults(c, n, o.GetResults(), s.jobs.LocalResults)
			if e != nil {
				s.l.WithError(e).Info("bulrushd: another front that asked for results was lost")
			}
		case o.HasJob():
			e := jobrpc.ServeNotice(n, o.GetJob(), s.jobs.HandleNotice)
			if e != nil {
				s.l.WithError(e).Warn("bulrushd: notice of another front not answered")
			}
		}
	})
	if e != nil {
		s.l.WithError(e).Error("bulrushd: other fronts are not answered any more")
	}
}

// helpers returns the peer addresses of the fronts that the platform answers.
func (s *frontRole) helpers() []string {
	var l []string
	for _, n := range s.f.PeersWithPlatform(time.Now()) {
		a := s.roster.Address(n)
		if a != "" {
			l = append(l, a)
		}
	}
	return l
}

func (s *frontRole) stopTime() time.Duration {
	return time.Duration(s.n.GetStopSeconds()*float64(time.Second)) - exitTime
}

// ready says whether the front can serve: it knows the configuration and the
// backend servers. It stays ready while the platform is away.
func (s *frontRole) ready() bool {
	return s.direct.Table() != nil && s.hosts.HasSynced() && s.f.ServerCount() > 0
}

// drain finishes the batch jobs of a front that stops, while its requests in
// progress end.
func (s *frontRole) drain(done chan<- struct{}) {
	defer close(done)
	s.gossip.Leave()
	c, f := context.WithTimeout(context.Background(), s.stopTime()-releaseTime)
	defer f()
	s.jobs.Drain(c)
}

// rank returns the place of this front by name among the live ones that the
// platform answers.
func (s *frontRole) rank() int {
	n := 0
	for _, p := range s.f.PeersWithPlatform(time.Now()) {
		if p < s.self.GetName() {
			n++
		}
	}
	return n
}

// followConfig puts each new configuration in force until c ends.
func (s *frontRole) followConfig(c context.Context) {
	for {
		w := s.configs.Changed()
		o, k := s.configs.Get("current")
		if k {
			s.apply(o)
		}
		select {
		case <-w:
		case <-c.Done():
			return
		}
	}
}

func (s *frontRole) apply(o object.Object) {
	t := &wire.RouteTable{}
	e := o.Decode(t)
	if e != nil {
		s.l.WithError(e).Error("bulrushd: configuration is not readable, the one in force stays")
		return
	}
	r := rules.New(t)
	h := s.direct.Table()
	if h != nil && h.Version() >= r.Version() {
		return
	}
	s.direct.SetTable(r)
	s.jobs.ReapplyQuotas()
	s.l.WithField("config-version", r.Version()).Info("bulrushd: configuration in force")
}

// followHosts tells the fleet of each change of the registry until c ends.
func (s *frontRole) followHosts(c context.Context) {
	for {
		w := s.hosts.Changed()
		d := s.setServers()
		select {
		case <-w:
		case <-d:
		case <-c.Done():
			return
		}
	}
}

// setServers tells the fleet of the registry. It returns a channel that has a
// value when entries that lapsed must be looked at again; nil for never.
func (s *frontRole) setServers() <-chan time.Time {
	if !s.hosts.HasSynced() {
		return nil
	}
	var l []*wire.BackendServer
	k := map[string]*wire.BackendServer{}
	for n, o := range s.hosts.All() {
		b := &wire.BackendServer{}
		e := o.Decode(b)
		if e != nil {
			s.l.WithError(e).WithField("server", n).Warn("bulrushd: backend server left out, its entry is not readable")
			continue
		}
		l = append(l, b)
		k[n] = b
	}
	s.reportServers(k)
	w := time.Now()
	u := w
	o, e := s.hosts.Outage()
	if o {
		u = w.Add(fleet.ExpiryGrace)
	} else if !e.IsZero() {
		u = e.Add(fleet.ExpiryGrace)
	}
	a := s.f.SetServers(w, l, s.hosts.ConfirmedBeforeChange(), u)
	s.jobs.TriggerDispatch()
	if a.After(w) {
		return time.After(a.Sub(w) + time.Millisecond)
	}
	return nil
}

// reportServers logs how the registry has changed since the last call, and
// closes the idle connections to backend servers that are gone.
func (s *frontRole) reportServers(known map[string]*wire.BackendServer) {
	for n, b := range known {
		o := s.known[n]
		if o == nil || o.GetDraining() != b.GetDraining() || o.GetAddress() != b.GetAddress() {
			s.l.WithFields(log.Fields{
				"server": n, "service": b.GetService(), "address": b.GetAddress(), "draining": b.GetDraining(),
			}).Info("bulrushd: backend server listed")
		}
	}
	for n, o := range s.known {
		if b := known[n]; b == nil || b.GetAddress() != o.GetAddress() {
			s.pool.CloseIdle(o.GetAddress())
		}
		if known[n] == nil {
			s.l.WithField("server", n).Info("bulrushd: backend server no longer listed")
		}
	}
	s.known = known
}
