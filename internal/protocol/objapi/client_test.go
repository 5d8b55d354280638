package objapi_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/objapi"
	"bulrushtrail.example/trail/internal/standin/kube"
	"bulrushtrail.example/trail/internal/state/object"
)

// network is an in-memory network with one server.
type network struct {
	accept chan net.Conn
	closed chan struct{}
	// Whether dials fail.
	down atomic.Bool
	// Number of dials so far.
	dials atomic.Int32
	// A connection that receives bytes for the client while this is set
	// discards these and all later ones.
	mute atomic.Bool
}

// mutedConn is the client side of a connection, which the network can mute.
type mutedConn struct {
	net.Conn
	network *network
}

func (m mutedConn) Read(b []byte) (int, error) {
	n, e := m.Conn.Read(b)
	if e == nil && m.network.mute.Load() {
		// Discards all bytes until the other side closes the connection.
		for e == nil {
			n, e = m.Conn.Read(b)
		}
	}
	return n, e
}

func (n *network) DialContext(context.Context, string, string) (net.Conn, error) {
	n.dials.Add(1)
	if n.down.Load() {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	n.accept <- b
	return mutedConn{a, n}, nil
}

func (n *network) Accept() (net.Conn, error) {
	select {
	case a := <-n.accept:
		return a, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *network) Close() error { close(n.closed); return nil }

func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

// start starts a platform and returns a client for it.
func start(ctx context.Context, t *testing.T, writesPerSecond int) (*objapi.Client, *network) {
	l := &log.Logger{Handler: discard.New()}
	n := &network{accept: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{Handler: kube.New(ctx, 1000, writesPerSecond, time.Second, l, prometheus.NewRegistry())}
	go func() { _ = s.Serve(n) }()
	t.Cleanup(func() { _ = s.Close() })
	return objapi.New("http://platform", n, l, prometheus.NewRegistry()), n
}

func control(t *testing.T, network *network, method, path, body string) {
	t.Helper()
	q, _ := http.NewRequestWithContext(t.Context(), method, "http://platform/control/"+path, bytes.NewBufferString(body))
	r, e := (&http.Client{Transport: &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}}).Do(q)
	if e != nil || r.StatusCode >= 300 {
		t.Fatal(r, e)
	}
	_ = r.Body.Close()
}

// run runs a test with the fake clock of synctest, and stops the platform and
// the client's connections afterwards.
func run(t *testing.T, writesPerSecond int, test func(c context.Context, t *testing.T, s *objapi.Client, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		s, n := start(c, t, writesPerSecond)
		test(c, t, s, n)
		g()
		// Idle connections are closed after 30 s.
		time.Sleep(time.Minute)
	})
}

func checkError(t *testing.T, err, want error, verdict trail.Verdict) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error %v is not %v", err, want)
	}
	if d := cmp.Diff(verdict.String(), trail.VerdictOf(err).String()); d != "" {
		t.Errorf("%v: %s", err, d)
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func value(text string) []byte { return []byte(`{"v":"` + text + `"}`) }

// Guards against errors with a wrong sentinel or verdict, which make a writer
// give up a change that took effect, or repeat one.
func TestErrorsMatchResponses(t *testing.T) {
	run(t, 1000, func(c context.Context, t *testing.T, s *objapi.Client, _ *network) {
		a, e := s.Create(c, object.New("jobs", "a/1", 0, value("1")))
		requireNoError(t, e)
		_, e = s.Create(c, a)
		checkError(t, e, trail.ErrExists, trail.NotRun)
		b, e := s.Update(c, object.New("jobs", "a/1", a.Version(), value("2")))
		requireNoError(t, e)
		_, e = s.Update(c, a)
		checkError(t, e, trail.ErrConflict, trail.NotRun)
		checkError(t, s.Delete(c, a), trail.ErrConflict, trail.NotRun)
		o, e := s.Get(c, "jobs", "a/1")
		if d := cmp.Diff(string(b.Value()), string(o.Value())); e != nil || d != "" {
			t.Error(e, d)
		}
		l, v, e := s.List(c, "jobs")
		if d := cmp.Diff([]int64{b.Version(), b.Version(), 1}, []int64{o.Version(), v, int64(len(l))}); e != nil || d != "" {
			t.Error(e, d)
		}
		e = s.Delete(c, b)
		requireNoError(t, e)
		_, e = s.Get(c, "jobs", "a/1")
		checkError(t, e, trail.ErrNotFound, trail.NotRun)
		_, e = s.Update(c, b)
		checkError(t, e, trail.ErrNotFound, trail.NotRun)
		_, e = s.Create(c, object.New("jobs", "b", 0, bytes.Repeat([]byte("1"), 1<<20+1)))
		checkError(t, e, trail.ErrUnavailable, trail.NotRun)
		_, e = s.Create(c, object.New("jobs", "b", 0, bytes.Repeat([]byte("1"), 1<<20)))
		requireNoError(t, e)
	})
}

// Guards against failed writes that are reported as not run although they may
// have taken effect, or the other way round, and against writes that are sent
// twice.
func TestFailedWritesReportVerdict(t *testing.T) {
	run(t, 2, func(c context.Context, t *testing.T, s *objapi.Client, n *network) {
		n.down.Store(true)
		_, e := s.Create(c, object.New("jobs", "a", 0, value("1")))
		checkError(t, e, trail.ErrUnavailable, trail.NotRun)
		n.down.Store(false)
		control(t, n, "POST", "faults", `{"outage":"refuse"}`)
		_, e = s.Create(c, object.New("jobs", "a", 0, value("1")))
		checkError(t, e, trail.ErrUnavailable, trail.NotRun)
		control(t, n, "POST", "faults", `{"outage":"close"}`)
		d := n.dials.Load()
		_, e = s.Create(c, object.New("jobs", "a", 0, value("1")))
		checkError(t, e, trail.ErrUnavailable, trail.MayHaveRun)
		if d := cmp.Diff(d+1, n.dials.Load()); d != "" {
			t.Error("write did not use exactly one connection", d)
		}
		control(t, n, "POST", "faults", `{"lost-answers":{"writes":1,"kind":"jobs"}}`)
		_, e = s.Create(c, object.New("jobs", "a", 0, value("1")))
		checkError(t, e, trail.ErrUnavailable, trail.MayHaveRun)
		a, e := s.Get(c, "jobs", "a")
		if e != nil {
			t.Fatal("change whose response was lost did not take effect", e)
		}
		_, e = s.Update(c, a)
		requireNoError(t, e)
		_, e = s.Update(c, a)
		checkError(t, e, trail.ErrUnavailable, trail.NotRun)
		var r *trail.Error
		if !errors.As(e, &r) || r.RetryAfter() != time.Second {
			t.Error("error of an exhausted call budget has no retry delay of 1 s", e)
		}
		time.Sleep(time.Second)
		control(t, n, "POST", "faults", `{"delay-ms":60000}`)
		b := time.Now()
		_, e = s.Update(c, a)
		checkError(t, e, trail.ErrUnavailable, trail.MayHaveRun)
		if d := cmp.Diff(2*time.Second, time.Since(b)); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a platform that appears unreachable because established
// connections have stopped responding, while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	run(t, 1000, func(c context.Context, t *testing.T, s *objapi.Client, n *network) {
		a, e := s.Create(c, object.New("jobs", "a", 0, value("1")))
		requireNoError(t, e)
		w, e := s.Watch(c, "jobs", a.Version())
		requireNoError(t, e)
		_, e = s.Get(c, "jobs", "a")
		requireNoError(t, e)
		n.mute.Store(true)
		// The first attempt of the read times out on a muted connection.
		time.AfterFunc(500*time.Millisecond, func() { n.mute.Store(false) })
		_, e = s.Get(c, "jobs", "a")
		requireNoError(t, e)
		_, e = s.Update(c, a)
		requireNoError(t, e)
		b := time.Now()
		<-w
		if time.Since(b) > 4*time.Second {
			t.Error("watch delivered the change after", time.Since(b))
		}
	})
}

// Guards against a watch that skips or repeats a change from one HTTP request
// to the next, or that does not report that it cannot continue.
func TestWatchContinuesAcrossRequests(t *testing.T) {
	run(t, 10000, func(c context.Context, t *testing.T, s *objapi.Client, n *network) {
		w, e := s.Watch(c, "jobs", 0)
		requireNoError(t, e)
		var o object.Object
		for i := range 5 {
			o = object.New("jobs", "a", o.Version(), value("1"))
			if i == 0 {
				o, e = s.Create(c, o)
			} else {
				o, e = s.Update(c, o)
			}
			requireNoError(t, e)
			g := <-w
			if d := cmp.Diff(o.Version(), g.Object().Version()); d != "" {
				t.Error(d)
			}
			time.Sleep(1500 * time.Millisecond)
		}
		e = s.Delete(c, o)
		if g := <-w; e != nil || !g.Deleted() {
			t.Error(e, g)
		}
		control(t, n, "PUT", "hosts/h", `{"name":"h"}`)
		h, e := s.Watch(c, "hosts", 0)
		b := time.Now()
		if g := <-h; e != nil || g.Object().Name() != "h" || time.Since(b) != time.Second {
			t.Error("change of the host list did not arrive after the platform's lag of 1 s", e, time.Since(b))
		}
		for range 1100 {
			a, e := s.Create(c, object.New("files", "f", 0, value("1")))
			requireNoError(t, e)
			e = s.Delete(c, a)
			requireNoError(t, e)
		}
		_, e = s.Watch(c, "files", 0)
		checkError(t, e, trail.ErrTooOld, trail.NotRun)
		control(t, n, "POST", "faults", `{"outage":"refuse"}`)
		_, x := <-w
		if x {
			t.Error("watch channel is still open during an outage")
		}
	})
}

// Guards against a value that is counted in another encoding than the one that is sent,
// so that one which the platform takes is refused, or one that it refuses is sent.
func TestValueIsCountedOtherThanSent(t *testing.T) {
	o := 1<<20 - len(value(""))
	for n, k := range []struct {
		text string
		fits bool
	}{
		{strings.Repeat("x", o), true},
		{strings.Repeat("x", o+1), false},
		{strings.Repeat("<", o/6) + strings.Repeat("x", o%6), true},
		{strings.Repeat("<", o/6) + strings.Repeat("x", o%6+1), false},
		{strings.Repeat("😀", o/4) + strings.Repeat("x", o%4), true},
	} {
		run(t, 1000, func(c context.Context, t *testing.T, s *objapi.Client, w *network) {
			_, e := s.Create(c, object.New("jobs", "a", 0, append(value(k.text), ' ')))
			if d := cmp.Diff([]bool{k.fits, k.fits}, []bool{e == nil, w.dials.Load() > 0}); d != "" {
				t.Error(n, e, d)
			}
		})
	}
}
