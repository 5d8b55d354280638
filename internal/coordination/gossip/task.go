package gossip

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/crash"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/paths"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/coordination/roster"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A front sends a datagram at least this often.
	heartbeatInterval = 250 * time.Millisecond
	// Size of the receive buffer. Longer datagrams are truncated.
	maxDatagramBytes = 60 << 10
	// A front from which nothing was received for this long is sent heartbeats
	// only.
	heartbeatOnlyAfter = 5 * time.Second
	// A front of another data centre gets one in r heartbeats of each front. r
	// grows by one for every frontsPerRotationStep fronts of the local data
	// centre, up to maxRotation: then each front still receives a datagram of
	// each other front within 1.5 s.
	frontsPerRotationStep = 6
	maxRotation           = 6
)

// Task sends and receives the datagrams of one front.
type Task struct {
	conn    net.PacketConn
	self    *wire.Front
	fleet   *fleet.Fleet
	crashes *crash.Record
	fronts  *roster.Roster
	// Copies whose digests are compared with those of the other fronts.
	configs, hosts *inform.Informer
	logger         log.Interface
	jobs           trail.WorkSharer
	granter        trail.PermitGranter
	permits        replies[*wire.PermitReply]
	rates          trail.RateCounter
	rateReplies    replies[*wire.RateReply]
	streams        *resume.Record
	streamReplies  replies[*wire.StreamReply]
	builds         *builds.Keeper
	paths          *paths.Monitor
	wake           chan struct{}
	leaving        atomic.Bool
	sentDatagrams  prometheus.Counter
	startTime      time.Time

	// The fields below are used by the sending goroutine only.

	// Sequence number of the last datagram.
	sequence uint64
	// Sorted by name.
	peers []peer
	// Version of the roster from which peers were resolved.
	rosterVersion uint64
	// Registered fronts that were silent at the last heartbeat.
	unheard []string
	// Index of this front among all fronts, sorted by name.
	position int
	// Number of heartbeats sent.
	heartbeats int
	// Time of the last broadcast to the fronts that get changes immediately.
	lastBroadcast time.Time
	// The broadcast goes only to fronts that have been silent. It takes no samples, which
	// are sent once.
	heartbeatOnly bool
	// Status as of the last heartbeat.
	sentStatus status
	// Reports of the crash evidence and of the limits of backend servers.
	crashReport, limitReport changeReport

	// Used by the receiving goroutine only.
	dropped droppedDatagrams
}

// status is the part of the state of which a change is sent to all fronts with
// the next heartbeat.
type status struct {
	leaving, troubled bool
	cutOff            bool
	countsRates       bool
	released, missed  uint32
	crashes           uint64
}

// peer is another front that datagrams are sent to.
type peer struct {
	name    string
	address net.Addr
	// In the same data centre.
	local bool
}

// New starts a task that runs until ctx ends, and then closes conn. It wakes
// jobs after each datagram received. It asks the informers of configs and hosts
// for a new list when their digest and that of another front differ for longer
// than a change takes to propagate. granter answers the other fronts' requests for
// permits, rates those of teams with a rate limit, and streams their questions.
func New(ctx context.Context, conn net.PacketConn, self *wire.Front, fleet *fleet.Fleet, crashes *crash.Record, fronts *roster.Roster, configs, hosts *inform.Informer, logger log.Interface, registry prometheus.Registerer, jobs trail.WorkSharer, granter trail.PermitGranter, rates trail.RateCounter, streams *resume.Record, builds *builds.Keeper, paths *paths.Monitor) *Task {
	t := &Task{
		conn: conn, self: self, fleet: fleet, crashes: crashes, fronts: fronts, configs: configs, hosts: hosts, logger: logger, jobs: jobs, granter: granter, rates: rates, streams: streams, builds: builds, paths: paths, wake: make(chan struct{}, 1), startTime: time.Now(),
		sentDatagrams: promauto.With(registry).NewCounter(prometheus.CounterOpts{
			Name: "bulrushtrail_load_datagrams_total",
			Help: "Datagrams with loads sent to other fronts.",
		}),
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go t.receiveLoop(ctx)
	go t.sendLoop(ctx)
	return t
}

// TriggerSend schedules a broadcast after a change of the state. Changes within
// the coalescing window share one broadcast.
func (t *Task) TriggerSend() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Leave announces to the other fronts that this one accepts no new work.
func (t *Task) Leave() {
	t.leaving.Store(true)
	t.TriggerSend()
}

func (t *Task) sendLoop(ctx context.Context) {
	h := time.NewTicker(heartbeatInterval)
	defer h.Stop()
	var o time.Time
	for {
		b := false
		select {
		case <-ctx.Done():
			return
		case <-h.C:
			b = true
		case <-t.wake:
			// Coalesces changes. If the last broadcast (o) is longer ago than
			// the window, the change is sent immediately.
			time.Sleep(t.fleet.CoalescingWindow() - time.Since(o))
		}
		t.expirePeers(b)
		t.broadcast(ctx, b)
		o = time.Now()
	}
}

// expirePeers removes the loads of fronts that have gone silent, and updates the
// list of peers. It does nothing between heartbeats.
func (t *Task) expirePeers(onHeartbeat bool) {
	if !onHeartbeat {
		return
	}
	l := t.fleet.ExpirePeers(time.Now())
	for _, n := range l {
		t.logger.WithField("front", n).Warn("gossip: front went silent")
	}
	if len(l) > 0 {
		t.jobs.TriggerDispatch()
		t.jobs.HandlePeerLost(l)
	}
	t.updatePeers()
	t.unheard = t.silentPeers()
}

// updatePeers resolves the peers anew if the roster has changed.
func (t *Task) updatePeers() {
	v := t.fronts.Version()
	if v == t.rosterVersion && t.peers != nil {
		return
	}
	t.rosterVersion = v
	t.peers = t.resolvePeers()
	t.position, _ = slices.BinarySearchFunc(t.peers, t.self.GetName(), func(a peer, n string) int { return cmp.Compare(a.name, n) })
}

// receivesChanges reports whether changes are sent to a front immediately. In a
// large fleet, fronts of other data centres receive them with the heartbeats
// only, since the number of datagrams between all pairs of fronts grows with the
// square of the number of fronts.
func (t *Task) receivesChanges(to peer) bool { return to.local || !t.isLarge() }

// isLarge reports whether the fleet is so large that datagrams to other data
// centres hold the total loads of the sender's data centre.
func (t *Task) isLarge() bool { return len(t.peers) > fleet.SmallFleetPeers }

// resolvePeers returns the other fronts of the roster, sorted by name.
func (t *Task) resolvePeers() []peer {
	var l []peer
	for n, f := range t.fronts.All() {
		if n == t.self.GetName() {
			continue
		}
		a, e := net.ResolveUDPAddr("udp", f.GetPeerAddress())
		if e != nil {
			t.logger.WithError(e).WithField("front", n).Warn("gossip: peer address of front not resolved, no datagrams are sent to it")
			continue
		}
		l = append(l, peer{name: n, address: a, local: f.GetDataCentre() == t.self.GetDataCentre()})
	}
	slices.SortFunc(l, func(a, b peer) int { return cmp.Compare(a.name, b.name) })
	return l
}

// broadcast sends datagrams: after a change to the fronts that receive changes
// immediately, on a heartbeat also to the others whose turn it is.
func (t *Task) broadcast(ctx context.Context, onHeartbeat bool) {
	o := time.Now()
	// A change of the status is sent to all fronts, regardless of turns.
	u := onHeartbeat && t.statusChanged()
	// Fronts that receive changes were sent a datagram shortly before.
	q := onHeartbeat && !u && o.Sub(t.lastBroadcast) < heartbeatInterval/2
	// The datagrams with the loads of this front and with those of its data
	// centre, nil until the first one is encoded.
	var n, f []byte
	t.heartbeatOnly = q
	for i, x := range t.peers {
		k := t.fleet.ReceivedWithin(o, x.name, heartbeatOnlyAfter)
		switch {
		case !t.receivesChanges(x):
			if onHeartbeat && (u || t.isDue(i) || slices.Contains(t.unheard, x.name)) {
				f = t.sendTo(ctx, f, x, true)
			}
		case k && !q, !k && onHeartbeat:
			n = t.sendTo(ctx, n, x, false)
		}
	}
	if !q {
		t.lastBroadcast = o
	}
	if onHeartbeat {
		t.heartbeats++
	}
}

// sendTo sends a datagram to a front and returns it. A nil datagram is encoded
// first, with the loads of the whole data centre if totals is set.
func (t *Task) sendTo(ctx context.Context, datagram []byte, to peer, totals bool) []byte {
	if datagram == nil {
		datagram = t.encode(time.Now(), totals)
	}
	t.sentDatagrams.Inc()
	_, e := t.conn.WriteTo(datagram, to.address)
	if e != nil && ctx.Err() == nil {
		t.logger.WithError(e).WithField("front", to.name).Debug("gossip: datagram not sent")
	}
	return datagram
}

// statusChanged reports whether the status differs from that of the last
// heartbeat, and records the current one as sent.
func (t *Task) statusChanged() bool {
	s := t.currentStatus()
	d := s != t.sentStatus
	t.sentStatus = s
	return d
}

func (t *Task) currentStatus() status {
	return status{
		leaving: t.leaving.Load(), troubled: t.configs.Unavailable() || t.hosts.Unavailable(),
		released: t.jobs.ReleaseCount(), missed: t.configs.MissedLists() + t.hosts.MissedLists(),
		crashes: t.crashes.Changes(), cutOff: t.paths.Lost(),
		countsRates: t.fleet.CountsRates(time.Now()),
	}
}

// isDue reports whether the peer at an index gets this heartbeat. The more fronts
// the local data centre has, the less often each of them sends to a front of
// another one, which receives the loads of the data centre from the others too.
func (t *Task) isDue(index int) bool {
	n := 1
	for _, a := range t.peers {
		if a.local {
			n++
		}
	}
	// Fronts that are adjacent in the sort order send to a peer on different
	// heartbeats.
	r := min(1+n/frontsPerRotationStep, maxRotation)
	return (index+t.position+t.heartbeats)%r == 0
}

// silentPeers returns the registered fronts from which no datagram was received
// within fleet.HeartbeatTimeout.
func (t *Task) silentPeers() []string {
	o := time.Now()
	var l []string
	for _, a := range t.peers {
		if !t.fleet.ReceivedWithin(o, a.name, fleet.HeartbeatTimeout) {
			l = append(l, a.name)
		}
	}
	return l
}

func (t *Task) receiveLoop(ctx context.Context) {
	b := make([]byte, maxDatagramBytes)
	f, h := newDigestTracker(), newDigestTracker()
	// Number of released jobs as last reported, by front.
	r := map[string]uint32{}
	for {
		n, a, e := t.conn.ReadFrom(b)
		if ctx.Err() != nil {
			return
		}
		if e != nil {
			if errors.Is(e, net.ErrClosed) {
				t.logger.WithError(e).Error("gossip: socket closed")
				return
			}
			continue
		}
		var l wire.Load
		e = proto.Unmarshal(b[:n], &l)
		if e != nil || l.GetName() == "" || l.GetName() == t.self.GetName() {
			t.dropped.log(t.logger, time.Now(), a)
			continue
		}
		if t.handleMessage(&l, a) {
			continue
		}
		o := time.Now()
		if t.fleet.UpdatePeer(o, &l) {
			t.logger.WithFields(log.Fields{"front": l.GetName(), "incarnation": l.GetIncarnation()}).Info("gossip: front heard")
		}
		t.confirmCopies(o, &l)
		if l.HasCrashes() {
			t.crashes.Merge(o, l.GetCrashes())
		}
		t.fleet.MergeLimits(o, l.GetLimits())
		t.fleet.MergeSamples(o, l.GetSamples())
		t.streams.Merge(o, l.GetStreams())
		if l.HasRecordedVersions() {
			t.builds.Confirm(o, l.GetRecordedVersions())
		}
		if l.GetReleased() != r[l.GetName()] {
			r[l.GetName()] = l.GetReleased()
			t.jobs.TriggerReconcile()
		}
		if l.GetQuotaPressed() {
			t.jobs.MarkPeerQuotaNearLimit()
		}
		if f.needsRefresh(o, &l, l.GetConfigs(), t.configs) {
			t.configs.Refresh()
		}
		if h.needsRefresh(o, &l, l.GetHosts(), t.hosts) {
			t.hosts.Refresh()
		}
		t.jobs.TriggerDispatch()
	}
}
