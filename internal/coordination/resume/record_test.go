package resume_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
	"bulrushtrail.example/trail/internal/state/object"
)

func newRecord() *resume.Record {
	k := builds.New(nil, fleet.New("front", "a"), func() []string { return nil }, func() int { return 0 }, &log.Logger{Handler: discard.New()})
	return resume.New(k, nil, func() []string { return nil })
}

// find returns the version at which a stream may go on, or "none".
func find(record *resume.Record, attempt string) string {
	b, _, e := record.Find(context.Background(), attempt, []string{"v"})
	if e != nil {
		return "none"
	}
	return b.Version()
}

// Guards against a stream that is forgotten while it can be taken up, kept for
// ever, or resumed although fronts have told of two versions for it.
func TestStreamIsForgottenOrMistaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, o := newRecord(), newRecord()
		r.Add(time.Now(), "a", build.New("v", "v1"))
		r.Add(time.Now(), "b", build.New("v", "v2"))
		r.Add(time.Now(), "c", build.New("v", ""))
		o.Merge(time.Now(), r.Report(time.Now()))
		g := []string{find(o, "a"), find(o, "b"), find(o, "c"), find(o, "d")}
		o.Add(time.Now(), "b", build.New("v", "v1"))
		g = append(g, find(o, "b"))
		time.Sleep(50 * time.Second)
		g = append(g, find(r, "a"))
		for n := range 3 {
			time.Sleep(61 * time.Second)
			r.Add(time.Now(), string(rune('x'+n)), build.New("v", "v1"))
		}
		g = append(g, find(r, "a"))
		if d := cmp.Diff([]string{"v1", "v2", "none", "none", "none", "v1", "none"}, g); d != "" {
			t.Error(d)
		}
	})
}

// versions is a platform that has recorded software versions of the service "v".
type versions struct {
	trail.Store

	mu       sync.Mutex
	recorded []string
	// All calls fail.
	unavailable bool
}

func (s *versions) set(recorded []string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded, s.unavailable = recorded, unavailable
}

func (s *versions) object() (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return object.Object{}, trail.WrapError(trail.ErrUnavailable, "store", trail.NotRun, "unavailable")
	}
	if s.recorded == nil {
		return object.Object{}, trail.WrapError(trail.ErrNotFound, "store", trail.NotRun, "missing")
	}
	return object.Encode("service-versions", "v", 1, wire.ServiceVersions_builder{Versions: s.recorded}.Build())
}

func (s *versions) Get(context.Context, string, string) (object.Object, error) { return s.object() }

func (s *versions) List(context.Context, string) ([]object.Object, int64, error) {
	o, e := s.object()
	if errors.Is(e, trail.ErrNotFound) {
		return nil, 1, nil
	}
	return []object.Object{o}, 1, e
}

func (s *versions) Create(context.Context, object.Object) (object.Object, error) {
	return object.Object{}, trail.WrapError(trail.ErrUnavailable, "store", trail.NotRun, "unavailable")
}

// asker is another front, which knows streams by their hash, or does not answer.
type asker struct {
	streams map[uint64]string
	silent  bool
}

func (a *asker) AskStream(ctx context.Context, _ string, query *wire.StreamQuery) (*wire.StreamReply, error) {
	if a.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r := wire.StreamReply_builder{Id: proto.Uint64(query.GetId())}
	if v, k := a.streams[query.GetStream()]; k {
		r.Stream = wire.BegunStream_builder{Stream: proto.Uint64(query.GetStream()), Service: proto.String("v"), Version: &v}.Build()
	}
	return r.Build(), nil
}

// Guards against a front that joins texts of two versions: it stood still or was cut
// off while servers of a second version joined, and believes that there is one.
func TestFrontOutOfStepJoinsStreams(t *testing.T) {
	h := xxhash.Sum64String("a")
	l := []struct {
		name string
		// Version of the only server that the front knows.
		known string
		// Other fronts, and what they answer.
		fronts []string
		asker  asker
		// What the platform has recorded since the front last heard of it.
		recorded    []string
		unavailable bool
		want        string
	}{
		{"another front knows the stream", "v1", []string{"b"}, asker{streams: map[uint64]string{h: "v2"}}, []string{"v1"}, false, "v2"},
		{"no front answers", "v1", []string{"b"}, asker{silent: true}, []string{"v1"}, false, "none"},
		{"two versions are recorded", "v1", []string{"b"}, asker{}, []string{"v1", "v2"}, false, "none"},
		{"one version is recorded", "v1", []string{"b"}, asker{}, []string{"v1"}, false, "v1"},
		{"platform does not answer", "v1", []string{"b"}, asker{}, []string{"v1"}, true, "none"},
		{"no other front", "v1", nil, asker{}, []string{"v1"}, false, "v1"},
		{"no other front, two versions", "v1", nil, asker{}, []string{"v1", "v2"}, false, "none"},
		{"servers name no version", "", []string{"b"}, asker{}, nil, false, ""},
		{"other servers name a version", "", []string{"b"}, asker{}, []string{"v2"}, false, "none"},
		{"version is not recorded", "v1", []string{"b"}, asker{}, nil, false, "none"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, f := context.WithCancel(t.Context())
				defer f()
				s := &versions{}
				if k.known != "" {
					s.recorded = []string{k.known}
				}
				x := fleet.New("a", "z")
				x.SetServers(time.Now(), []*wire.BackendServer{wire.BackendServer_builder{Id: proto.String("s"), Service: proto.String("v"), Version: &k.known, Slots: proto.Int32(1)}.Build()}, time.Now(), time.Now())
				b := builds.New(s, x, func() []string { return []string{"v"} }, func() int { return 0 }, &log.Logger{Handler: discard.New()})
				go b.Run(c)
				time.Sleep(2 * time.Minute)
				s.set(k.recorded, k.unavailable)
				r := resume.New(b, &k.asker, func() []string { return k.fronts })
				if d := cmp.Diff(k.want, find(r, "a")); d != "" {
					t.Error(d)
				}
				f()
				synctest.Wait()
			})
		})
	}
}

// Guards against a stream that is never taken up, or goes on at another version,
// because the registry did not name the process that has begun it.
func TestProcessOfStreamIsNamedLater(t *testing.T) {
	l := []struct {
		name string
		// Start and version of the process that the registry names in the end.
		born    int64
		version string
		// Recorded by another front meanwhile.
		other build.Build
		want  string
	}{
		{"named by now", 2, "v2", build.Build{}, "v2"},
		{"process before is named", 1, "v1", build.Build{}, "none"},
		{"next process is named", 3, "v3", build.Build{}, "none"},
		{"named by now, taken up elsewhere", 2, "v2", build.New("v", "v2"), "v2"},
		{"next process is named, taken up elsewhere before", 3, "v3", build.New("v", "v2"), "v2"},
		{"unknown elsewhere", 2, "v2", build.New("v", ""), "none"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("front", "a")
				b := builds.New(nil, f, func() []string { return nil }, func() int { return 0 }, &log.Logger{Handler: discard.New()})
				r, o := newRecord(), resume.New(b, nil, func() []string { return nil })
				o.AddProcess(time.Now(), "a", "v", "s", 2)
				r.Merge(time.Now(), o.Report(time.Now()))
				if !k.other.IsZero() {
					r.Add(time.Now(), "a", k.other)
					o.Merge(time.Now(), r.Report(time.Now()))
				}
				s := wire.BackendServer_builder{Id: proto.String("s"), Service: proto.String("v"), Version: &k.version, Slots: proto.Int32(1), Born: &k.born}.Build()
				f.SetServers(time.Now(), []*wire.BackendServer{s}, time.Now(), time.Now())
				if d := cmp.Diff(k.want, find(o, "a")); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against datagrams that grow with the rate of streams.
func TestReportGrowsWithoutBound(t *testing.T) {
	r := newRecord()
	for n := range 1000 {
		r.Add(time.Now(), string(rune('a'+n)), build.New("v", "v1"))
	}
	l := r.Report(time.Now())
	if n := proto.Size(wire.Load_builder{Streams: l}.Build()); len(l) != 256 || n > 8<<10 {
		t.Error(len(l), "streams,", n, "bytes")
	}
}
