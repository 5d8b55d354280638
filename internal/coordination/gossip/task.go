package gossip

import (
	"cmp"
	"context"
	"math"
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
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/coordination/roster"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Longest time between datagrams.
	heartbeatInterval = 250 * time.Millisecond
	// Largest datagram in bytes.
	maxDatagramBytes = 60 << 10
	// How long a crash is told to the others.
	crashReportPeriod = 30 * time.Second
	// A front that was not heard for so long gets heartbeats only.
	heartbeatOnlyAfter = 5 * time.Second
	// For each so many fronts of a data centre, a front sends one heartbeat less
	// in turn to a far one, down to one in six: each then still hears each other
	// directly in 1.5 s.
	frontsPerRotationStep = 6
	maxRotation           = 6
)

// Task sends and receives the datagrams of one front.
type Task struct {
	conn    net.PacketConn
	self    *wire.Front
	fleet   *fleet.Fleet
	crashes *poison.Tracker
	fronts  *roster.Roster
	// Copies that are compared with those of the other fronts.
	configs, hosts *inform.Informer
	logger         log.Interface
	jobs           trail.Sharer
	wake           chan struct{}
	leaving        atomic.Bool
	sentDatagrams  prometheus.Counter
	startTime      time.Time
	// Used by the sending goroutine only.
	sequence uint64
	peers    []peer
	// The version of the roster that they are from.
	rosterVersion uint64
	// Fronts with an entry that had been silent at the last heartbeat.
	unheard []string
	// Fronts with a name before this one's.
	position int
	// Heartbeats so far.
	heartbeats int
	// When all near fronts were last told.
	lastBroadcast time.Time
	// What all fronts were last told.
	sentStatus status
}

// status is what all fronts hear of at the next heartbeat when it changes.
type status struct {
	leaving, troubled bool
	released, missed  uint32
}

// peer is another front to which datagrams go.
type peer struct {
	name    string
	address net.Addr
	// In the same data centre.
	local bool
}

// New starts a task that ends with c and closes n then. It wakes jobs after each
// datagram. When another front holds other objects than the informers of configs
// and hosts for a while, they are asked for a new list.
func New(ctx context.Context, conn net.PacketConn, self *wire.Front, fleet *fleet.Fleet, crashes *poison.Tracker, fronts *roster.Roster, configs, hosts *inform.Informer, logger log.Interface, registry prometheus.Registerer, jobs trail.Sharer) *Task {
	t := &Task{
		conn: conn, self: self, fleet: fleet, crashes: crashes, fronts: fronts, configs: configs, hosts: hosts, logger: logger, jobs: jobs, wake: make(chan struct{}, 1), startTime: time.Now(),
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

// TriggerSend sends the loads soon, because they have changed.
func (t *Task) TriggerSend() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Leave tells the others that this front takes no new work.
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
			// A change after a while is told at once.
			time.Sleep(t.fleet.CoalescingWindow() - time.Since(o))
		}
		t.expirePeers(b)
		t.broadcast(ctx, b)
		o = time.Now()
	}
}

// expirePeers forgets silent fronts and takes in new ones.
func (t *Task) expirePeers(onHeartbeat bool) {
	if !onHeartbeat {
		return
	}
	l := t.fleet.ExpirePeers(time.Now())
	for _, n := range l {
		t.logger.WithField("front", n).Warn("gossip: front went silent")
	}
	if len(l) > 0 {
		t.jobs.Wake()
		t.jobs.PeerLost()
	}
	t.updatePeers()
	t.unheard = t.silentPeers()
}

// updatePeers takes in the other fronts, if they have changed.
func (t *Task) updatePeers() {
	v := t.fronts.Version()
	if v == t.rosterVersion && t.peers != nil {
		return
	}
	t.rosterVersion = v
	t.peers = t.resolvePeers()
	t.position, _ = slices.BinarySearchFunc(t.peers, t.self.GetName(), func(a peer, n string) int { return cmp.Compare(a.name, n) })
}

// receivesChanges says whether a front hears of changes at once. In a large fleet those
// of other data centres hear of them by the heartbeat, since what all tell all
// grows with the square of their number.
func (t *Task) receivesChanges(to peer) bool { return to.local || !t.isLarge() }

// isLarge says whether the fronts of a data centre tell the others of all their
// loads together.
func (t *Task) isLarge() bool { return len(t.peers) > fleet.SmallFleetPeers }

// resolvePeers returns the other fronts in the order of their names.
func (t *Task) resolvePeers() []peer {
	var l []peer
	for n, f := range t.fronts.All() {
		if n == t.self.GetName() {
			continue
		}
		a, e := net.ResolveUDPAddr("udp", f.GetPeerAddress())
		if e != nil {
			t.logger.WithError(e).WithField("front", n).Warn("gossip: entry of a front has no address")
			continue
		}
		l = append(l, peer{name: n, address: a, local: f.GetDataCentre() == t.self.GetDataCentre()})
	}
	slices.SortFunc(l, func(a, b peer) int { return cmp.Compare(a.name, b.name) })
	return l
}

// broadcast sends the loads to the fronts that are due: with a change to those
// that hear of it at once, with a heartbeat to all whose turn it is.
func (t *Task) broadcast(ctx context.Context, onHeartbeat bool) {
	o := time.Now()
	// All hear of this, whoever's turn it is.
	u := onHeartbeat && t.statusChanged()
	// The last change has told the near ones.
	q := onHeartbeat && !u && o.Sub(t.lastBroadcast) < heartbeatInterval/2
	// The datagrams to near fronts and to far ones.
	var n, f []byte
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

// sendTo sends a datagram to a front, which is encoded for the first one. It
// returns the datagram. All says that it has the loads of the whole data centre.
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

// statusChanged says whether something has changed that all fronts must hear of.
func (t *Task) statusChanged() bool {
	s := t.currentStatus()
	d := s != t.sentStatus
	t.sentStatus = s
	return d
}

func (t *Task) currentStatus() status {
	return status{
		leaving: t.leaving.Load(), troubled: t.configs.Unavailable() || t.hosts.Unavailable(),
		released: t.jobs.Released(), missed: t.configs.MissedLists() + t.hosts.MissedLists(),
	}
}

// isDue says whether the front at an index gets this heartbeat. The more fronts a
// data centre has, the less often each of them tells those of other ones, which
// hear of it from its neighbours too.
func (t *Task) isDue(index int) bool {
	n := 1
	for _, a := range t.peers {
		if a.local {
			n++
		}
	}
	// Neighbours have places in a row, so that their turns differ.
	r := min(1+n/frontsPerRotationStep, maxRotation)
	return (index+t.position+t.heartbeats)%r == 0
}

// encode returns a datagram, to fronts of other data centres in a large fleet
// with the loads of the whole data centre.
func (t *Task) encode(now time.Time, totals bool) []byte {
	t.sequence++
	s := t.currentStatus()
	m := wire.Load_builder{
		Name: proto.String(t.self.GetName()), Incarnation: proto.Uint64(t.self.GetIncarnation()),
		DataCentre: proto.String(t.self.GetDataCentre()),
		Sequence:   proto.Uint64(t.sequence), Crashes: t.crashes.LocalCrashes(now.Add(-crashReportPeriod)),
		Leaving: &s.leaving, Released: &s.released, Missed: &s.missed, Troubled: &s.troubled,
		Configs: proto.Uint64(t.configs.Digest()), Hosts: proto.Uint64(t.hosts.Digest()),
		ConfigsAgeMs: ageMillis(t.configs), HostsAgeMs: ageMillis(t.hosts),
		QuotaPressed: proto.Bool(t.jobs.Pressed()),
	}
	if now.Sub(t.startTime) >= fleet.HeartbeatTimeout {
		// Before, all are unheard, and nobody is taken for lost by this one.
		m.Unheard = t.unheard
	}
	if totals {
		m.All = t.fleet.DataCentreLoad(now)
	} else {
		m.Servers = t.fleet.LocalLoads(now)
	}
	b, e := proto.Marshal(m.Build())
	if e != nil {
		t.logger.WithError(e).Error("gossip: loads not encoded")
	}
	return b
}

// ageMillis returns the age of a copy in milliseconds, nil before the first list.
func ageMillis(informer *inform.Informer) *uint32 {
	a, k := informer.Age()
	if !k {
		return nil
	}
	// Rounded up, so that nothing counts as newer than it is.
	return proto.Uint32(uint32(min(a.Milliseconds()+1, math.MaxUint32)))
}

// confirmCopies takes in that the copy of another front, if it holds the same objects,
// was up to date not long ago.
func (t *Task) confirmCopies(now time.Time, load *wire.Load) {
	if load.HasConfigsAgeMs() {
		t.configs.Confirm(load.GetConfigs(), now.Add(-time.Duration(load.GetConfigsAgeMs())*time.Millisecond))
	}
	if load.HasHostsAgeMs() {
		t.hosts.Confirm(load.GetHosts(), now.Add(-time.Duration(load.GetHostsAgeMs())*time.Millisecond))
	}
}

// silentPeers returns the fronts with an entry that have not been heard lately.
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
	// Jobs released, by front.
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
			t.logger.WithField("from", a.String()).Warn("gossip: datagram dropped, it is not a load of another front")
			continue
		}
		o := time.Now()
		if t.fleet.UpdatePeer(o, &l) {
			t.logger.WithFields(log.Fields{"front": l.GetName(), "incarnation": l.GetIncarnation()}).Info("gossip: front heard")
		}
		t.confirmCopies(o, &l)
		if len(l.GetCrashes()) > 0 {
			t.crashes.Merge(o, l.GetCrashes())
		}
		if l.GetReleased() != r[l.GetName()] {
			r[l.GetName()] = l.GetReleased()
			t.jobs.Reconcile()
		}
		if l.GetQuotaPressed() {
			t.jobs.Press()
		}
		if f.needsRefresh(o, &l, l.GetConfigs(), t.configs) {
			t.configs.Refresh()
		}
		if h.needsRefresh(o, &l, l.GetHosts(), t.hosts) {
			t.hosts.Refresh()
		}
		t.jobs.Wake()
	}
}
