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

// cluster is depots on a network of in-memory connections.
type cluster struct {
	t *testing.T
	c context.Context
	l log.Interface
	// Folder of each depot, by member id.
	folders map[string]string
	depots  map[string]*depot.Depot
	// Ends the process of each depot, by member id.
	stops map[string]context.CancelFunc
	// Metrics of each depot, by member id.
	metrics map[string]*prometheus.Registry
	// Guards what follows.
	mutex     sync.Mutex
	listeners map[string]*listener
	members   []*wire.Member
}

// listener is one address of the network.
type listener struct {
	n *cluster
	// Member id, and the address.
	id     string
	accept chan net.Conn
	closed chan struct{}
	down   bool
	open   []net.Conn
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
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.listeners[address]
	if l == nil || l.down {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	l.open = append(l.open, a, b)
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Latest and Subscribe implement trail.Views.
func (n *cluster) Latest() *wire.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	v := &wire.View{}
	v.SetMembers(append([]*wire.Member(nil), n.members...))
	return v
}

func (n *cluster) Subscribe(context.Context) <-chan *wire.View { return nil }

// run runs f with depots d1, d2, ... in the given data centres.
func run(t *testing.T, centres []string, f func(n *cluster)) {
	t.Helper()
	// Yamux keeps timers in a pool, and those of an earlier bubble can't be
	// used in this one. Two collections empty a pool.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		n := &cluster{
			t: t, c: c, l: &log.Logger{Handler: discard.New()}, folders: map[string]string{},
			depots: map[string]*depot.Depot{}, stops: map[string]context.CancelFunc{},
			metrics: map[string]*prometheus.Registry{}, listeners: map[string]*listener{},
		}
		for _, d := range centres {
			n.add(d)
		}
		f(n)
		g()
		// A dial that was not accepted any more ends with the deadline of its
		// greeting, which is in bubble time.
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// add starts one more depot.
func (n *cluster) add(centre string) {
	n.t.Helper()
	m := &wire.Member{}
	m.SetId(fmt.Sprint("d", len(n.members)+1))
	m.SetRole("depot")
	m.SetDataCentre(centre)
	m.SetPeerAddress(m.GetId())
	n.folders[m.GetId()] = n.t.TempDir()
	n.start(m.GetId())
	n.join(m)
}

// start runs a depot on its folder.
func (n *cluster) start(d string) {
	n.t.Helper()
	c, f := context.WithCancel(n.c)
	l := &listener{n: n, id: d, accept: make(chan net.Conn, 100), closed: make(chan struct{})}
	h := &wire.Hello{}
	h.SetMemberId(d)
	w := mesh.New(c, h, n, n.l)
	r := prometheus.NewRegistry()
	s, e := depot.New(c, d, n.folders[d], w, n, n.l, r)
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
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.depots[d], n.listeners[d], n.stops[d], n.metrics[d] = s, l, f, r
}

// join adds a member.
func (n *cluster) join(m *wire.Member) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.members = append(n.members, m)
}

// leave removes a member and returns it.
func (n *cluster) leave(d string) *wire.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	i := slices.IndexFunc(n.members, func(m *wire.Member) bool { return m.GetId() == d })
	m := n.members[i]
	n.members = slices.Delete(slices.Clone(n.members), i, i+1)
	return m
}

// kill ends a depot's process and removes the member.
func (n *cluster) kill(d string) *wire.Member {
	n.fail(d)
	n.stops[d]()
	return n.leave(d)
}

// restart ends a depot's process and starts it again after a time, with a new
// incarnation.
func (n *cluster) restart(d, folder string, after time.Duration) {
	m := proto.CloneOf(n.kill(d))
	time.Sleep(after)
	m.SetIncarnation(m.GetIncarnation() + 1)
	n.folders[d] = folder
	n.start(d)
	n.join(m)
}

// fail cuts a depot's connections and refuses new ones.
func (n *cluster) fail(d string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.listeners[d]
	l.down = true
	for _, c := range l.open {
		_ = c.Close()
	}
}

// recover undoes fail.
func (n *cluster) recover(d string) {
	n.mutex.Lock()
	n.listeners[d].down = false
	n.mutex.Unlock()
	// The clients stop to suspect the depot.
	time.Sleep(3 * time.Second)
}

func (n *cluster) mesh(member string) *mesh.Mesh {
	h := &wire.Hello{}
	h.SetMemberId(member)
	return mesh.New(n.c, h, n, n.l)
}

func (n *cluster) bulk() *bulk.Client { return bulk.New("a", n.mesh("e1"), n, n.l, nil) }

// recall returns the client of an entry, and a function that ends the entry.
func (n *cluster) recall(entry string) (*answer.Client, context.CancelFunc) {
	c, f := context.WithCancel(n.c)
	return answer.New(c, n.mesh(entry), n, n.l, nil), f
}

// segment returns the path of a segment's file at a depot.
func (n *cluster) segment(d string, g *wire.Segment) string {
	return filepath.Join(n.folders[d], "segments", g.GetId()+".seg")
}

// open starts an exchange with a depot.
func (n *cluster) open(d string, o *wire.Open) *frame.Stream {
	n.t.Helper()
	s, e := n.mesh("e9").Open(n.c, d, o)
	if e != nil {
		n.t.Fatal(e)
	}
	return s
}
