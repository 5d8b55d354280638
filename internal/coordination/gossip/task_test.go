package gossip_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/gossip"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/coordination/roster"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// network carries datagrams between the fronts of a test.
type network struct {
	mu      sync.Mutex
	sockets map[string]*socket
	// Datagrams sent, by sender.
	sent map[string]int
	// Senders whose datagrams are lost.
	muted map[string]bool
}

// socket is the socket of one front.
type socket struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	inbox   chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (p *socket) WriteTo(b []byte, a net.Addr) (int, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.sent[p.address.String()]++
	q := p.network.sockets[a.String()]
	if q == nil || p.network.muted[p.address.String()] {
		return len(b), nil
	}
	select {
	case q.inbox <- append([]byte(nil), b...):
	default:
	}
	return len(b), nil
}

func (p *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.inbox:
		return copy(b, d), p.address, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *socket) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// platform holds the entries of the fronts.
type platform struct {
	trail.Store
	entries []object.Object
}

func (p *platform) List(context.Context, string) ([]object.Object, int64, error) {
	return p.entries, 1, nil
}

func (p *platform) Watch(ctx context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	context.AfterFunc(ctx, func() { close(w) })
	return w, nil
}

// sharer is the work of a front, of which these tests have none.
type sharer struct{}

func (sharer) Released() uint32 { return 0 }
func (sharer) Reconcile()       {}
func (sharer) PeerLost()        {}
func (sharer) Wake()            {}
func (sharer) Pressed() bool    { return false }
func (sharer) Press()           {}

// front is one front.
type front struct {
	name, address string
	fleet         *fleet.Fleet
	hosts         *inform.Informer
	gossip        *gossip.Task
}

const dataCentres = "abcde"

// runFleet starts so many fronts in each of five data centres, with one backend
// server each.
func runFleet(t *testing.T, perDataCentre int, test func(e *network, l []*front)) {
	synctest.Test(t, func(t *testing.T) {
		c, o := context.WithCancel(t.Context())
		e := &network{sockets: map[string]*socket{}, sent: map[string]int{}, muted: map[string]bool{}}
		p := &platform{}
		var l []*front
		for _, d := range dataCentres {
			for n := range perDataCentre {
				l = append(l, &front{name: fmt.Sprintf("%c-%d", d, n), address: fmt.Sprintf("10.%d.0.%d:7", d-'a', n)})
			}
		}
		for _, m := range l {
			v, e := object.Encode("fronts", m.name, 1, entry(m))
			if e != nil {
				t.Fatal(e)
			}
			p.entries = append(p.entries, v)
		}
		for _, m := range l {
			m.start(c, e, p)
		}
		test(e, l)
		o()
		synctest.Wait()
	})
}

func entry(front *front) *wire.Front {
	return wire.Front_builder{
		Name: &front.name, Incarnation: proto.Uint64(1), DataCentre: proto.String(front.name[:1]), PeerAddress: &front.address,
	}.Build()
}

func (m *front) start(ctx context.Context, network *network, platform *platform) {
	l := &log.Logger{Handler: discard.New()}
	a, _ := net.ResolveUDPAddr("udp", m.address)
	s := &socket{network: network, address: a, inbox: make(chan []byte, 1000), closed: make(chan struct{})}
	network.mu.Lock()
	network.sockets[a.String()] = s
	network.mu.Unlock()
	m.fleet = fleet.New(m.name, m.name[:1])
	var b []*wire.BackendServer
	for _, d := range dataCentres {
		b = append(b, wire.BackendServer_builder{
			Id: proto.String("s-" + string(d)), Service: proto.String("v"), DataCentre: proto.String(string(d)), Slots: proto.Int32(8),
		}.Build())
	}
	m.fleet.SetServers(time.Now(), b, time.Now(), time.Now())
	x := inform.New(ctx, platform, "fronts", l)
	m.hosts = inform.New(ctx, platform, "hosts", l)
	m.gossip = gossip.New(ctx, s, entry(m), m.fleet, poison.New(3), roster.New(entry(m), x, m.fleet, l), inform.New(ctx, platform, "configs", l), m.hosts, l, prometheus.NewRegistry(), sharer{})
}

// startRequests places so many requests at a front.
func (m *front) startRequests(count int) {
	for range count {
		m.fleet.AcquireOnline(time.Now(), "v", 300*time.Millisecond, 5*time.Second, nil, 0)
	}
	m.gossip.TriggerSend()
}

// totalInFlight returns the requests in flight at all servers, as a front knows them.
func (m *front) totalInFlight() int {
	n := 0
	for m.fleet.AcquireBatch(time.Now(), "v") != nil {
		n++
	}
	for _, d := range dataCentres {
		for range n {
			m.fleet.ReleaseBatch("s-"+string(d), false)
		}
	}
	return n
}

// Guards against datagrams of each front to each other one four times a second,
// which take the processor of hosts in a large fleet; against fronts that count
// as gone although they live; and against loads of other data centres that are
// counted twice or not at all.
func TestLargeFleet(t *testing.T) {
	runFleet(t, 12, func(e *network, l []*front) {
		time.Sleep(10 * time.Second)
		for _, m := range l {
			if n := len(m.fleet.ActivePeers(time.Now())); n != len(l)-1 {
				t.Errorf("%s hears %d fronts", m.name, n)
			}
			if !m.fleet.LastPresumedDead(time.Now()).IsZero() && time.Since(m.fleet.LastPresumedDead(time.Now())) < 5*time.Second {
				t.Errorf("%s doubts although all are well", m.name)
			}
		}
		// Half of those with one to each other front at each heartbeat.
		e.mu.Lock()
		n := e.sent[l[0].address] / 10
		e.mu.Unlock()
		if n > 2*(len(l)-1) {
			t.Error("datagrams a second and front:", n)
		}
		b := l[0].totalInFlight()
		l[12].startRequests(3)
		l[13].startRequests(2)
		time.Sleep(400 * time.Millisecond)
		if d := cmp.Diff(b-5, l[0].totalInFlight()); d != "" {
			t.Error("slots that are taken by another data centre:", d)
		}
	})
}

// Guards against a front that stays silent and counts as alive, because its
// neighbours tell of it, and against one that hears others only and is not told
// that nobody hears it.
func TestSilentFrontOfLargeFleet(t *testing.T) {
	runFleet(t, 12, func(e *network, l []*front) {
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		e.muted[l[3].address] = true
		e.mu.Unlock()
		b := time.Now()
		time.Sleep(1800 * time.Millisecond)
		if l[3].fleet.LastPresumedDead(time.Now()).Before(b) {
			t.Error("front that nobody hears does not know")
		}
		time.Sleep(1200 * time.Millisecond)
		for _, m := range l {
			if m != l[3] && m.fleet.Alive(time.Now(), l[3].name) {
				t.Errorf("%s counts the silent front as alive", m.name)
			}
		}
	})
}
