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
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/crash"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/gossip"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/paths"
	"bulrushtrail.example/trail/internal/coordination/resume"
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
	// Senders whose datagrams are dropped.
	muted map[string]bool
}

// datagram is a datagram with its sender's address.
type datagram struct {
	content []byte
	from    net.Addr
}

// socket is the packet connection of one front. It reads what the network
// delivers to its address.
type socket struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	inbox   chan datagram
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
	case q.inbox <- datagram{append([]byte(nil), b...), p.address}:
	default:
	}
	return len(b), nil
}

func (p *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.inbox:
		return copy(b, d.content), d.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *socket) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// platform is a store that lists the registered fronts and never changes.
type platform struct {
	trail.Store
	registrations []object.Object
}

func (p *platform) List(context.Context, string) ([]object.Object, int64, error) {
	return p.registrations, 1, nil
}

func (p *platform) Watch(ctx context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	context.AfterFunc(ctx, func() { close(w) })
	return w, nil
}

// sharer is a trail.WorkSharer without any jobs.
// granter grants each permit for the server "granted", and no other.
type granter struct{}

func (granter) Grant(request *wire.PermitRequest) *wire.PermitReply {
	return wire.PermitReply_builder{
		Id: proto.Uint64(request.GetId()), Granted: proto.Bool(request.GetServer() == "granted"), WaitMs: proto.Uint32(7),
	}.Build()
}

type sharer struct{}

func (sharer) ReleaseCount() uint32    { return 0 }
func (sharer) TriggerReconcile()       {}
func (sharer) HandlePeerLost([]string) {}
func (sharer) TriggerDispatch()        {}
func (sharer) QuotaNearLimit() bool    { return false }
func (sharer) MarkPeerQuotaNearLimit() {}

// front is one simulated front.
type front struct {
	name, address string
	fleet         *fleet.Fleet
	hosts         *inform.Informer
	crashes       *crash.Record
	gossip        *gossip.Task
	streams       *resume.Record
	logs          memory.Handler
}

func (f *front) AskStream(ctx context.Context, front string, query *wire.StreamQuery) (*wire.StreamReply, error) {
	return f.gossip.AskStream(ctx, front, query)
}

const dataCentres = "abcde"

// runFleet runs a test with perDataCentre fronts in each of five data centres.
// Each data centre has one backend server with 8 slots.
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
		for _, f := range l {
			v, e := object.Encode("fronts", f.name, 1, registrationOf(f))
			if e != nil {
				t.Fatal(e)
			}
			p.registrations = append(p.registrations, v)
		}
		for _, f := range l {
			f.start(c, e, p)
		}
		test(e, l)
		o()
		synctest.Wait()
	})
}

func registrationOf(front *front) *wire.Front {
	return wire.Front_builder{
		Name: &front.name, Incarnation: proto.Uint64(1), DataCentre: proto.String(front.name[:1]), PeerAddress: &front.address,
	}.Build()
}

func (f *front) start(ctx context.Context, network *network, platform *platform) {
	l := &log.Logger{Handler: &f.logs, Level: log.InfoLevel}
	a, _ := net.ResolveUDPAddr("udp", f.address)
	s := &socket{network: network, address: a, inbox: make(chan datagram, 1000), closed: make(chan struct{})}
	network.mu.Lock()
	network.sockets[a.String()] = s
	network.mu.Unlock()
	f.fleet = fleet.New(f.name, f.name[:1])
	var b []*wire.BackendServer
	for _, d := range dataCentres {
		b = append(b, wire.BackendServer_builder{
			Id: proto.String("s-" + string(d)), Service: proto.String("v"), DataCentre: proto.String(string(d)), Slots: proto.Int32(8),
		}.Build())
	}
	f.fleet.SetServers(time.Now(), b, time.Now(), time.Now())
	x := inform.New(ctx, platform, "fronts", l)
	f.hosts = inform.New(ctx, platform, "hosts", l)
	f.crashes = crash.New(f.name)
	k := builds.New(nil, f.fleet, func() []string { return nil }, func() int { return 0 }, l)
	f.streams = resume.New(k, f, func() []string { return f.fleet.Sample(time.Now(), 2) })
	f.gossip = gossip.New(ctx, s, registrationOf(f), f.fleet, f.crashes, roster.New(registrationOf(f), x, f.fleet, l), inform.New(ctx, platform, "configs", l), f.hosts, l, prometheus.NewRegistry(), sharer{}, granter{}, granter{}, f.streams, k, paths.New(ctx, nil, f.fleet.SampleAddresses, func(bool) {}, l))
}

// startRequests counts online requests as started by a front, and schedules a
// datagram.
func (f *front) startRequests(count int) {
	for range count {
		f.fleet.AcquireOnline(time.Now(), "v", 300*time.Millisecond, 5*time.Second, nil, 0)
	}
	f.gossip.TriggerSend()
}

// freeSlots returns the number of free slots of all backend servers as a front
// knows them.
func (f *front) freeSlots() int {
	n := 0
	for f.fleet.AcquireBatch(time.Now(), "v", nil) != nil {
		n++
	}
	for _, d := range dataCentres {
		for range n {
			f.fleet.ReleaseBatch("s-"+string(d), false)
		}
	}
	return n
}

// Guards against heartbeats from every front to every other one four times a
// second, which saturate the processors of the hosts in a large fleet. With
// fewer heartbeats, live fronts must not count as gone, and loads of other data
// centres must not count twice or not at all.
func TestLargeFleetSendsFewerHeartbeats(t *testing.T) {
	runFleet(t, 12, func(e *network, l []*front) {
		time.Sleep(10 * time.Second)
		for _, f := range l {
			if n := len(f.fleet.ActivePeers(time.Now())); n != len(l)-1 {
				t.Errorf("%s counts %d other fronts as live", f.name, n)
			}
			if !f.fleet.LastPresumedDead(time.Now()).IsZero() && time.Since(f.fleet.LastPresumedDead(time.Now())) < 5*time.Second {
				t.Errorf("%s may have been presumed dead, although no datagram was lost", f.name)
			}
		}
		// The limit is half the number of datagrams with one heartbeat to every
		// other front every 250 ms.
		e.mu.Lock()
		n := e.sent[l[0].address] / 10
		e.mu.Unlock()
		if n > 2*(len(l)-1) {
			t.Error("too many datagrams sent by a front per second:", n)
		}
		b := l[0].freeSlots()
		l[12].startRequests(3)
		l[13].startRequests(2)
		time.Sleep(400 * time.Millisecond)
		if d := cmp.Diff(b-5, l[0].freeSlots()); d != "" {
			t.Error("free slots after requests of another data centre:", d)
		}
	})
}

// Guards against a silent front that still counts as alive because the totals
// that other fronts send include it, and against a front that receives but
// can't send, and doesn't learn that the others receive nothing from it.
func TestSilentFrontOfLargeFleetIsDetected(t *testing.T) {
	runFleet(t, 12, func(e *network, l []*front) {
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		e.muted[l[3].address] = true
		e.mu.Unlock()
		b := time.Now()
		time.Sleep(1800 * time.Millisecond)
		if l[3].fleet.LastPresumedDead(time.Now()).Before(b) {
			t.Error("front whose datagrams are dropped has not noticed it")
		}
		time.Sleep(1200 * time.Millisecond)
		for _, f := range l {
			if f != l[3] && f.fleet.Alive(time.Now(), l[3].name) {
				t.Errorf("%s counts the silent front as alive", f.name)
			}
		}
	})
}

// Guards against a front that does not learn which requests are stopped: losses
// that three fronts of different data centres saw must stop the requests at all
// fronts of a large fleet, soon, and also at one that heard nothing until later.
func TestCrashEvidenceReachesFewFronts(t *testing.T) {
	runFleet(t, 12, func(e *network, l []*front) {
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		e.muted[l[1].address] = true
		e.mu.Unlock()
		for n := range 3 {
			o := time.Now()
			time.Sleep(100 * time.Millisecond)
			l[12*n].crashes.AddLoss(time.Now(), uint64(n), []string{"bad"}, fmt.Sprint("s-", n), o)
			l[12*n].gossip.TriggerSend()
		}
		time.Sleep(600 * time.Millisecond)
		for _, f := range l {
			if _, k := f.crashes.Stopped(time.Now(), 9, []string{"bad"}); !k {
				t.Errorf("%s does not stop the requests", f.name)
			}
		}
		n := crash.New("late")
		l[20].crashes.AddBegun(time.Now(), 10, []string{"other"})
		n.Merge(time.Now(), l[20].crashes.Report(time.Now()))
		if _, k := n.Stopped(time.Now(), 9, []string{"bad"}); !k {
			t.Error("a front that hears one other front does not stop the requests")
		}
		l[20].crashes.AddBegun(time.Now(), 11, []string{"bad"})
		time.Sleep(1600 * time.Millisecond)
		for _, f := range l {
			if _, k := f.crashes.Stopped(time.Now(), 9, []string{"bad"}); k {
				t.Errorf("%s stops the requests although an answer began", f.name)
			}
		}
	})
}
