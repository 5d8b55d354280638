package batch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
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
)

// fakeEngine is the backend server. It answers an item with two events after
// one second, unless another body is set for the run.
type fakeEngine struct {
	mu sync.Mutex
	// Runs by item id.
	runs map[string]int
	// Items that fail in every run.
	failing map[string]bool
	// Item whose runs all lose their backend server.
	lost string
	// Item that can't be sent.
	invalid string
	// Ids of the items that are rejected begin with it, empty for none.
	rejected string
	// Code of the rejections, or 400 for an answer with that status.
	rejection string
	// Event id after which each run of an item resumed, empty for a run from
	// the start.
	resumedAfter map[string][]string
	// Start of the process that answers, 0 if it does not tell.
	born int64
	// Software version of the server of each run of an item.
	versions map[string][]string
	// Response bodies of the first runs of an item, in order, without a length
	// or chunks. Later runs get the usual response.
	bodies map[string][]io.ReadCloser
	// Number of next runs that lose their backend server.
	losses int
}

// loseNext makes a number of next runs lose their backend server.
func (g *fakeEngine) loseNext(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses = count
}

// loseItem makes all runs of an item lose their backend server.
func (g *fakeEngine) loseItem(item string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = item
}

// takeLoss returns whether the current run of an item loses its backend server.
func (g *fakeEngine) takeLoss(item string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses--
	return g.losses >= 0 || item == g.lost
}

// setBodies sets the response bodies of the first runs of an item.
func (g *fakeEngine) setBodies(item string, bodies ...io.ReadCloser) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bodies == nil {
		g.bodies = map[string][]io.ReadCloser{}
	}
	g.bodies[item] = bodies
}

// nextBody returns the response body set for the next run of an item, nil if
// there is none.
func (g *fakeEngine) nextBody(item string) io.ReadCloser {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.bodies[item]
	if len(l) == 0 {
		return nil
	}
	g.bodies[item] = l[1:]
	return l[0]
}

// setBorn sets the start of the process that answers from now on, 0 if it does not
// tell.
func (g *fakeEngine) setBorn(born int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.born = born
}

// runCount returns the number of runs of an item.
func (g *fakeEngine) runCount(item string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[item]
}

// itemCount returns the number of items that have started.
func (g *fakeEngine) itemCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs)
}

// failItem makes an item fail in every run.
func (g *fakeEngine) failItem(item string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing[item] = true
}

func (g *fakeEngine) Send(ctx context.Context, server *wire.BackendServer, request *trail.Request, resume string) (*trail.Response, error) {
	g.mu.Lock()
	g.runs[request.ID()]++
	if g.resumedAfter == nil {
		g.resumedAfter, g.versions = map[string][]string{}, map[string][]string{}
	}
	g.versions[request.ID()] = append(g.versions[request.ID()], server.GetVersion())
	g.resumedAfter[request.ID()] = append(g.resumedAfter[request.ID()], resume)
	f, o := g.failing[request.ID()], g.born
	g.mu.Unlock()
	if f {
		return trail.NewResponse(&http.Response{StatusCode: http.StatusInternalServerError, Body: http.NoBody}, 0), nil
	}
	if request.ID() == g.invalid {
		return nil, trail.NewError("request-invalid", trail.NotRun, "invalid")
	}
	if g.rejected != "" && strings.HasPrefix(request.ID(), g.rejected) {
		if g.rejection == "400" {
			return trail.NewResponse(&http.Response{StatusCode: http.StatusBadRequest, Body: http.NoBody}, 0), nil
		}
		return nil, trail.NewError(g.rejection, trail.NotRun, "rejected")
	}
	if g.takeLoss(request.ID()) {
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "lost")
	}
	if b := g.nextBody(request.ID()); b != nil {
		context.AfterFunc(ctx, func() { _ = b.Close() })
		return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: b}, o), nil
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "lost")
	}
	b := fmt.Sprintf("id: 2\ndata: %s\n\n", strings.Repeat("x", 100))
	if resume == "" {
		b = fmt.Sprintf("id: 1\ndata: %s\n\n", request.ID()) + b
	}
	return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString(b))}, 0), nil
}

// fakePeers connects fronts in the same process.
type fakePeers struct {
	mu     sync.Mutex
	fronts map[string]*batch.Jobs
	// All calls between fronts fail.
	unreachable bool
	// Jobs of the notices that each front has got, as the notices show them.
	noticed map[string][]*wire.BatchJob
}

func (n *fakePeers) recordNotice(front string, notice *wire.JobNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := &wire.BatchJob{}
	_ = object.New("batch-jobs", notice.GetName(), notice.GetVersion(), notice.GetValue()).Decode(v)
	if n.noticed == nil {
		n.noticed = map[string][]*wire.BatchJob{}
	}
	n.noticed[front] = append(n.noticed[front], v)
}

// takeNotices returns the jobs of the notices that a front has got since the last
// call.
func (n *fakePeers) takeNotices(front string) []*wire.BatchJob {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.noticed[front]
	delete(n.noticed, front)
	return l
}

// add makes a front reachable for the others.
func (n *fakePeers) add(front string, jobs *batch.Jobs) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fronts[front] = jobs
}

// setUnreachable makes all calls between fronts fail, or none.
func (n *fakePeers) setUnreachable(unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable = unreachable
}

// remove makes a front unreachable for the others.
func (n *fakePeers) remove(front string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.fronts, front)
}

func (n *fakePeers) Notify(_ context.Context, front string, notice *wire.JobNotice) error {
	n.mu.Lock()
	j := n.fronts[front]
	c := n.unreachable
	n.mu.Unlock()
	if j == nil || c {
		return trail.NewError("peer-unreachable", trail.NotRun, "front is unreachable")
	}
	n.recordNotice(front, notice)
	j.HandleNotice(notice)
	return nil
}

func (n *fakePeers) Results(ctx context.Context, front, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool, error) {
	n.mu.Lock()
	j := n.fronts[front]
	d := n.unreachable
	n.mu.Unlock()
	if j == nil || d {
		return nil, false, trail.NewError("peer-unreachable", trail.NotRun, "front is unreachable")
	}
	l, o := j.LocalResults(ctx, job, after, wait)
	return l, o, nil
}

func wantOutput(id string) string { return id + "\n" + strings.Repeat("x", 100) }

// newJobs starts the batch part of a front, with one backend server of 8 slots.
func newJobs(t *testing.T, ctx context.Context, name string, store *memStore, engine *fakeEngine, valueBytes int64) *batch.Jobs {
	t.Helper()
	return newJobsWithFleet(ctx, fleet.New(name, "a"), name, store, engine, valueBytes)
}

// newJobsWithFleet does the same with a given fleet, through which the test
// sets which other fronts are alive.
func newJobsWithFleet(ctx context.Context, fleet *fleet.Fleet, name string, store *memStore, engine *fakeEngine, valueBytes int64) *batch.Jobs {
	fleet.SetServers(time.Now(), []*wire.BackendServer{wire.BackendServer_builder{
		Id: proto.String("s"), Service: proto.String("v"), DataCentre: proto.String("a"), Slots: proto.Int32(8),
	}.Build()}, time.Now(), time.Now())
	n := wire.Front_builder{Name: &name, Incarnation: proto.Uint64(1)}.Build()
	x := store.peers
	j := batch.New(ctx, n, store, x, fleet, engine, frontRoutes{store, name}, valueBytes, outputBytes,
		&log.Logger{Handler: discard.New()}, prometheus.NewRegistry(), func() {})
	x.add(name, j)
	return j
}

// batchRoute returns the route of the jobs that accept submits.
func batchRoute() *wire.RouteRule {
	return wire.RouteRule_builder{
		Name: proto.String("batch"), Host: proto.String("h"), Prefix: proto.String("/b/"), Attempts: proto.Int32(3), DueMs: proto.Int64(18000), Batch: proto.Bool(true),
		Shares: []*wire.RouteShare{wire.RouteShare_builder{Service: proto.String("v"), Weight: proto.Float64(1)}.Build()},
	}.Build()
}

// Tokens of an item of newItems.
const itemTokens = 50

func newItems(n int) []*wire.BatchItem {
	var l []*wire.BatchItem
	for i := range n {
		l = append(l, wire.BatchItem_builder{Id: proto.String(fmt.Sprint("i", i)), Path: proto.String("/b/x"), Body: []byte("body"), Tokens: proto.Int64(itemTokens)}.Build())
	}
	return l
}
