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

// platform is a store with objects of one kind. It counts lists and open watches.
type platform struct {
	trail.Store
	mu      sync.Mutex
	objects map[string]object.Object
	version int64
	lists   int
	// Open watches by front.
	watches map[string]chan trail.Change
}

// client is the platform as one front calls it.
type client struct {
	*platform
	front string
}

func (p client) List(context.Context, string) ([]object.Object, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	return slices.Collect(maps.Values(p.objects)), p.version, nil
}

func (p client) Watch(ctx context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := make(chan trail.Change, 10)
	p.watches[p.front] = w
	context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watches, p.front)
		close(w)
	})
	return w, nil
}

// setObject stores or deletes an object and sends the change to all watches.
func (p *platform) setObject(name string, deleted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
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

// watchingFronts returns the fronts with an open watch.
func (p *platform) watchingFronts() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(p.watches)), " ")
}

// frontSet is a set of fronts that share one platform and one network.
type frontSet struct {
	ctx      context.Context
	platform *platform
	network  *memnet.Network
	mu       sync.Mutex
	watchers []string
	copies   map[string]*inform.Informer
}

func (r *frontSet) setWatchers(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = names
}

func (r *frontSet) currentWatchers(time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watchers
}

// start starts a front.
func (r *frontSet) start(name string) {
	l := &log.Logger{Handler: discard.New()}
	m := mesh.New(r.ctx, wire.Hello_builder{MemberId: &name}.Build(), r.network, l)
	s := fanout.New(client{r.platform, name}, name, "fronts", m, l)
	s.SetWatchers(r.currentWatchers, func(front string) string { return front + ":1" })
	r.copies[name] = inform.New(r.ctx, s, kind, l)
	s.Share(kind, r.copies[name])
	a := r.network.Listen(name + ":1")
	go func() {
		_ = m.Serve(r.ctx, a, func(ctx context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
			s.Serve(ctx, n, o.GetFollow())
		})
	}()
}

// objectNames returns the names of the objects in the copy of a front.
func (r *frontSet) objectNames(front string) string {
	return strings.Join(slices.Sorted(maps.Keys(r.copies[front].All())), " ")
}

// runFronts starts the fronts a to d, of which a and b are watchers.
func runFronts(t *testing.T, test func(r *frontSet)) {
	golden.Bubble(t, func(t *testing.T, ctx context.Context) {
		r := &frontSet{
			ctx: ctx, network: memnet.New(), watchers: []string{"a", "b"}, copies: map[string]*inform.Informer{},
			platform: &platform{objects: map[string]object.Object{}, watches: map[string]chan trail.Change{}},
		}
		r.platform.setObject("x", false)
		for _, n := range []string{"a", "b", "c", "d"} {
			r.start(n)
		}
		time.Sleep(3 * time.Second)
		test(r)
	})
}

// Guards against platform watches of fronts that could follow a watcher, and
// against changes that the watchers do not send to their followers.
func TestOnlyWatchersWatchThePlatform(t *testing.T) {
	runFronts(t, func(r *frontSet) {
		r.platform.setObject("y", false)
		r.platform.setObject("x", true)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		for _, n := range []string{"a", "b", "c", "d"} {
			if d := cmp.Diff("y", r.objectNames(n)); d != "" {
				t.Errorf("%s: %s", n, d)
			}
		}
		if d := cmp.Diff("a b", r.platform.watchingFronts()); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(4, r.platform.lists); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff([]bool{false, true}, []bool{r.copies["a"].Relayed(), r.copies["d"].Relayed()}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against fronts that all watch the platform after a common start,
// because none was registered when they first listed the fronts.
func TestFrontsAreListedAgainAfterRegistration(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, ctx context.Context) {
		p := &platform{objects: map[string]object.Object{}, watches: map[string]chan trail.Change{}}
		l := &log.Logger{Handler: discard.New()}
		s := fanout.New(client{p, "a"}, "a", kind, mesh.New(ctx, &wire.Hello{}, memnet.New(), l), l)
		i := inform.New(ctx, s, kind, l)
		time.Sleep(10 * time.Millisecond)
		p.setObject("x", false)
		time.Sleep(1400 * time.Millisecond)
		synctest.Wait()
		if d := cmp.Diff([]any{1, 2, ""}, []any{len(i.All()), p.lists, p.watchingFronts()}); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if d := cmp.Diff("a", p.watchingFronts()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against followers that receive no more changes because they keep a
// stream to a watcher whose connections no longer deliver data.
func TestFollowersLeaveSilentWatcher(t *testing.T) {
	runFronts(t, func(r *frontSet) {
		r.network.Blackhole("a:1")
		r.network.Blackhole("b:1")
		r.platform.setObject("y", false)
		// Covers the timeout of the stream and the change of the source.
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, n := range []string{"c", "d"} {
			if d := cmp.Diff("x y", r.objectNames(n)); d != "" {
				t.Errorf("%s: %s", n, d)
			}
		}
	})
}

// Guards against watches that stay on their fronts when other fronts are
// elected, and against watches that move whenever a front is away for a moment.
func TestWatchMovesAfterDemotionDelay(t *testing.T) {
	runFronts(t, func(r *frontSet) {
		r.setWatchers("b", "c")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if d := cmp.Diff("a b", r.platform.watchingFronts()); d != "" {
			t.Error(d)
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		// c may watch or not: it has changed its source only if it followed a,
		// which has stopped.
		if !strings.Contains(r.platform.watchingFronts(), "b") || strings.Contains(r.platform.watchingFronts(), "a") {
			t.Error(r.platform.watchingFronts())
		}
		r.platform.setObject("y", false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, n := range []string{"a", "b", "c", "d"} {
			if d := cmp.Diff("x y", r.objectNames(n)); d != "" {
				t.Errorf("%s: %s", n, d)
			}
		}
	})
}
