package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/coordination/budget"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/crash"
	"bulrushtrail.example/trail/internal/coordination/direct"
	"bulrushtrail.example/trail/internal/coordination/fanout"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/gossip"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/jobrpc"
	"bulrushtrail.example/trail/internal/coordination/limit"
	"bulrushtrail.example/trail/internal/coordination/member"
	"bulrushtrail.example/trail/internal/coordination/paths"
	"bulrushtrail.example/trail/internal/coordination/permit"
	"bulrushtrail.example/trail/internal/coordination/proxy"
	"bulrushtrail.example/trail/internal/coordination/relay"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/coordination/roster"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/internal/transport/mesh"
	"bulrushtrail.example/trail/internal/transport/pool"
	api "bulrushtrail.example/trail/platform/front"
)

const (
	// Time during which requests are still accepted after readiness fails. The
	// load balancer removes a host after two failed checks one second apart.
	drainDelay = 2400 * time.Millisecond
	// Part of the stop-seconds setting that is reserved for the exit of the
	// process after the drain.
	exitReserve = 600 * time.Millisecond
	// Part of the stop timeout that is reserved for cancelling the batch runs
	// that have not ended and handing over their jobs.
	jobReleaseReserve = 1300 * time.Millisecond
	// Last part of the stop timeout, in which requests that have not ended are
	// answered.
	answerReserve = 200 * time.Millisecond
	// Interval between two looks at the attempts of other fronts during a stop.
	proxiedPollInterval = 20 * time.Millisecond
	// Name of the object that holds the configuration.
	currentConfig = "current"
	// Fronts of each data centre that are asked for a stream.
	askedFronts = 2
)

// frontRole holds the components of a running front.
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
	builds  *builds.Keeper
	streams *resume.Record
	direct  *direct.Server
	jobs    *batch.Jobs
	api     *httpd.Server
	// Bounds what this front holds for its callers.
	clients *budget.Budget
	// Connections to backend servers.
	pool  *pool.Pool
	paths *paths.Monitor
	proxy *proxy.Upstream
	// Held while a configuration is put in force.
	configLock sync.Mutex
	// Backend servers of the last call of logServerChanges, by id.
	lastServers map[string]*wire.BackendServer
}

// runFront serves callers until ctx is cancelled, and then shuts down gracefully.
func runFront(ctx context.Context, process *process) error {
	a, e := net.Listen("tcp", process.settings.GetApiAddress())
	if e != nil {
		return errors.Wrap(e, "listen for callers")
	}
	b, e := net.Listen("tcp", process.settings.GetReadyAddress())
	if e != nil {
		return errors.Wrap(e, "listen for readiness checks")
	}
	n, e := net.ListenPacket("udp", process.peerAddress())
	if e != nil {
		return errors.Wrap(e, "listen for gossip datagrams")
	}
	r, e := net.Listen("tcp", process.peerAddress())
	if e != nil {
		return errors.Wrap(e, "listen for connections of other fronts")
	}
	// Cancelled once the graceful shutdown has finished.
	l, f := context.WithCancel(context.WithoutCancel(ctx))
	defer f()
	s := newFront(l, process, n)
	m := member.New(l, process.store, s.self, process.logger)
	process.serveHTTP(l, "ready", b, api.Ready(s.api.Ready))
	process.serveMetrics(l, s.api)
	go s.servePeers(l, r)
	go s.configs.Relist(l, s.rank, s.gossip.TriggerSend)
	go s.hosts.Relist(l, s.rank, s.gossip.TriggerSend)
	go s.builds.Run(l)
	go s.watchConfig(l)
	go s.watchHosts(l)
	if process.settings.GetLearnCapacity() {
		go s.reportEstimates(l)
	}
	d := make(chan struct{})
	context.AfterFunc(ctx, func() { s.drain(d) })
	e = s.api.Serve(ctx, a)
	if ctx.Err() == nil {
		return errors.Wrap(e, "serve callers")
	}
	<-d
	m.Remove(l)
	return e
}

func newFront(ctx context.Context, process *process, peerConn net.PacketConn) *frontRole {
	s := &frontRole{process: process}
	s.self = wire.Front_builder{
		Name: proto.String(process.settings.GetName()), Incarnation: &process.incarnation,
		DataCentre: proto.String(process.settings.GetDataCentre()), PeerAddress: proto.String(process.peerAddress()),
	}.Build()
	s.fleet = fleet.New(process.settings.GetName(), process.settings.GetDataCentre())
	if process.settings.GetLearnCapacity() {
		s.fleet.LearnCapacity()
	}
	s.paths = paths.New(ctx, process.backendDialer(), s.fleet.SampleAddresses, s.applyPathChange, process.logger)
	s.pool = pool.New(s.paths, process.registry)
	q := crash.New(process.settings.GetName())
	// The components refer to each other. The callbacks read the fields of s
	// when they are called, and all fields are set before the first request.
	s.mesh = mesh.New(ctx, wire.Hello_builder{
		MemberId: proto.String(process.settings.GetName()), DataCentre: proto.String(process.settings.GetDataCentre()),
		Incarnation: &process.incarnation, Role: &process.role,
	}.Build(), process.dialer, process.logger)
	s.fanout = fanout.New(process.store, process.settings.GetName(), member.Kind, s.mesh, process.logger)
	// Configurations may be large, so every front watches them at the platform
	// instead of receiving them from another front. One that the platform turns away
	// lists them through another front when that one has a newer version.
	s.configs = inform.New(ctx, process.store, "configs", process.logger)
	s.hosts = s.newSharedInformer(ctx, "hosts")
	s.roster = roster.New(s.self, s.newSharedInformer(ctx, member.Kind), s.fleet, process.logger)
	s.fanout.SetWatchers(s.roster.Watchers, s.roster.Address)
	s.clients = process.newCallerBudget()
	s.proxy = proxy.New(s.connect, s.paths, s.mesh, s.connectedPeers, s.reportsProcess, s.recordNotice, process.logger, process.registry)
	s.proxy.ShareRoom(s.clients)
	u := permit.New(process.settings.GetName(), s.fleet, s.proxy, s, process.logger, process.registry)
	s.relay = relay.New(process.store, s.mesh, s.relayPeers, s.hosts.Refresh, process.logger)
	s.configs.SetFallback(s.relay)
	s.configs.SetCheck(checkConfig)
	s.builds = builds.New(s.relay, s.fleet, s.resumableServices, s.rank, process.logger)
	s.streams = resume.New(s.builds, s, func() []string { return s.fleet.Sample(time.Now(), askedFronts) })
	s.direct = direct.New(s.fleet, q, s.streams, s.builds, u, process.bufferBytes(), process.logger, process.registry, func() { s.gossip.TriggerSend() }, func(id string) { s.jobs.Yield(id) })
	t := limit.New(process.settings.GetName(), s.fleet, s, process.logger, process.registry)
	s.direct.SetRateLimits(t)
	s.direct.ShareRoom(s.clients)
	s.jobs = batch.New(ctx, s.self, s.relay, jobrpc.New(s.mesh, s.addressOf), s.fleet, u, s, process.settings.GetValueBytes(), process.bufferBytes(), process.logger, process.registry, func() { s.gossip.TriggerSend() })
	s.jobs.LimitItems(process.itemBytes())
	s.gossip = gossip.New(ctx, peerConn, s.self, s.fleet, q, s.roster, s.configs, s.hosts, process.logger, process.registry, s.jobs, u, t, s.streams, s.builds, s.paths)
	s.api = httpd.New(api.New(s.direct, s.jobs, process.logger, process.registry, func() (time.Time, bool) { return s.api.DrainEnd() }), process.logger, process.registry, httpd.WithAnswerReserve(answerReserve),
		httpd.WithTimeouts(s.callerTimeouts), httpd.WithClientBudget(s.clients), httpd.WithReadinessCheck(s.ready), httpd.WithDrainDelay(drainDelay), httpd.WithDrainTimeout(s.stopTimeout()-drainDelay))
	return s
}

// AskPermit implements trail.PermitAsker for the components that are created
// before the gossip task.
func (s *frontRole) AskPermit(ctx context.Context, front string, request *wire.PermitRequest) (*wire.PermitReply, error) {
	return s.gossip.AskPermit(ctx, front, request)
}

// AskRate implements trail.RateAsker in the same way.
func (s *frontRole) AskRate(ctx context.Context, front string, request *wire.RateRequest) (*wire.RateReply, error) {
	return s.gossip.AskRate(ctx, front, request)
}

// AskStream implements trail.StreamAsker in the same way.
func (s *frontRole) AskStream(ctx context.Context, front string, query *wire.StreamQuery) (*wire.StreamReply, error) {
	return s.gossip.AskStream(ctx, front, query)
}

// resumableServices returns the services with streams that may be resumed.
func (s *frontRole) resumableServices() []string {
	t := s.direct.Table()
	if t == nil {
		return nil
	}
	return t.ResumableServices()
}

// newSharedInformer returns an informer for a kind whose changes the fronts
// forward to each other, so that only some of them watch the platform.
func (s *frontRole) newSharedInformer(ctx context.Context, kind string) *inform.Informer {
	i := inform.New(ctx, s.fanout, kind, s.logger)
	s.fanout.Share(kind, i)
	return i
}

// callerTimeouts returns the header and idle timeouts of the configuration in
// force, or zero if there is none yet.
func (s *frontRole) callerTimeouts() (header, idle time.Duration) {
	t := s.direct.Table()
	if t == nil {
		return 0, 0
	}
	l := t.Limits()
	return time.Duration(l.GetHeaderMs()) * time.Millisecond, time.Duration(l.GetIdleMs()) * time.Millisecond
}

// servePeers serves streams of other fronts until ctx is cancelled.
func (s *frontRole) servePeers(ctx context.Context, listener net.Listener) {
	e := s.mesh.Serve(ctx, listener, func(ctx context.Context, stream *frame.Stream, open *wire.Open, _ *wire.Hello) {
		switch {
		case open.HasStore():
			s.relay.ServeCall(ctx, stream, open.GetStore())
		case open.HasProxy():
			s.proxy.Serve(ctx, stream, open.GetProxy())
		case open.HasFollow():
			s.fanout.Serve(ctx, stream, open.GetFollow())
		case open.HasResults():
			e := jobrpc.ServeResults(ctx, stream, open.GetResults(), s.jobs.LocalResults)
			if e != nil {
				s.logger.WithError(e).Info("bulrushd: job results could not be sent to another front")
			}
		case open.HasJob():
			e := jobrpc.ServeNotice(stream, open.GetJob(), s.jobs.HandleNotice)
			if e != nil {
				s.logger.WithError(e).Warn("bulrushd: job notice of another front could not be answered")
			}
		}
	})
	if e != nil {
		s.logger.WithError(e).Error("bulrushd: peer listener failed, other fronts are no longer served")
	}
}

// relayPeers returns the peer addresses of the fronts that can reach the
// platform. Calls are relayed through them when this front cannot.
func (s *frontRole) relayPeers() []string { return s.addresses(s.fleet.PeersWithPlatform(time.Now())) }

// connectedPeers returns the peer addresses of the fronts that can reach the
// backend servers. Requests are sent through them when this front cannot.
func (s *frontRole) connectedPeers() []string { return s.addresses(s.fleet.ConnectedPeers(time.Now())) }

// addressOf returns the peer address of a front, empty if unknown. A front that this
// one's copy of the registrations lacks is looked up at the platform, through another
// front while the platform does not answer: the copy may be old.
func (s *frontRole) addressOf(ctx context.Context, front string) string {
	a := s.roster.Address(front)
	if a != "" {
		return a
	}
	f := &wire.Front{}
	o, e := s.relay.Get(ctx, member.Kind, front)
	if e == nil {
		e = o.Decode(f)
	}
	s.logger.WithFields(log.Fields{"front": front, "address": f.GetPeerAddress(), "failed": e != nil}).Info("bulrushd: front that is not listed was looked up")
	return f.GetPeerAddress()
}

// addresses returns the peer addresses of fronts.
func (s *frontRole) addresses(fronts []string) []string {
	var l []string
	for _, n := range fronts {
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

// ready reports whether the front can serve requests, that is, whether it has a
// configuration and at least one backend server. An outage of the platform does
// not make it unready.
func (s *frontRole) ready() bool {
	return s.direct.Table() != nil && s.hosts.HasSynced() && s.fleet.ServerCount() > 0
}

// drain completes or hands over the batch jobs of this front and then closes
// done. Online requests in progress finish at the same time.
func (s *frontRole) drain(done chan<- struct{}) {
	defer close(done)
	s.fleet.SetLeaving()
	s.gossip.Leave()
	c, f := context.WithTimeout(context.Background(), s.stopTimeout()-jobReleaseReserve)
	defer f()
	s.jobs.Drain(c)
	s.finishProxied(c)
}

// finishProxied waits until the attempts of other fronts that go through this one
// have ended, or ctx ends.
func (s *frontRole) finishProxied(ctx context.Context) {
	t := time.NewTicker(proxiedPollInterval)
	defer t.Stop()
	for s.proxy.Active() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// rank returns the position of this front, ordered by name, among the live
// fronts that can reach the platform.
func (s *frontRole) rank() int {
	n := 0
	for _, p := range s.fleet.PeersWithPlatform(time.Now()) {
		if p < s.self.GetName() {
			n++
		}
	}
	return n
}
