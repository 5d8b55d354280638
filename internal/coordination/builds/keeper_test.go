package builds_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// store is the platform's object store, in memory.
type store struct {
	trail.Store
	mu      sync.Mutex
	version int64
	objects map[string]object.Object
	writes  int
	// All calls fail.
	unavailable bool
	// Writes take effect, but their answers are lost.
	loseAnswers bool
}

func (s *store) lock() error {
	s.mu.Lock()
	if s.unavailable {
		s.mu.Unlock()
		return trail.WrapError(trail.ErrUnavailable, "store", trail.NotRun, "unavailable")
	}
	return nil
}

func (s *store) set(unavailable, loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.loseAnswers = unavailable, loseAnswers
}

func (s *store) List(context.Context, string) ([]object.Object, int64, error) {
	e := s.lock()
	if e != nil {
		return nil, 0, e
	}
	defer s.mu.Unlock()
	var l []object.Object
	for _, o := range s.objects {
		l = append(l, o)
	}
	return l, s.version, nil
}

func (s *store) Get(_ context.Context, _, name string) (object.Object, error) {
	e := s.lock()
	if e != nil {
		return object.Object{}, e
	}
	defer s.mu.Unlock()
	o, k := s.objects[name]
	if !k {
		return o, trail.WrapError(trail.ErrNotFound, "store", trail.NotRun, "missing")
	}
	return o, nil
}

func (s *store) Create(_ context.Context, obj object.Object) (object.Object, error) {
	return s.write(obj)
}

func (s *store) Update(_ context.Context, obj object.Object) (object.Object, error) {
	return s.write(obj)
}

func (s *store) write(obj object.Object) (object.Object, error) {
	e := s.lock()
	if e != nil {
		return obj, e
	}
	defer s.mu.Unlock()
	if s.objects[obj.Name()].Version() != obj.Version() {
		return obj, trail.WrapError(trail.ErrConflict, "store", trail.NotRun, "changed")
	}
	s.version++
	s.writes++
	s.objects[obj.Name()] = object.New(obj.Kind(), obj.Name(), s.version, obj.Value())
	if s.loseAnswers {
		return obj, trail.WrapError(trail.ErrUnavailable, "store", trail.MayHaveRun, "answer lost")
	}
	return s.objects[obj.Name()], nil
}

// front is a front with its registry and its keeper.
type front struct {
	fleet  *fleet.Fleet
	keeper *builds.Keeper
	stop   context.CancelFunc
}

// start starts a front whose registry has a server of each version.
func start(s *store, rank int, versions ...string) *front {
	f := &front{fleet: fleet.New(fmt.Sprint("front-", rank), "a")}
	f.keeper = builds.New(s, f.fleet, func() []string { return []string{"v"} }, func() int { return rank }, &log.Logger{Handler: discard.New()})
	f.serve(versions...)
	c, x := context.WithCancel(context.Background())
	f.stop = x
	go f.keeper.Run(c)
	return f
}

// serve replaces the servers in the registry of a front by one of each version.
func (f *front) serve(versions ...string) {
	var l []*wire.BackendServer
	for _, v := range versions {
		l = append(l, wire.BackendServer_builder{Id: proto.String("s-" + v), Service: proto.String("v"), Version: &v, Slots: proto.Int32(1)}.Build())
	}
	f.fleet.SetServers(time.Now(), l, time.Now(), time.Now())
	f.keeper.TriggerCheck()
}

// only returns the version of the only build, or "several".
func (f *front) only() string {
	b, k := f.keeper.Only(time.Now(), "v")
	if !k {
		return "several"
	}
	return b.Version()
}

// versions returns the versions in the object of the service.
func (s *store) versions() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v wire.ServiceVersions
	_ = s.objects["v"].Decode(&v)
	return fmt.Sprintf("%q", v.GetVersions())
}

func run(t *testing.T, test func(s *store)) {
	synctest.Test(t, func(*testing.T) { test(&store{objects: map[string]object.Object{}}) })
}

// Guards against a stream that is resumed at another version by a front that has
// just started after all fronts were lost: the servers of the version that began it
// may have left before.
func TestVersionOfLostFrontsIsForgotten(t *testing.T) {
	run(t, func(s *store) {
		f := start(s, 0, "v1")
		time.Sleep(time.Second)
		f.serve("v1", "v2")
		time.Sleep(time.Second)
		g := []string{f.only()}
		f.stop()
		n := start(s, 0, "v2")
		time.Sleep(100 * time.Millisecond)
		g = append(g, n.only())
		time.Sleep(2 * time.Minute)
		g = append(g, n.only())
		n.stop()
		if d := cmp.Diff([]string{"several", "several", "v2"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against streams of an unknown version that are taken for those of the only
// named one after a loss of all fronts, also if the first write fails; and against
// such a mark that another front's write takes out too early, or that is never taken
// out.
func TestStreamOfUnknownVersionIsForgotten(t *testing.T) {
	run(t, func(s *store) {
		f, o := start(s, 1, "v1"), start(s, 0, "v1")
		time.Sleep(5 * time.Minute)
		s.set(true, false)
		f.keeper.RecordUnknown(time.Now(), "v")
		time.Sleep(3 * time.Second)
		s.set(false, false)
		time.Sleep(3 * time.Second)
		// The other front has not heard of it and writes a new version.
		o.serve("v1", "v2")
		time.Sleep(time.Second)
		o.serve("v1")
		time.Sleep(40 * time.Second)
		f.stop()
		o.stop()
		g := []string{s.versions()}
		n := start(s, 0, "v1")
		time.Sleep(time.Second)
		g = append(g, n.only())
		time.Sleep(10 * time.Minute)
		g = append(g, s.versions(), n.only())
		n.stop()
		if d := cmp.Diff([]string{`["" "v1" "v2"]`, "several", `["v1"]`, "v1"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a front that resumes streams at the only version that it sees
// before it has read which others have served, or although it has seen one leave.
func TestOnlyVersionIsGuessed(t *testing.T) {
	run(t, func(s *store) {
		s.set(true, false)
		f := start(s, 0, "v1")
		time.Sleep(5 * time.Second)
		g := []string{f.only()}
		s.set(false, false)
		time.Sleep(2 * time.Second)
		g = append(g, f.only())
		f.serve("v1", "v2")
		time.Sleep(time.Second)
		f.serve("v2")
		time.Sleep(50 * time.Second)
		g = append(g, f.only())
		time.Sleep(20 * time.Second)
		g = append(g, f.only())
		f.stop()
		if d := cmp.Diff([]string{"several", "v1", "several", "v2"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a version that counts as recorded although its write failed, and
// against one that stays unrecorded because the answer of its write was lost, the
// first front does not write, or the version was taken out before it came back.
func TestVersionIsNotRecorded(t *testing.T) {
	run(t, func(s *store) {
		f := start(s, 0, "v1")
		time.Sleep(time.Second)
		s.set(true, false)
		f.serve("v1", "v2")
		time.Sleep(time.Second)
		g := []bool{f.keeper.Recorded("v")["v1"], f.keeper.Recorded("v")["v2"]}
		s.set(false, true)
		time.Sleep(10 * time.Second)
		s.set(false, false)
		g = append(g, f.keeper.Recorded("v")["v2"])
		f.serve("v2")
		time.Sleep(40 * time.Second)
		f.serve("v1", "v2")
		synctest.Wait()
		g = append(g, f.keeper.Recorded("v")["v1"])
		f.stop()
		n := start(s, 7, "v1", "v3")
		time.Sleep(500 * time.Millisecond)
		g = append(g, n.keeper.Recorded("v")["v3"])
		time.Sleep(3 * time.Second)
		g = append(g, n.keeper.Recorded("v")["v3"])
		n.stop()
		if d := cmp.Diff([]bool{true, false, true, true, false, true}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against writes by all fronts for each new version, and against ones that
// take each other's versions out.
func TestAllFrontsWriteVersions(t *testing.T) {
	run(t, func(s *store) {
		var l []*front
		for n := range 20 {
			l = append(l, start(s, n, "v1"))
		}
		time.Sleep(5 * time.Second)
		for _, f := range l {
			f.serve("v1", "v2")
		}
		time.Sleep(100 * time.Millisecond)
		d, a := l[0].keeper.Digest(time.Now())
		for _, f := range l[1:] {
			f.keeper.Confirm(time.Now(), d)
			if !f.keeper.Recorded("v")["v2"] {
				t.Error("version is not recorded by a datagram")
			}
		}
		time.Sleep(5 * time.Second)
		for _, f := range l {
			f.stop()
		}
		if d := cmp.Diff([]any{true, 2}, []any{a, s.writes}); d != "" {
			t.Error(d)
		}
	})
}
