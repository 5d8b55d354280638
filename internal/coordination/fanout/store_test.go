package fanout_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fanout"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const kind = "hosts"

// platform is a store with one kind that counts its calls.
type platform struct {
	trail.Store
	m       sync.Mutex
	objects map[string]object.Object
	version int64
	lists   int
	// Open watches, by the front that watches.
	watches map[string]chan trail.Change
}

// client is the platform as one front calls it.
type client struct {
	*platform
	front string
}

func (p client) List(context.Context, string) ([]object.Object, int64, error) {
	p.m.Lock()
	defer p.m.Unlock()
	p.lists++
	return slices.Collect(maps.Values(p.objects)), p.version, nil
}

func (p client) Watch(c context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	p.m.Lock()
	defer p.m.Unlock()
	w := make(chan trail.Change, 10)
	p.watches[p.front] = w
	context.AfterFunc(c, func() {
		p.m.Lock()
		defer p.m.Unlock()
		delete(p.watches, p.front)
		close(w)
	})
	return w, nil
}

// set stores an object, or deletes it, and tells the watches.
func (p *platform) set(name string, deleted bool) {
	p.m.Lock()
	defer p.m.Unlock()
	p.version++
	o := object.New(kind, name, p.version, nil)
	p.objects[name] = o
	if deleted {
		delete(p.objects, name)
	}
	for _, w := range p.watches {
		w <- trail.NewChange(o, deleted)
	}
}

// watching returns the fronts with an open watch.
func (p *platform) watching() string {
	p.m.Lock()
	defer p.m.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(p.watches)), " ")
}

// rig is some fronts before one platform.
type rig struct {
	c        context.Context
	p        *platform
	n        *memnet.Network
	m        sync.Mutex
	watchers []string
	copies   map[string]*inform.Informer
}

func (r *rig) elect(names ...string) {
	r.m.Lock()
	defer r.m.Unlock()
	r.watchers = names
}

func (r *rig) elected(time.Time) []string {
	r.m.Lock()
	defer r.m.Unlock()
	return r.watchers
}

// start starts a front.
func (r *rig) start(name string) {
	l := &log.Logger{Handler: discard.New()}
	m := mesh.New(r.c, wire.Hello_builder{MemberId: &name}.Build(), r.n, l)
	s := fanout.New(client{r.p, name}, name, "fronts", m, l)
	s.Elect(r.elected, func(front string) string { return front + ":1" })
	r.copies[name] = inform.New(r.c, s, kind, l)
	s.Share(kind, r.copies[name])
	a := r.n.Listen(name + ":1")
	go func() {
		_ = m.Serve(r.c, a, func(c context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
			s.Serve(c, n, o.GetFollow())
		})
	}()
}

// names returns the names of the objects that a front knows.
func (r *rig) names(front string) string {
	return strings.Join(slices.Sorted(maps.Keys(r.copies[front].All())), " ")
}

// play starts the fronts a to d, of which a and b are watchers.
func play(t *testing.T, f func(r *rig)) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		r := &rig{
			c: c, n: memnet.New(), watchers: []string{"a", "b"}, copies: map[string]*inform.Informer{},
			p: &platform{objects: map[string]object.Object{}, watches: map[string]chan trail.Change{}},
		}
		r.p.set("x", false)
		for _, n := range []string{"a", "b", "c", "d"} {
			r.start(n)
		}
		time.Sleep(3 * time.Second)
		f(r)
	})
}

// Guards against watches of fronts that could follow others, and against
// changes that these do not pass on.
func TestFewWatch(t *testing.T) {
	play(t, func(r *rig) {
		r.p.set("y", false)
		r.p.set("x", true)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		for _, n := range []string{"a", "b", "c", "d"} {
			if d := cmp.Diff("y", r.names(n)); d != "" {
				t.Errorf("%s: %s", n, d)
			}
		}
		if d := cmp.Diff("a b", r.p.watching()); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(4, r.p.lists); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff([]bool{false, true}, []bool{r.copies["a"].Relayed(), r.copies["d"].Relayed()}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against fronts that all watch after a start, because none had
// registered when they first listed the fronts.
func TestFrontsAreListedOnceAllHaveRegistered(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		p := &platform{objects: map[string]object.Object{}, watches: map[string]chan trail.Change{}}
		l := &log.Logger{Handler: discard.New()}
		s := fanout.New(client{p, "a"}, "a", kind, mesh.New(c, &wire.Hello{}, memnet.New(), l), l)
		i := inform.New(c, s, kind, l)
		time.Sleep(10 * time.Millisecond)
		p.set("x", false)
		time.Sleep(1400 * time.Millisecond)
		synctest.Wait()
		if d := cmp.Diff([]any{1, 2, ""}, []any{len(i.All()), p.lists, p.watching()}); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if d := cmp.Diff("a", p.watching()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against followers that hear nothing more from a watcher whose
// connections have gone silent.
func TestSilentWatcher(t *testing.T) {
	play(t, func(r *rig) {
		r.n.Silence("a:1")
		r.n.Silence("b:1")
		r.p.set("y", false)
		// Silence is noticed, and another source is found within a beat.
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, n := range []string{"c", "d"} {
			if d := cmp.Diff("x y", r.names(n)); d != "" {
				t.Errorf("%s: %s", n, d)
			}
		}
	})
}

// Guards against watches that stay where they were when other fronts become the
// watchers, and against ones that move each time that a front is away for a
// moment.
func TestWatchersChange(t *testing.T) {
	play(t, func(r *rig) {
		r.elect("b", "c")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if d := cmp.Diff("a b", r.p.watching()); d != "" {
			t.Error(d)
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		// Nothing has made c leave the watcher that it follows, until a stops.
		if !strings.Contains(r.p.watching(), "b") || strings.Contains(r.p.watching(), "a") {
			t.Error(r.p.watching())
		}
		r.p.set("y", false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, n := range []string{"a", "b", "c", "d"} {
			if d := cmp.Diff("x y", r.names(n)); d != "" {
				t.Errorf("%s: %s", n, d)
			}
		}
	})
}
