package depot_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/answer"
	"bulrushtrail.example/trail/internal/coordination/bulk"
	"bulrushtrail.example/trail/internal/coordination/depot"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// cluster is a set of depots that are connected by in-memory connections.
type cluster struct {
	t      *testing.T
	ctx    context.Context
	logger log.Interface
	// Data folder of each depot, by member id.
	folders map[string]string
	depots  map[string]*depot.Depot
	// Stops the process of each depot, by member id.
	stops map[string]context.CancelFunc
	// Metrics of each depot, by member id.
	metrics map[string]*prometheus.Registry
	// Guards the fields below.
	mu        sync.Mutex
	listeners map[string]*listener
	members   []*wire.Member
}

// listener accepts the connections to one address of the network.
type listener struct {
	cluster *cluster
	// Member id, which is also the address.
	id     string
	accept chan net.Conn
	closed chan struct{}
	down   bool
	conns  []net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case n := <-l.accept:
		return n, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { close(l.closed); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *cluster) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || l.down {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	l.conns = append(l.conns, a, b)
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Latest and Subscribe implement trail.Views.
func (n *cluster) Latest() *wire.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := &wire.View{}
	v.SetMembers(append([]*wire.Member(nil), n.members...))
	return v
}

func (n *cluster) Subscribe(context.Context) <-chan *wire.View { return nil }

// runCluster calls test with a cluster of depots d1, d2, ... in the given data
// centres.
func runCluster(t *testing.T, centres []string, test func(n *cluster)) {
	t.Helper()
	// Yamux keeps timers in a sync.Pool, and timers of an earlier synctest
	// bubble can't be used in this one. Two garbage collections empty a pool.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		n := &cluster{
			t: t, ctx: c, logger: &log.Logger{Handler: discard.New()}, folders: map[string]string{},
			depots: map[string]*depot.Depot{}, stops: map[string]context.CancelFunc{},
			metrics: map[string]*prometheus.Registry{}, listeners: map[string]*listener{},
		}
		for _, d := range centres {
			n.addDepot(d)
		}
		test(n)
		g()
		// A connection that was dialled but never accepted ends with the
		// deadline of its greeting, which is in the bubble's time.
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// addDepot starts another depot with an empty folder and adds it to the
// members.
func (n *cluster) addDepot(dataCentre string) {
	n.t.Helper()
	m := &wire.Member{}
	m.SetId(fmt.Sprint("d", len(n.members)+1))
	m.SetRole("depot")
	m.SetDataCentre(dataCentre)
	m.SetPeerAddress(m.GetId())
	n.folders[m.GetId()] = n.t.TempDir()
	n.startDepot(m.GetId())
	n.addMember(m)
}

// startDepot starts a depot on its existing folder.
func (n *cluster) startDepot(id string) {
	n.t.Helper()
	c, f := context.WithCancel(n.ctx)
	l := &listener{cluster: n, id: id, accept: make(chan net.Conn, 100), closed: make(chan struct{})}
	h := &wire.Hello{}
	h.SetMemberId(id)
	w := mesh.New(c, h, n, n.logger)
	r := prometheus.NewRegistry()
	s, e := depot.New(c, id, n.folders[id], w, n, n.logger, r)
	if e != nil {
		n.t.Fatal(e)
	}
	go func() {
		_ = w.Serve(c, l, func(c context.Context, f *frame.Stream, o *wire.Open, _ *wire.Hello) {
			switch {
			case o.HasPut():
				s.ServePut(c, f, o.GetPut())
			case o.HasGet():
				s.ServeGet(c, f, o.GetGet())
			case o.HasCopy():
				s.ServeCopy(c, f, o.GetCopy())
			case o.HasAnswer():
				s.ServeAnswer(c, f, o.GetAnswer())
			}
		})
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.depots[id], n.listeners[id], n.stops[id], n.metrics[id] = s, l, f, r
}

func (n *cluster) addMember(member *wire.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = append(n.members, member)
}

// removeMember removes a member and returns it.
func (n *cluster) removeMember(id string) *wire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.members, func(m *wire.Member) bool { return m.GetId() == id })
	m := n.members[i]
	n.members = slices.Delete(slices.Clone(n.members), i, i+1)
	return m
}

// killDepot stops a depot's process and removes the member.
func (n *cluster) killDepot(id string) *wire.Member {
	n.disconnect(id)
	n.stops[id]()
	return n.removeMember(id)
}

// restartDepot stops a depot's process and starts it again after a delay, on
// the given folder and with a new incarnation.
func (n *cluster) restartDepot(id, folder string, after time.Duration) {
	m := proto.CloneOf(n.killDepot(id))
	time.Sleep(after)
	m.SetIncarnation(m.GetIncarnation() + 1)
	n.folders[id] = folder
	n.startDepot(id)
	n.addMember(m)
}

// disconnect closes a depot's connections and refuses new ones.
func (n *cluster) disconnect(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[id]
	l.down = true
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// reconnect undoes disconnect.
func (n *cluster) reconnect(id string) {
	n.mu.Lock()
	n.listeners[id].down = false
	n.mu.Unlock()
	// Waits until the clients no longer suspect the depot.
	time.Sleep(3 * time.Second)
}

func (n *cluster) mesh(member string) *mesh.Mesh {
	h := &wire.Hello{}
	h.SetMemberId(member)
	return mesh.New(n.ctx, h, n, n.logger)
}

func (n *cluster) bulkClient() *bulk.Client { return bulk.New("a", n.mesh("e1"), n, n.logger, nil) }

// answerClient returns the client of an entry, and a function that stops the
// entry.
func (n *cluster) answerClient(entry string) (*answer.Client, context.CancelFunc) {
	c, f := context.WithCancel(n.ctx)
	return answer.New(c, n.mesh(entry), n, n.logger, nil), f
}

// segmentPath returns the path of a segment's file at a depot.
func (n *cluster) segmentPath(id string, segment *wire.Segment) string {
	return filepath.Join(n.folders[id], "segments", segment.GetId()+".seg")
}

// openStream opens a stream to a depot with a first message.
func (n *cluster) openStream(id string, request *wire.Open) *frame.Stream {
	n.t.Helper()
	s, e := n.mesh("e9").Open(n.ctx, id, request)
	if e != nil {
		n.t.Fatal(e)
	}
	return s
}
