package batch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/state/rules"
)

// store is a platform in memory.
type store struct {
	trail.StaleStore
	m       sync.Mutex
	version int64
	objects map[string]object.Object
	// Versions of the objects in the order of their writes.
	past []written
	// How old stale reads are.
	lag time.Duration
	// Reads of the present by kind.
	reads map[string]int
	// Lists of the present.
	lists int
	// Between the fronts on this platform.
	notices *notices
	// Fails the next write after it was carried out.
	lose bool
	// How long the failure of that write takes to show.
	stuck time.Duration
	// Reads of the present are not answered.
	away bool
}

func (s *store) setAway(away bool) {
	s.m.Lock()
	defer s.m.Unlock()
	s.away = away
}

// written is a version of an object.
type written struct {
	at time.Time
	o  object.Object
}

func newStore() *store {
	return &store{objects: map[string]object.Object{}, reads: map[string]int{}, notices: &notices{fronts: map[string]*batch.Jobs{}}}
}

func failed(cause error, v trail.Verdict) error {
	return trail.WrapError(cause, "failed", v, "failed")
}

func key(o object.Object) string { return o.Kind() + "/" + o.Name() }

func (s *store) GetStale(_ context.Context, kind, name string) (object.Object, error) {
	l, _, _ := s.ListStale(context.Background(), kind)
	for _, o := range l {
		if o.Name() == name {
			return o, nil
		}
	}
	return object.Object{}, failed(trail.ErrNotFound, trail.NotRun)
}

func (s *store) ListStale(_ context.Context, kind string) ([]object.Object, int64, error) {
	s.m.Lock()
	defer s.m.Unlock()
	m := map[string]object.Object{}
	for _, w := range s.past {
		if w.o.Kind() == kind && time.Since(w.at) >= s.lag {
			m[w.o.Name()] = w.o
		}
	}
	maps.DeleteFunc(m, func(_ string, o object.Object) bool { return o.Value() == nil })
	return slices.Collect(maps.Values(m)), s.version, nil
}

func (s *store) Get(_ context.Context, kind, name string) (object.Object, error) {
	s.m.Lock()
	defer s.m.Unlock()
	s.reads[kind]++
	if s.away {
		return object.Object{}, failed(trail.ErrUnavailable, trail.NotRun)
	}
	o, k := s.objects[kind+"/"+name]
	if !k {
		return o, failed(trail.ErrNotFound, trail.NotRun)
	}
	return o, nil
}

func (s *store) List(_ context.Context, kind string) ([]object.Object, int64, error) {
	s.m.Lock()
	defer s.m.Unlock()
	s.lists++
	var l []object.Object
	for _, o := range s.objects {
		if o.Kind() == kind {
			l = append(l, o)
		}
	}
	return l, s.version, nil
}

func (s *store) Create(_ context.Context, o object.Object) (object.Object, error) {
	s.m.Lock()
	defer s.m.Unlock()
	if _, k := s.objects[key(o)]; k {
		return o, failed(trail.ErrExists, trail.NotRun)
	}
	return s.keep(o)
}

func (s *store) Update(_ context.Context, o object.Object) (object.Object, error) {
	s.m.Lock()
	defer s.m.Unlock()
	if s.objects[key(o)].Version() != o.Version() || o.Version() == 0 {
		return o, failed(trail.ErrConflict, trail.NotRun)
	}
	return s.keep(o)
}

// listed returns how often a kind was listed as it is at present.
func (s *store) listed() int {
	s.m.Lock()
	defer s.m.Unlock()
	return s.lists
}

// present returns how often a kind was read as it is at present.
func (s *store) present(kind string) int {
	s.m.Lock()
	defer s.m.Unlock()
	return s.reads[kind]
}

func (s *store) keep(o object.Object) (object.Object, error) {
	s.version++
	o = object.New(o.Kind(), o.Name(), s.version, o.Value())
	s.objects[key(o)] = o
	s.past = append(s.past, written{time.Now(), o})
	if s.lose {
		s.lose = false
		d := s.stuck
		s.m.Unlock()
		time.Sleep(d)
		s.m.Lock()
		return o, failed(trail.ErrUnavailable, trail.MayHaveRun)
	}
	return o, nil
}

func (s *store) Delete(_ context.Context, o object.Object) error {
	s.m.Lock()
	defer s.m.Unlock()
	delete(s.objects, key(o))
	s.past = append(s.past, written{time.Now(), object.New(o.Kind(), o.Name(), 0, nil)})
	return nil
}

// keys returns the kinds and names of all objects, in order.
func (s *store) keys() []string {
	s.m.Lock()
	defer s.m.Unlock()
	var l []string
	for k := range s.objects {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// engine answers each item with two events after a second.
type engine struct {
	m sync.Mutex
	// Runs by item id.
	runs map[string]int
	// Items that fail at each run.
	fails map[string]bool
	// Event after which each run of an item goes on.
	resumes map[string][]string
	// Bodies of the answers to the runs of an item, in order; the later ones are
	// sound.
	bodies map[string][]io.ReadCloser
}

// script sets the bodies of the answers to the first runs of an item.
func (g *engine) script(item string, l ...io.ReadCloser) {
	g.m.Lock()
	defer g.m.Unlock()
	g.bodies = map[string][]io.ReadCloser{item: l}
}

// scripted returns the body of the next answer to a run of an item, nil if it is
// sound.
func (g *engine) scripted(item string) io.ReadCloser {
	g.m.Lock()
	defer g.m.Unlock()
	l := g.bodies[item]
	if len(l) == 0 {
		return nil
	}
	g.bodies[item] = l[1:]
	return l[0]
}

// ran returns how often an item has run.
func (g *engine) ran(item string) int {
	g.m.Lock()
	defer g.m.Unlock()
	return g.runs[item]
}

// items returns how many items have run.
func (g *engine) items() int {
	g.m.Lock()
	defer g.m.Unlock()
	return len(g.runs)
}

// fail makes an item fail at each run.
func (g *engine) fail(item string) {
	g.m.Lock()
	defer g.m.Unlock()
	g.fails[item] = true
}

func (g *engine) Send(c context.Context, _ *wire.BackendServer, r *trail.Request, resume string) (*http.Response, error) {
	g.m.Lock()
	g.runs[r.ID()]++
	if g.resumes == nil {
		g.resumes = map[string][]string{}
	}
	g.resumes[r.ID()] = append(g.resumes[r.ID()], resume)
	f := g.fails[r.ID()]
	g.m.Unlock()
	if f {
		return &http.Response{StatusCode: http.StatusInternalServerError, Body: http.NoBody}, nil
	}
	if b := g.scripted(r.ID()); b != nil {
		context.AfterFunc(c, func() { _ = b.Close() })
		return &http.Response{StatusCode: http.StatusOK, Body: b}, nil
	}
	select {
	case <-time.After(time.Second):
	case <-c.Done():
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "lost")
	}
	b := fmt.Sprintf("id: 2\ndata: %s\n\n", strings.Repeat("x", 100))
	if resume == "" {
		b = fmt.Sprintf("id: 1\ndata: %s\n\n", r.ID()) + b
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString(b))}, nil
}

// notices tells fronts that are in the same process.
type notices struct {
	m      sync.Mutex
	fronts map[string]*batch.Jobs
	// No notice arrives.
	cut bool
}

func (n *notices) Tell(_ context.Context, front string, o *wire.JobNotice) error {
	n.m.Lock()
	j := n.fronts[front]
	c := n.cut
	n.m.Unlock()
	if j == nil || c {
		return trail.NewError("peer-unreachable", trail.NotRun, "cut")
	}
	j.Noticed(o)
	return nil
}

func (n *notices) Results(c context.Context, front, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool, error) {
	n.m.Lock()
	j := n.fronts[front]
	d := n.cut
	n.m.Unlock()
	if j == nil || d {
		return nil, false, trail.NewError("peer-unreachable", trail.NotRun, "cut")
	}
	l, o := j.Known(c, job, after, wait)
	return l, o, nil
}

func output(id string) string { return id + "\n" + strings.Repeat("x", 100) }

// newJobs starts a front's jobs, with one backend server of 8 slots.
func newJobs(t *testing.T, c context.Context, name string, s *store, g *engine, valueBytes int64) *batch.Jobs {
	t.Helper()
	return newJobsOf(c, fleet.New(name, "a"), name, s, g, valueBytes)
}

// newJobsOf does so with a fleet of the front.
func newJobsOf(c context.Context, f *fleet.Fleet, name string, s *store, g *engine, valueBytes int64) *batch.Jobs {
	f.SetServers(time.Now(), []*wire.BackendServer{wire.BackendServer_builder{
		Id: proto.String("s"), Service: proto.String("v"), DataCentre: proto.String("a"), Slots: proto.Int32(8),
	}.Build()}, time.Now(), time.Now())
	r := rules.New(wire.RouteTable_builder{Routes: []*wire.RouteRule{wire.RouteRule_builder{
		Host: proto.String("h"), Prefix: proto.String("/b/"), Attempts: proto.Int32(3), DueMs: proto.Int64(18000), Batch: proto.Bool(true),
		Shares: []*wire.RouteShare{wire.RouteShare_builder{Service: proto.String("v"), Weight: proto.Float64(1)}.Build()},
	}.Build(), quotaRoute()}}.Build())
	n := wire.Front_builder{Name: &name, Incarnation: proto.Uint64(1)}.Build()
	x := s.notices
	j := batch.New(c, n, s, x, f, g, func() *rules.Table { return r }, valueBytes,
		&log.Logger{Handler: discard.New()}, prometheus.NewRegistry(), func() {})
	x.m.Lock()
	defer x.m.Unlock()
	x.fronts[name] = j
	return j
}

func items(n int) []*wire.BatchItem {
	var l []*wire.BatchItem
	for i := range n {
		l = append(l, wire.BatchItem_builder{Id: proto.String(fmt.Sprint("i", i)), Path: proto.String("/b/x"), Body: []byte("body")}.Build())
	}
	return l
}
