package direct_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/crash"
	"bulrushtrail.example/trail/internal/coordination/direct"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// upstream responds to the attempts in turn with its replies, and with "busy"
// when there are none left. A reply is a status and a body; a body that ends in
// (cut) is interrupted there. "busy" and "unreachable" are attempts that did not
// run, "lost" is a lost connection, "endless" a response over the size limit, and
// "silent" no response until the attempt is cancelled.
type upstream struct {
	replies []string
	// For each attempt, the server's id and the event id to resume after.
	attempts []string
	// Bodies that are not closed, and whether one was open when an attempt began.
	open    int
	overlap bool
}

// trackedBody is a body that the upstream counts as open until it is closed.
type trackedBody struct {
	io.Reader
	upstream *upstream
	closed   bool
}

func (b *trackedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.upstream.open--
	}
	return nil
}

func (u *upstream) Send(ctx context.Context, backendServer *wire.BackendServer, _ *trail.Request, resume string) (*trail.Response, error) {
	u.overlap = u.overlap || u.open > 0
	u.attempts = append(u.attempts, strings.TrimSpace(backendServer.GetId()+" "+resume))
	r := "busy"
	if len(u.replies) > 0 {
		r = u.replies[0]
		u.replies = u.replies[1:]
	}
	switch r {
	case "busy":
		return nil, trail.NewError("backend-busy", trail.NotRun, "busy")
	case "silent second":
		select {
		case <-time.After(time.Second):
			r = "200 a"
		case <-ctx.Done():
			return nil, trail.NewError("backend-lost", trail.MayHaveRun, "silent")
		}
	case "path-lost", "backend-declined":
		return nil, trail.NewError(r, trail.NotRun, "no path, or declined")
	case "answer-lost":
		return nil, trail.NewError("path-lost", trail.MayHaveRun, "no path")
	case "unreachable":
		return nil, trail.NewError("backend-unreachable", trail.NotRun, "unreachable")
	case "endless":
		return nil, trail.NewError("answer-unbounded", trail.MayHaveRun, "endless")
	case "lost":
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "lost")
	case "silent":
		<-ctx.Done()
		return nil, trail.NewError("backend-lost", trail.MayHaveRun, "silent")
	}
	var s int
	_, e := fmt.Sscanf(r, "%d", &s)
	if e != nil {
		return nil, e
	}
	_, t, _ := strings.Cut(r, " ")
	return trail.NewResponse(&http.Response{StatusCode: s, Header: http.Header{"Signature": {backendServer.GetId()}}, Body: u.body(t)}, 0), nil
}

func (u *upstream) body(text string) io.ReadCloser {
	u.open++
	return &trackedBody{Reader: body(text), upstream: u}
}

func body(text string) io.ReadCloser {
	t, c := strings.CutSuffix(text, "(cut)")
	if !c {
		return io.NopCloser(strings.NewReader(t))
	}
	return io.NopCloser(io.MultiReader(strings.NewReader(t), brokenReader{}))
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id) }

// observed returns what the caller gets: status and body, a truncated body, or
// the error's code and verdict.
func observed(err error, recorder *httptest.ResponseRecorder) string {
	switch {
	case err == nil:
		return fmt.Sprintf("%d %s", recorder.Code, recorder.Body)
	case direct.IsTruncated(err):
		return fmt.Sprintf("%d %s(cut)", recorder.Code, recorder.Body)
	}
	if recorder.Body.Len() > 0 {
		return "error after a part of the response"
	}
	return trail.CodeOf(err) + " " + trail.VerdictOf(err).String()
}

// newDirect returns a server for the backend servers of a fleet that knows no
// streams and asks no other fronts for them.
func newDirect(fleet *fleet.Fleet, upstream trail.Upstream) *direct.Server {
	return newDirectWithBuilds(fleet, newBuilds(fleet), upstream)
}

// newBuilds returns a keeper that has read and recorded nothing.
func newBuilds(fleet *fleet.Fleet) *builds.Keeper {
	return builds.New(nil, fleet, func() []string { return []string{"v"} }, func() int { return 0 }, &log.Logger{Handler: discard.New()})
}

func newDirectWithBuilds(fleet *fleet.Fleet, keeper *builds.Keeper, upstream trail.Upstream) *direct.Server {
	l := &log.Logger{Handler: discard.New()}
	s := resume.New(keeper, nil, func() []string { return nil })
	return direct.New(fleet, crash.New("front"), s, keeper, upstream, 1<<20, l, prometheus.NewRegistry(), func() {}, func(string) {})
}

// newServer returns a server with three backend servers.
func newServer(upstream *upstream) (*direct.Server, *fleet.Fleet) {
	f := fleet.New("front", "a")
	var l []*wire.BackendServer
	for n := range 3 {
		l = append(l, wire.BackendServer_builder{
			Id: proto.String(fmt.Sprint("s", n)), Service: proto.String("v"), Version: proto.String("v1"), DataCentre: proto.String("a"), Slots: proto.Int32(8),
		}.Build())
	}
	f.SetServers(time.Now(), l, time.Now(), time.Now())
	return newDirect(f, upstream), f
}

// serveOnce serves one request with three backend servers, checks that none of
// its attempts still counts as in flight, and returns what the caller gets.
func serveOnce(t *testing.T, route *wire.RouteRule, upstream *upstream) (got string) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newServer(upstream)
		w := httptest.NewRecorder()
		e := s.Serve(t.Context(), route, 1, trail.NewRequest("id", "POST", "/p", "h", nil, nil), w)
		got = observed(e, w)
		n := int32(0)
		for _, v := range f.LocalLoads(time.Now()) {
			n += v.GetOnline() + v.GetBatch()
		}
		if n > 0 {
			t.Error("requests still counted as in flight:", n)
		}
	})
	return got
}

func route(repeat wire.Repeat, stream, resumable bool, attempts int32) *wire.RouteRule {
	return wire.RouteRule_builder{
		Name: proto.String("r"), Repeat: &repeat, Stream: &stream, Resumable: &resumable, Attempts: &attempts,
		TimeoutMs: proto.Int64(5000), TargetMs: proto.Int64(300),
		Shares: []*wire.RouteShare{wire.RouteShare_builder{Service: proto.String("v"), Weight: proto.Float64(1)}.Build()},
	}.Build()
}

// Guards against requests that run more often than their route allows, against an
// attempt that begins before the connection of the one before is closed, against
// errors that say "not run" for a request that may have run, and against partial
// responses that the caller takes for complete ones.
func TestRequestRunsMoreOftenThanRouteAllows(t *testing.T) {
	// Repeatable requests are s and r, streams c and r; r is resumable.
	o := route(wire.Repeat_REPEAT_ONCE, false, false, 1)
	s := route(wire.Repeat_REPEAT_SAFE, false, false, 2)
	c := route(wire.Repeat_REPEAT_ONCE, true, false, 1)
	r := route(wire.Repeat_REPEAT_SAFE, true, true, 2)
	l := []struct {
		name     string
		route    *wire.RouteRule
		replies  []string
		want     string
		attempts int
	}{
		{"complete response", o, []string{"200 a"}, "200 a", 1},
		{"attempts that did not run are repeated elsewhere", o, []string{"busy", "unreachable", "200 a"}, "200 a", 3},
		{"no path, then one", o, []string{"path-lost", "path-lost", "200 a"}, "200 a", 3},
		{"no path", o, []string{"path-lost", "path-lost", "path-lost", "path-lost", "path-lost", "200 a"}, "path-lost not-run", 5},
		{"answer lost with the path, not repeatable", o, []string{"answer-lost", "200 a"}, "path-lost may-have-run", 1},
		{"answer lost with the path, repeated", s, []string{"answer-lost", "200 a"}, "200 a", 2},
		{"no attempt ran", o, []string{"busy", "busy", "busy"}, "no-backend-server not-run", 3},
		{"connection lost, not repeatable", o, []string{"lost", "200 a"}, "backend-lost may-have-run", 1},
		{"not run, then connection lost", o, []string{"busy", "lost", "200 a"}, "backend-lost may-have-run", 2},
		{"status that promises what nobody said, not repeatable", o, []string{"503 a", "200 a"}, "backend-failed may-have-run", 1},
		{"other such status, not repeatable", o, []string{"429 a", "200 a"}, "backend-failed may-have-run", 1},
		{"such status of a stream that can't be resumed", c, []string{"408 a", "200 a"}, "backend-failed may-have-run", 1},
		{"such status at all attempts, repeated", s, []string{"503 a", "503 b"}, "503 b", 2},
		{"body interrupted, not repeatable", o, []string{"200 a(cut)"}, "backend-lost may-have-run", 1},
		{"connection lost, repeated", s, []string{"lost", "200 a"}, "200 a", 2},
		{"body interrupted, repeated", s, []string{"200 a(cut)", "200 b"}, "200 b", 2},
		{"server failure, repeated", s, []string{"500 a", "200 b"}, "200 b", 2},
		{"connection lost at all attempts", s, []string{"lost", "lost", "200 a"}, "backend-lost may-have-run", 2},
		{"server failure at all attempts", s, []string{"500 a", "500 b"}, "500 b", 2},
		{"connection lost, then no attempt ran", s, []string{"lost", "busy", "busy"}, "backend-busy may-have-run", 3},
		{"unbounded response, repeated", s, []string{"endless", "200 a"}, "200 a", 2},
		{"unbounded response, not repeatable", o, []string{"endless", "200 a"}, "answer-unbounded may-have-run", 1},
		{"unbounded event, resumed elsewhere", r, []string{"200 " + eventText(1) + "data: " + strings.Repeat("x", 300<<10), "200 " + eventText(2)}, "200 " + eventText(1) + eventText(2), 2},
		{"unbounded event, not resumable", c, []string{"200 " + eventText(1) + "data: " + strings.Repeat("x", 300<<10)}, "200 " + eventText(1) + "(cut)", 1},
		{"silent for a second, as a sound server may be", s, []string{"silent second", "200 b"}, "200 a", 1},
		{"attempt timeout, repeated", s, []string{"silent", "200 a"}, "200 a", 2},
		{"no response until the deadline, not repeatable", o, []string{"silent"}, "deadline-exceeded may-have-run", 1},
		{"complete stream", c, []string{"200 " + eventText(1) + eventText(2)}, "200 " + eventText(1) + eventText(2), 1},
		{"stream interrupted, not resumable", c, []string{"200 " + eventText(1) + "id: 2\n(cut)"}, "200 " + eventText(1) + "(cut)", 1},
		{"stream interrupted, resumed elsewhere", r, []string{"200 " + eventText(1) + "id: 2\n(cut)", "200 " + eventText(2)}, "200 " + eventText(1) + eventText(2), 2},
		{"stream interrupted after a comment, repeated", r, []string{"200 :\n\n(cut)", "200 " + eventText(1)}, "200 :\n\n" + eventText(1), 2},
		{"stream interrupted after an event without an id", r, []string{"200 data: x\n\n(cut)", "200 data: x\n\n"}, "200 data: x\n\n(cut)", 1},
		{"stream resumed at the wrong event", r, []string{"200 " + eventText(1) + "(cut)", "200 " + eventText(1)}, "200 " + eventText(1) + "(cut)", 2},
		{"stream interrupted, then no attempt ran", r, []string{"200 " + eventText(1) + "(cut)", "busy", "busy"}, "200 " + eventText(1) + "(cut)", 3},
		{"stream interrupted, then server failure", r, []string{"200 " + eventText(1) + "(cut)", "500 x"}, "200 " + eventText(1) + "(cut)", 2},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			p := &upstream{replies: k.replies}
			if d := cmp.Diff(k.want, serveOnce(t, k.route, p)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(k.attempts, len(p.attempts)); d != "" {
				t.Error("attempts:", d)
			}
			if p.overlap || p.open > 0 {
				t.Error("an answer was open when the next attempt began, or at the end")
			}
		})
	}
}

// Guards against an interrupted stream that is resumed from its beginning, so
// that the caller gets events twice.
func TestStreamResumesFromItsBeginning(t *testing.T) {
	u := &upstream{replies: []string{"200 " + eventText(1) + eventText(2) + "(cut)", "200 " + eventText(3)}}
	serveOnce(t, route(wire.Repeat_REPEAT_SAFE, true, true, 2), u)
	g := strings.Fields(u.attempts[1])
	if d := cmp.Diff("2", g[len(g)-1]); d != "" {
		t.Error(d)
	}
}

// Guards against a backend server that is chosen for the next request right after
// it failed one. The failed request is not repeatable, so only the fleet's record
// of the failure keeps later requests away.
func TestServerIsChosenAgainAfterServerFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{replies: []string{"500 a", "200 " + eventText(1), "200 " + eventText(1), "200 " + eventText(1)}}
		s, _ := newServer(u)
		for n := range 4 {
			e := s.Serve(t.Context(), route(wire.Repeat_REPEAT_ONCE, true, false, 1), 1, trail.NewRequest(fmt.Sprint("id-", n), "POST", "/p", "h", nil, nil), httptest.NewRecorder())
			if e != nil {
				t.Fatal(e)
			}
		}
		for _, a := range u.attempts[1:] {
			if a == u.attempts[0] {
				t.Error("failed server chosen again:", u.attempts)
			}
		}
	})
}

// Guards against backend servers that are left alone, and requests that count as
// their crashes, because this front has lost its own paths to the servers.
func TestLostPathIsHeldAgainstServersAndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l []string
		for range 20 {
			l = append(l, "path-lost", "answer-lost")
		}
		u := &upstream{replies: l}
		s, f := newServer(u)
		r := route(wire.Repeat_REPEAT_ONCE, false, false, 1)
		for n := range 20 {
			q := trail.NewRequest(fmt.Sprint("id-", n), "POST", "/p", "h", nil, nil).WithSharedParts([]string{"part"})
			_ = s.Serve(t.Context(), r, 1, q, httptest.NewRecorder())
			time.Sleep(100 * time.Millisecond)
		}
		u.replies = []string{"200 a"}
		w := httptest.NewRecorder()
		e := s.Serve(t.Context(), r, 1, trail.NewRequest("id", "POST", "/p", "h", nil, nil).WithSharedParts([]string{"part"}), w)
		if d := cmp.Diff("200 a", observed(e, w)); d != "" {
			t.Error(d)
		}
		for _, x := range f.LocalLoads(time.Now()) {
			if x.GetFailing() {
				t.Error("other fronts hear of a failing server")
			}
		}
	})
}
