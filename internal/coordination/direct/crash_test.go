package direct_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/direct"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Time from the arrival of a request at an engine to its first event.
	prefillTime = 60 * time.Millisecond
	// Time from the first event to the end of the stream.
	streamTime = 600 * time.Millisecond
	// Time for which a crashed engine accepts no requests.
	restartTime = 3 * time.Second
	// Number of engines. It is large, so that requests find one in a burst too.
	engineCount = 200
)

// engines are engines that crash when they begin to answer a prompt with one of
// their bad parts, and with them all streams in progress there.
type engines struct {
	mu sync.Mutex
	// Parts of prompts that crash engines.
	bad map[string]bool
	// Number of requests sent to engines, by part of the prompt.
	sent map[string]int
	// Closed when an engine crashes, by id.
	alive map[string]chan struct{}
	down  map[string]time.Time
	// Number of crashes.
	crashes int
}

func newEngines(bad ...string) *engines {
	g := &engines{bad: map[string]bool{}, sent: map[string]int{}, alive: map[string]chan struct{}{}, down: map[string]time.Time{}}
	for _, p := range bad {
		g.bad[p] = true
	}
	return g
}

func (g *engines) crash(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes++
	g.down[id] = time.Now().Add(restartTime)
	if c := g.alive[id]; c != nil {
		close(c)
	}
	delete(g.alive, id)
}

// crashAll crashes the engines that have been sent a request since their start.
func (g *engines) crashAll() {
	g.mu.Lock()
	l := slices.Collect(maps.Keys(g.alive))
	g.mu.Unlock()
	for _, i := range l {
		g.crash(i)
	}
}

// accept counts a request and returns the channel that is closed when the engine
// crashes. It returns nil if the engine is down.
func (g *engines) accept(id string, request *trail.Request) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.down[id]) {
		return nil
	}
	for _, p := range request.SharedParts() {
		g.sent[p]++
	}
	if g.alive[id] == nil {
		g.alive[id] = make(chan struct{})
	}
	return g.alive[id]
}

func (g *engines) Send(ctx context.Context, backendServer *wire.BackendServer, request *trail.Request, _ string) (*trail.Response, error) {
	i := backendServer.GetId()
	c := g.accept(i, request)
	if c == nil {
		return nil, trail.NewError("backend-unreachable", trail.NotRun, "connection refused")
	}
	select {
	case <-c:
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "connection closed")
	case <-time.After(prefillTime):
	}
	if slices.ContainsFunc(request.SharedParts(), func(p string) bool { return g.bad[p] }) {
		g.crash(i)
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "connection closed")
	}
	return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader(eventText(1)), &restOfStream{ctx: ctx, crashed: c}))}, 0), nil
}

// restOfStream is the second event of a stream, which comes after streamTime
// unless the engine crashes before.
type restOfStream struct {
	ctx     context.Context
	crashed chan struct{}
	text    *strings.Reader
}

func (r *restOfStream) Read(b []byte) (int, error) {
	if r.text == nil {
		select {
		case <-r.crashed:
			return 0, io.ErrUnexpectedEOF
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		case <-time.After(streamTime):
		}
		r.text = strings.NewReader(eventText(2))
	}
	return r.text.Read(b)
}

// crashBed is one front before engines that crash.
type crashBed struct {
	t       *testing.T
	engines *engines
	server  *direct.Server
	// Number of requests so far; each gets a body of its own.
	count int
}

// newCrashServer returns a server before engineCount backend servers.
func newCrashServer(upstream trail.Upstream) *direct.Server {
	f := fleet.New("front", "a")
	var l []*wire.BackendServer
	for n := range engineCount {
		l = append(l, wire.BackendServer_builder{
			Id: proto.String(fmt.Sprint("s", n)), Service: proto.String("v"), Version: proto.String("v1"), DataCentre: proto.String("a"), Slots: proto.Int32(8),
		}.Build())
	}
	f.SetServers(time.Now(), l, time.Now(), time.Now())
	return newDirect(f, upstream)
}

// runCrashBed runs a test under the paused clock.
func runCrashBed(t *testing.T, engines *engines, test func(b *crashBed)) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrashServer(engines)
		test(&crashBed{t: t, engines: engines, server: s})
		synctest.Wait()
	})
}

// ask sends a request with a body of its own and returns what its caller gets.
func (b *crashBed) ask(parts ...string) string {
	b.count++
	return b.askAgain(fmt.Sprint("question ", b.count), parts...)
}

// askAgain sends a request with a given body.
func (b *crashBed) askAgain(body string, parts ...string) string {
	b.t.Helper()
	q := trail.NewRequest(body, "POST", "/p", "h", nil, []byte(body)).WithSharedParts(parts)
	w := httptest.NewRecorder()
	return observed(b.server.Serve(b.t.Context(), route(wire.Repeat_REPEAT_ONCE, true, false, 1), 1, q, w), w)
}

const (
	answered = "200 " + "id: 1\ndata: t1\n\n" + "id: 2\ndata: t2\n\n"
	stopped  = "request-poisoned not-run"
)

// Guards against requests that crash engine after engine because they share only
// a part of their prompt, so that no two are equal.
func TestPromptPartCrashesEngineAfterEngine(t *testing.T) {
	runCrashBed(t, newEngines("bad"), func(b *crashBed) {
		for n := range 60 {
			b.ask("shared", fmt.Sprint("own-", n), "bad")
			time.Sleep(200 * time.Millisecond)
		}
		if g := b.engines.sent["bad"]; g > 5 {
			t.Error("requests of the bad part sent to engines:", g)
		}
	})
}

// Guards against a sound request that is refused for good because servers were
// lost for another reason while they answered it.
func TestSoundRequestIsRefusedAfterLosses(t *testing.T) {
	runCrashBed(t, newEngines(), func(b *crashBed) {
		for range 6 {
			var w sync.WaitGroup
			w.Go(func() { b.askAgain("popular question", "shared") })
			time.Sleep(streamTime / 2)
			b.engines.crashAll()
			w.Wait()
		}
		if g := b.askAgain("popular question", "shared"); g != answered {
			t.Error("sound request after the losses:", g)
		}
	})
}

// Guards against a request that is reported as not run because such requests crash
// engines, as its own attempts have shown, with any number of crashes before.
func TestRequestStoppedAfterAttemptsIsNotRun(t *testing.T) {
	for n := range 8 {
		runCrashBed(t, newEngines("bad"), func(b *crashBed) {
			for range n {
				b.askAgain("body", "bad")
			}
			k := b.engines.sent["bad"]
			q := trail.NewRequest("id", "POST", "/p", "h", nil, []byte("body")).WithSharedParts([]string{"bad"})
			w := httptest.NewRecorder()
			g := observed(b.server.Serve(b.t.Context(), route(wire.Repeat_REPEAT_SAFE, true, true, 20), 1, q, w), w)
			x := "backend-lost may-have-run"
			if b.engines.sent["bad"] == k {
				x = stopped
			}
			if d := cmp.Diff(x, g); d != "" {
				t.Error("after", n, d)
			}
		})
	}
}
