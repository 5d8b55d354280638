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

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// versionUpstream answers with events that name the software version of the
// server. The first attempt ends after its second event.
type versionUpstream struct {
	attempts []string
	// Start of the process that answers the first attempt, 0 if it does not tell.
	born int64
	// Called before the first attempt is answered, and before it ends.
	beforeAnswer, beforeEnd func()
}

func (u *versionUpstream) Send(_ context.Context, server *wire.BackendServer, _ *trail.Request, resume string) (*trail.Response, error) {
	u.attempts = append(u.attempts, server.GetVersion()+" after "+resume)
	n := 0
	_, _ = fmt.Sscan(resume, &n)
	var t string
	l := n + 2
	for n++; n <= l; n++ {
		t += fmt.Sprintf("id: %d\ndata: %s\n\n", n, server.GetVersion())
	}
	if len(u.attempts) == 1 && u.beforeAnswer != nil {
		u.beforeAnswer()
	}
	if len(u.attempts) > 1 {
		return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body(t)}, 0), nil
	}
	return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(body(t), &endReader{u.beforeEnd}))}, u.born), nil
}

// endReader calls a function and then fails as a lost connection does.
type endReader struct{ before func() }

func (r *endReader) Read([]byte) (int, error) {
	if r.before != nil {
		r.before()
	}
	return 0, io.ErrUnexpectedEOF
}

func versionServer(id, version string, born int64) *wire.BackendServer {
	return wire.BackendServer_builder{
		Id: &id, Service: proto.String("v"), Version: &version, DataCentre: proto.String("a"), Slots: proto.Int32(8), Born: &born,
	}.Build()
}

func setServers(f *fleet.Fleet, servers ...*wire.BackendServer) {
	f.SetServers(time.Now(), servers, time.Now(), time.Now())
}

// Guards against a stream that goes on at another software version: when only
// servers of another one are left, when the server has started again with another
// one during the run, and when a caller takes a stream up.
func TestStreamGoesOnAtAnotherVersion(t *testing.T) {
	a, b := versionServer("a", "v1", 1), versionServer("b", "v2", 1)
	l := []struct {
		name          string
		servers       []*wire.BackendServer
		beforeEnd     []*wire.BackendServer
		resumes, want string
		attempts      int
	}{
		{"same version left", []*wire.BackendServer{a, versionServer("c", "v1", 1)}, nil, "", "200 4 events", 2},
		{"other version left", []*wire.BackendServer{a}, []*wire.BackendServer{a, b}, "", "200 2 events(cut)", 1},
		{"server has started again with another version", []*wire.BackendServer{a}, []*wire.BackendServer{versionServer("a", "v2", 2), versionServer("c", "v1", 1), b}, "", "200 2 events(cut)", 1},
		{"versions are not named", []*wire.BackendServer{versionServer("a", "", 1), versionServer("c", "", 1)}, nil, "", "200 2 events(cut)", 1},
		{"taken up, stream not known", []*wire.BackendServer{a, b}, nil, "other", "stream-unknown not-run", 0},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("front", "a")
				setServers(f, k.servers...)
				u := &versionUpstream{}
				if k.beforeEnd != nil {
					u.beforeEnd = func() { setServers(f, k.beforeEnd...) }
				}
				q := trail.NewRequest("id", "POST", "/p", "h", nil, nil)
				if k.resumes != "" {
					q = q.WithResumption(k.resumes, "2")
				}
				w := httptest.NewRecorder()
				g := observed(newDirect(f, u).Serve(t.Context(), route(wire.Repeat_REPEAT_SAFE, true, true, 2), 1, q, w), w)
				if d := cmp.Diff(k.want, countEvents(g)); d != "" {
					t.Error(d, u.attempts)
				}
				if d := cmp.Diff(k.attempts, len(u.attempts)); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against events that are attributed to the process that the registry names
// although another one sends them, and against streams that can't go on because their
// server has started again since.
func TestEventsAreAttributedToAnotherProcess(t *testing.T) {
	a, c := versionServer("a", "v1", 1), versionServer("c", "v1", 1)
	b, d := versionServer("a", "v2", 2), versionServer("d", "v2", 1)
	l := []struct {
		name string
		// Start of the process of "a" that answers.
		born                             int64
		servers, beforeAnswer, beforeEnd []*wire.BackendServer
		want                             string
		attempts                         []string
		takenUpAt                        string
	}{
		{"registry names the process before", 2, []*wire.BackendServer{a}, nil, []*wire.BackendServer{a, c, d}, "200 2 events(cut)", []string{"v1 after "}, "none"},
		{"registry names the process before the end", 2, []*wire.BackendServer{a}, nil, []*wire.BackendServer{b, c, d}, "200 4 events", []string{"v1 after ", "v2 after 2"}, "v2"},
		{"registry names the process when it answers", 2, []*wire.BackendServer{a}, []*wire.BackendServer{b}, []*wire.BackendServer{b, c, d}, "200 4 events", []string{"v1 after ", "v2 after 2"}, "v2"},
		{"registry names the next process before the end", 1, []*wire.BackendServer{a}, nil, []*wire.BackendServer{b, c, d}, "200 4 events", []string{"v1 after ", "v1 after 2"}, "v1"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("front", "a")
				setServers(f, k.servers...)
				u := &versionUpstream{born: k.born, beforeEnd: func() { setServers(f, k.beforeEnd...) }}
				if k.beforeAnswer != nil {
					u.beforeAnswer = func() { setServers(f, k.beforeAnswer...) }
				}
				s := newDirect(f, u)
				w := httptest.NewRecorder()
				r := route(wire.Repeat_REPEAT_SAFE, true, true, 2)
				g := observed(s.Serve(t.Context(), r, 1, trail.NewRequest("id", "POST", "/p", "h", nil, nil), w), w)
				if d := cmp.Diff(k.want, countEvents(g)); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff(k.attempts, u.attempts); d != "" {
					t.Error(d)
				}
				n := len(u.attempts)
				_ = s.Serve(t.Context(), r, 1, trail.NewRequest("again", "POST", "/p", "h", nil, nil).WithResumption("id", "2"), httptest.NewRecorder())
				v := "none"
				if len(u.attempts) > n {
					v, _, _ = strings.Cut(u.attempts[n], " ")
				}
				if d := cmp.Diff(k.takenUpAt, v); d != "" {
					t.Error("taken up:", d)
				}
			})
		})
	}
}

// countEvents replaces the events of an observed response by their number.
func countEvents(observed string) string {
	if !strings.HasPrefix(observed, "200 ") {
		return observed
	}
	c := ""
	if strings.HasSuffix(observed, "(cut)") {
		c = "(cut)"
	}
	return fmt.Sprintf("200 %d events%s", strings.Count(observed, "data: "), c)
}

// Guards against streams that are refused because servers of a new version are left
// free until it is recorded, and against streams that begin there although others
// can take them.
func TestStreamAvoidsUnrecordedVersionAtAnyPrice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New("front", "a")
		k := newBuilds(f)
		u := &versionUpstream{}
		s := newDirectWithBuilds(f, k, u)
		a, b := versionServer("a", "v1", 1), versionServer("b", "v2", 1)
		setServers(f, a)
		d, _ := k.Digest(time.Now())
		k.Confirm(time.Now(), d)
		setServers(f, a, b)
		r := route(wire.Repeat_REPEAT_SAFE, true, true, 1)
		for n := range 2 {
			_ = s.Serve(t.Context(), r, 1, trail.NewRequest(fmt.Sprint("id-", n), "POST", "/p", "h", nil, nil), httptest.NewRecorder())
			for range 16 {
				f.AcquireOnline(time.Now(), "v", 300*time.Millisecond, 5*time.Second, func(b *wire.BackendServer, _ bool) bool { return b.GetId() == "a" }, 0)
			}
		}
		if d := cmp.Diff([]string{"v1 after ", "v2 after "}, u.attempts); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a stream that is refused, or cut, although the registry names the
// version of the process that began it by the time that it goes on. The service has
// one version only: its server has started again under its id.
func TestStreamOfProcessThatIsListedLaterIsRefused(t *testing.T) {
	a, b, c := versionServer("a", "v1", 1), versionServer("a", "v1", 2), versionServer("c", "v1", 1)
	for _, k := range []struct {
		name     string
		attempts int32
		want     string
		takenUp  string
	}{
		{"further attempt", 2, "200 4 events", "v1"},
		{"taken up", 1, "200 2 events(cut)", "v1"},
	} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("front", "a")
				setServers(f, a)
				u := &versionUpstream{born: 2, beforeEnd: func() { setServers(f, b, c) }}
				s := newDirect(f, u)
				w := httptest.NewRecorder()
				r := route(wire.Repeat_REPEAT_SAFE, true, true, k.attempts)
				g := observed(s.Serve(t.Context(), r, 1, trail.NewRequest("id", "POST", "/p", "h", nil, nil), w), w)
				if d := cmp.Diff(k.want, countEvents(g)); d != "" {
					t.Error(d)
				}
				n := len(u.attempts)
				e := s.Serve(t.Context(), r, 1, trail.NewRequest("again", "POST", "/p", "h", nil, nil).WithResumption("id", "2"), httptest.NewRecorder())
				v := "none"
				if len(u.attempts) > n {
					v, _, _ = strings.Cut(u.attempts[n], " ")
				}
				if d := cmp.Diff(k.takenUp, v); d != "" {
					t.Error("taken up:", d, e)
				}
			})
		})
	}
}

// replacedUpstream answers streams that begin, as a process does that the registry
// does not name yet, and refuses those that go on.
type replacedUpstream struct{ versionUpstream }

func (u *replacedUpstream) Send(ctx context.Context, server *wire.BackendServer, request *trail.Request, resume string) (*trail.Response, error) {
	if resume != "" {
		u.attempts = append(u.attempts, "replaced")
		return nil, trail.NewError("backend-restarted", trail.NotRun, "another process of the backend server has the address")
	}
	u.attempts = append(u.attempts, "begins")
	return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body("id: 1\ndata: x\n\n")}, server.GetBorn()), nil
}

// Guards against a sound server that gets no new requests because streams of the
// process before, which can't go on there, count as its failures.
func TestTakeUpsCountAgainstReplacedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New("front", "a")
		setServers(f, versionServer("a", "v1", 1))
		u := &replacedUpstream{}
		s := newDirect(f, u)
		r := route(wire.Repeat_REPEAT_SAFE, true, true, 1)
		x := func(id string) string {
			w := httptest.NewRecorder()
			return countEvents(observed(s.Serve(t.Context(), r, 1, trail.NewRequest(id, "POST", "/p", "h", nil, nil), w), w))
		}
		for n := range 6 {
			_ = x(fmt.Sprint("id-", n))
		}
		// Six streams are taken up within a second.
		for n := range 6 {
			_ = s.Serve(t.Context(), r, 1, trail.NewRequest(fmt.Sprint("again-", n), "POST", "/p", "h", nil, nil).WithResumption(fmt.Sprint("id-", n), "1"), httptest.NewRecorder())
			time.Sleep(150 * time.Millisecond)
		}
		var g []string
		for n := range 3 {
			g = append(g, x(fmt.Sprint("new-", n)))
			time.Sleep(100 * time.Millisecond)
		}
		if d := cmp.Diff([]string{"200 1 events", "200 1 events", "200 1 events"}, g); d != "" {
			t.Error(d, u.attempts)
		}
	})
}
