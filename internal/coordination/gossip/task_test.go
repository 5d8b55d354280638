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

// ether carries datagrams between the fronts of a test.
type ether struct {
	m     sync.Mutex
	ports map[string]*port
	// Datagrams sent, by sender.
	sent map[string]int
	// Senders whose datagrams are lost.
	cut map[string]bool
}

// port is the socket of one front.
type port struct {
	net.PacketConn
	e    *ether
	a    *net.UDPAddr
	in   chan []byte
	done chan struct{}
	once sync.Once
}

func (p *port) WriteTo(b []byte, a net.Addr) (int, error) {
	p.e.m.Lock()
	defer p.e.m.Unlock()
	p.e.sent[p.a.String()]++
	q := p.e.ports[a.String()]
	if q == nil || p.e.cut[p.a.String()] {
		return len(b), nil
	}
	select {
	case q.in <- append([]byte(nil), b...):
	default:
	}
	return len(b), nil
}

func (p *port) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.in:
		return copy(b, d), p.a, nil
	case <-p.done:
		return 0, nil, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// platform holds the entries of the fronts.
type platform struct {
	trail.Store
	l []object.Object
}

func (p *platform) List(context.Context, string) ([]object.Object, int64, error) { return p.l, 1, nil }

func (p *platform) Watch(c context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	context.AfterFunc(c, func() { close(w) })
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

// member is one front.
type member struct {
	name, address string
	f             *fleet.Fleet
	hosts         *inform.Informer
	g             *gossip.Task
}

const dataCentres = "abcde"

// play starts so many fronts in each of five data centres, with one backend
// server each.
func play(t *testing.T, perDataCentre int, f func(e *ether, l []*member)) {
	synctest.Test(t, func(t *testing.T) {
		c, o := context.WithCancel(t.Context())
		e := &ether{ports: map[string]*port{}, sent: map[string]int{}, cut: map[string]bool{}}
		p := &platform{}
		var l []*member
		for _, d := range dataCentres {
			for n := range perDataCentre {
				l = append(l, &member{name: fmt.Sprintf("%c-%d", d, n), address: fmt.Sprintf("10.%d.0.%d:7", d-'a', n)})
			}
		}
		for _, m := range l {
			v, e := object.Encode("fronts", m.name, 1, entry(m))
			if e != nil {
				t.Fatal(e)
			}
			p.l = append(p.l, v)
		}
		for _, m := range l {
			m.start(c, e, p)
		}
		f(e, l)
		o()
		synctest.Wait()
	})
}

func entry(m *member) *wire.Front {
	return wire.Front_builder{
		Name: &m.name, Incarnation: proto.Uint64(1), DataCentre: proto.String(m.name[:1]), PeerAddress: &m.address,
	}.Build()
}

func (m *member) start(c context.Context, e *ether, p *platform) {
	l := &log.Logger{Handler: discard.New()}
	a, _ := net.ResolveUDPAddr("udp", m.address)
	s := &port{e: e, a: a, in: make(chan []byte, 1000), done: make(chan struct{})}
	e.m.Lock()
	e.ports[a.String()] = s
	e.m.Unlock()
	m.f = fleet.New(m.name, m.name[:1])
	var b []*wire.BackendServer
	for _, d := range dataCentres {
		b = append(b, wire.BackendServer_builder{
			Id: proto.String("s-" + string(d)), Service: proto.String("v"), DataCentre: proto.String(string(d)), Slots: proto.Int32(8),
		}.Build())
	}
	m.f.SetServers(time.Now(), b, time.Now(), time.Now())
	x := inform.New(c, p, "fronts", l)
	m.hosts = inform.New(c, p, "hosts", l)
	m.g = gossip.New(c, s, entry(m), m.f, poison.New(3), roster.New(entry(m), x, m.f, l), inform.New(c, p, "configs", l), m.hosts, l, prometheus.NewRegistry(), sharer{})
}

// take places so many requests at a front.
func (m *member) take(n int) {
	for range n {
		m.f.Take(time.Now(), "v", 300*time.Millisecond, 5*time.Second, nil, 0)
	}
	m.g.Wake()
}

// total returns the requests in flight at all servers, as a front knows them.
func (m *member) total() int {
	n := 0
	for m.f.TakeBatch(time.Now(), "v") != nil {
		n++
	}
	for _, d := range dataCentres {
		for range n {
			m.f.DoneBatch("s-"+string(d), false)
		}
	}
	return n
}

// Guards against datagrams of each front to each other one four times a second,
// which take the processor of hosts in a large fleet; against fronts that count
// as gone although they live; and against loads of other data centres that are
// counted twice or not at all.
func TestLargeFleet(t *testing.T) {
	play(t, 12, func(e *ether, l []*member) {
		time.Sleep(10 * time.Second)
		for _, m := range l {
			if n := len(m.f.Peers(time.Now())); n != len(l)-1 {
				t.Errorf("%s hears %d fronts", m.name, n)
			}
			if !m.f.Doubted(time.Now()).IsZero() && time.Since(m.f.Doubted(time.Now())) < 5*time.Second {
				t.Errorf("%s doubts although all are well", m.name)
			}
		}
		// Half of those with one to each other front at each heartbeat.
		e.m.Lock()
		n := e.sent[l[0].address] / 10
		e.m.Unlock()
		if n > 2*(len(l)-1) {
			t.Error("datagrams a second and front:", n)
		}
		b := l[0].total()
		l[12].take(3)
		l[13].take(2)
		time.Sleep(400 * time.Millisecond)
		if d := cmp.Diff(b-5, l[0].total()); d != "" {
			t.Error("slots that are taken by another data centre:", d)
		}
	})
}

// Guards against a front that stays silent and counts as alive, because its
// neighbours tell of it, and against one that hears others only and is not told
// that nobody hears it.
func TestSilentFrontOfLargeFleet(t *testing.T) {
	play(t, 12, func(e *ether, l []*member) {
		time.Sleep(5 * time.Second)
		e.m.Lock()
		e.cut[l[3].address] = true
		e.m.Unlock()
		b := time.Now()
		time.Sleep(1800 * time.Millisecond)
		if l[3].f.Doubted(time.Now()).Before(b) {
			t.Error("front that nobody hears does not know")
		}
		time.Sleep(1200 * time.Millisecond)
		for _, m := range l {
			if m != l[3] && m.f.Present(time.Now(), l[3].name) {
				t.Errorf("%s counts the silent front as alive", m.name)
			}
		}
	})
}
