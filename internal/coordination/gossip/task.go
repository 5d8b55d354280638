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
	heartbeat = 250 * time.Millisecond
	// Largest datagram in bytes.
	maxDatagram = 60 << 10
	// How long a crash is told to the others.
	crashAge = 30 * time.Second
	// A front that was not heard for so long gets heartbeats only.
	quiet = 5 * time.Second
	// For each so many fronts of a data centre, a front sends one heartbeat less
	// in turn to a far one, down to one in six: each then still hears each other
	// directly in 1.5 s.
	neighbours  = 6
	maxRotation = 6
)

// Task sends and receives the datagrams of one front.
type Task struct {
	n      net.PacketConn
	self   *wire.Front
	f      *fleet.Fleet
	p      *poison.Record
	fronts *roster.Roster
	// Copies that are compared with those of the other fronts.
	configs, hosts *inform.Informer
	l              log.Interface
	jobs           trail.Sharer
	wake           chan struct{}
	leaving        atomic.Bool
	sent           prometheus.Counter
	born           time.Time
	// Used by the sending goroutine only.
	sequence  uint64
	addresses []target
	// The version of the roster that they are from.
	rosterVersion uint64
	// Fronts with an entry that had been silent at the last heartbeat.
	unheard []string
	// Fronts with a name before this one's.
	place int
	// Heartbeats so far.
	beats int
	// When all near fronts were last told.
	told time.Time
	// What all fronts were last told.
	state state
}

// state is what all fronts hear of at the next heartbeat when it changes.
type state struct {
	leaving, troubled bool
	released, missed  uint32
}

// target is another front to which datagrams go.
type target struct {
	name    string
	address net.Addr
	// In the same data centre.
	near bool
}

// New starts a task that ends with c and closes n then. It wakes jobs after each
// datagram. When another front holds other objects than the informers of configs
// and hosts for a while, they are asked for a new list.
func New(c context.Context, n net.PacketConn, self *wire.Front, f *fleet.Fleet, p *poison.Record, fronts *roster.Roster, configs, hosts *inform.Informer, l log.Interface, r prometheus.Registerer, jobs trail.Sharer) *Task {
	t := &Task{
		n: n, self: self, f: f, p: p, fronts: fronts, configs: configs, hosts: hosts, l: l, jobs: jobs, wake: make(chan struct{}, 1), born: time.Now(),
		sent: promauto.With(r).NewCounter(prometheus.CounterOpts{
			Name: "bulrushtrail_load_datagrams_total",
			Help: "Datagrams with loads sent to other fronts.",
		}),
	}
	context.AfterFunc(c, func() { _ = n.Close() })
	go t.receive(c)
	go t.send(c)
	return t
}

// Wake sends the loads soon, because they have changed.
func (t *Task) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Leave tells the others that this front takes no new work.
func (t *Task) Leave() {
	t.leaving.Store(true)
	t.Wake()
}

func (t *Task) send(c context.Context) {
	h := time.NewTicker(heartbeat)
	defer h.Stop()
	var o time.Time
	for {
		b := false
		select {
		case <-c.Done():
			return
		case <-h.C:
			b = true
		case <-t.wake:
			// A change after a while is told at once.
			time.Sleep(t.f.GatherTime() - time.Since(o))
		}
		t.expire(b)
		t.broadcast(c, b)
		o = time.Now()
	}
}

// expire forgets silent fronts and takes in new ones.
func (t *Task) expire(heartbeat bool) {
	if !heartbeat {
		return
	}
	l := t.f.Expire(time.Now())
	for _, n := range l {
		t.l.WithField("front", n).Warn("gossip: front went silent")
	}
	if len(l) > 0 {
		t.jobs.Wake()
		t.jobs.PeerLost()
	}
	t.aim()
	t.unheard = t.silent()
}

// aim takes in the other fronts, if they have changed.
func (t *Task) aim() {
	v := t.fronts.Version()
	if v == t.rosterVersion && t.addresses != nil {
		return
	}
	t.rosterVersion = v
	t.addresses = t.targets()
	t.place, _ = slices.BinarySearchFunc(t.addresses, t.self.GetName(), func(a target, n string) int { return cmp.Compare(a.name, n) })
}

// direct says whether a front hears of changes at once. In a large fleet those
// of other data centres hear of them by the heartbeat, since what all tell all
// grows with the square of their number.
func (t *Task) direct(a target) bool { return a.near || !t.large() }

// large says whether the fronts of a data centre tell the others of all their
// loads together.
func (t *Task) large() bool { return len(t.addresses) > fleet.SmallFleet }

// targets returns the other fronts in the order of their names.
func (t *Task) targets() []target {
	var l []target
	for n, f := range t.fronts.All() {
		if n == t.self.GetName() {
			continue
		}
		a, e := net.ResolveUDPAddr("udp", f.GetPeerAddress())
		if e != nil {
			t.l.WithError(e).WithField("front", n).Warn("gossip: entry of a front has no address")
			continue
		}
		l = append(l, target{name: n, address: a, near: f.GetDataCentre() == t.self.GetDataCentre()})
	}
	slices.SortFunc(l, func(a, b target) int { return cmp.Compare(a.name, b.name) })
	return l
}

// broadcast sends the loads to the fronts that are due: with a change to those
// that hear of it at once, with a heartbeat to all whose turn it is.
func (t *Task) broadcast(c context.Context, beat bool) {
	o := time.Now()
	// All hear of this, whoever's turn it is.
	u := beat && t.changed()
	// The last change has told the near ones.
	q := beat && !u && o.Sub(t.told) < heartbeat/2
	// The datagrams to near fronts and to far ones.
	var n, f []byte
	for i, x := range t.addresses {
		k := t.f.Heard(o, x.name, quiet)
		switch {
		case !t.direct(x):
			if beat && (u || t.turn(i) || slices.Contains(t.unheard, x.name)) {
				f = t.write(c, f, x, true)
			}
		case k && !q, !k && beat:
			n = t.write(c, n, x, false)
		}
	}
	if !q {
		t.told = o
	}
	if beat {
		t.beats++
	}
}

// write sends a datagram to a front, which is encoded for the first one. It
// returns the datagram. All says that it has the loads of the whole data centre.
func (t *Task) write(c context.Context, b []byte, a target, all bool) []byte {
	if b == nil {
		b = t.encode(time.Now(), all)
	}
	t.sent.Inc()
	_, e := t.n.WriteTo(b, a.address)
	if e != nil && c.Err() == nil {
		t.l.WithError(e).WithField("front", a.name).Debug("gossip: datagram not sent")
	}
	return b
}

// changed says whether something has changed that all fronts must hear of.
func (t *Task) changed() bool {
	s := t.present()
	d := s != t.state
	t.state = s
	return d
}

func (t *Task) present() state {
	return state{
		leaving: t.leaving.Load(), troubled: t.configs.Troubled() || t.hosts.Troubled(),
		released: t.jobs.Released(), missed: t.configs.Missed() + t.hosts.Missed(),
	}
}

// turn says whether the front at an index gets this heartbeat. The more fronts a
// data centre has, the less often each of them tells those of other ones, which
// hear of it from its neighbours too.
func (t *Task) turn(index int) bool {
	n := 1
	for _, a := range t.addresses {
		if a.near {
			n++
		}
	}
	// Neighbours have places in a row, so that their turns differ.
	r := min(1+n/neighbours, maxRotation)
	return (index+t.place+t.beats)%r == 0
}

// encode returns a datagram, to fronts of other data centres in a large fleet
// with the loads of the whole data centre.
func (t *Task) encode(now time.Time, all bool) []byte {
	t.sequence++
	s := t.present()
	m := wire.Load_builder{
		Name: proto.String(t.self.GetName()), Incarnation: proto.Uint64(t.self.GetIncarnation()),
		DataCentre: proto.String(t.self.GetDataCentre()),
		Sequence:   proto.Uint64(t.sequence), Crashes: t.p.Crashes(now.Add(-crashAge)),
		Leaving: &s.leaving, Released: &s.released, Missed: &s.missed, Troubled: &s.troubled,
		Configs: proto.Uint64(t.configs.Digest()), Hosts: proto.Uint64(t.hosts.Digest()),
		ConfigsAgeMs: age(t.configs), HostsAgeMs: age(t.hosts),
		QuotaPressed: proto.Bool(t.jobs.Pressed()),
	}
	if now.Sub(t.born) >= fleet.HearTime {
		// Before, all are unheard, and nobody is taken for lost by this one.
		m.Unheard = t.unheard
	}
	if all {
		m.All = t.f.All(now)
	} else {
		m.Servers = t.f.Loads(now)
	}
	b, e := proto.Marshal(m.Build())
	if e != nil {
		t.l.WithError(e).Error("gossip: loads not encoded")
	}
	return b
}

// age returns the age of a copy in milliseconds, nil before the first list.
func age(i *inform.Informer) *uint32 {
	a, k := i.Age()
	if !k {
		return nil
	}
	// Rounded up, so that nothing counts as newer than it is.
	return proto.Uint32(uint32(min(a.Milliseconds()+1, math.MaxUint32)))
}

// confirm takes in that the copy of another front, if it holds the same objects,
// was up to date not long ago.
func (t *Task) confirm(now time.Time, l *wire.Load) {
	if l.HasConfigsAgeMs() {
		t.configs.Confirm(l.GetConfigs(), now.Add(-time.Duration(l.GetConfigsAgeMs())*time.Millisecond))
	}
	if l.HasHostsAgeMs() {
		t.hosts.Confirm(l.GetHosts(), now.Add(-time.Duration(l.GetHostsAgeMs())*time.Millisecond))
	}
}

// silent returns the fronts with an entry that have not been heard lately.
func (t *Task) silent() []string {
	o := time.Now()
	var l []string
	for _, a := range t.addresses {
		if !t.f.Heard(o, a.name, fleet.HearTime) {
			l = append(l, a.name)
		}
	}
	return l
}

func (t *Task) receive(c context.Context) {
	b := make([]byte, maxDatagram)
	f, h := newComparison(), newComparison()
	// Jobs released, by front.
	r := map[string]uint32{}
	for {
		n, a, e := t.n.ReadFrom(b)
		if c.Err() != nil {
			return
		}
		if e != nil {
			if errors.Is(e, net.ErrClosed) {
				t.l.WithError(e).Error("gossip: socket closed")
				return
			}
			continue
		}
		var l wire.Load
		e = proto.Unmarshal(b[:n], &l)
		if e != nil || l.GetName() == "" || l.GetName() == t.self.GetName() {
			t.l.WithField("from", a.String()).Warn("gossip: datagram dropped, it is not a load of another front")
			continue
		}
		o := time.Now()
		if t.f.SetPeer(o, &l) {
			t.l.WithFields(log.Fields{"front": l.GetName(), "incarnation": l.GetIncarnation()}).Info("gossip: front heard")
		}
		t.confirm(o, &l)
		if len(l.GetCrashes()) > 0 {
			t.p.Merge(o, l.GetCrashes())
		}
		if l.GetReleased() != r[l.GetName()] {
			r[l.GetName()] = l.GetReleased()
			t.jobs.Reconcile()
		}
		if l.GetQuotaPressed() {
			t.jobs.Press()
		}
		if f.due(o, &l, l.GetConfigs(), t.configs) {
			t.configs.Refresh()
		}
		if h.due(o, &l, l.GetHosts(), t.hosts) {
			t.hosts.Refresh()
		}
		t.jobs.Wake()
	}
}
