package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/relay"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// platform returns err from each call, and an object of version 7.
type platform struct {
	trail.StaleStore
	err   error
	calls int
	// Calls that the relay has reported as not answered.
	unanswered int
}

func (p *platform) reply(request object.Object) (object.Object, error) {
	p.calls++
	return object.New(request.Kind(), request.Name(), 7, []byte(`{}`)), p.err
}

func (p *platform) Get(_ context.Context, kind, name string) (object.Object, error) {
	return p.reply(object.New(kind, name, 0, nil))
}

func (p *platform) GetStale(ctx context.Context, kind, name string) (object.Object, error) {
	return p.Get(ctx, kind, name)
}

func (p *platform) Create(_ context.Context, obj object.Object) (object.Object, error) {
	return p.reply(obj)
}

func (p *platform) Update(_ context.Context, obj object.Object) (object.Object, error) {
	return p.reply(obj)
}

func refusedError() error {
	return trail.WrapError(trail.ErrUnavailable, "platform-unavailable", trail.NotRun, "refused")
}

// runRelay runs a test with the store of a front that can call a second front,
// and with the platform as the first front (near) and the second (far) reach it.
func runRelay(t *testing.T, test func(c context.Context, s *relay.Store, near, far *platform)) {
	golden.Bubble(t, func(_ *testing.T, ctx context.Context) {
		n := memnet.New()
		l := &log.Logger{Handler: discard.New()}
		e, r := &platform{}, &platform{}
		m := mesh.New(ctx, &wire.Hello{}, n, l)
		a := relay.New(e, m, func() []string { return []string{"far:1"} }, func() { e.unanswered++ }, l)
		b := relay.New(r, m, func() []string { return nil }, func() {}, l)
		go func() {
			_ = m.Serve(ctx, n.Listen("far:1"), func(ctx context.Context, s *frame.Stream, o *wire.Open, _ *wire.Hello) {
				b.ServeCall(ctx, s, o.GetStore())
			})
		}()
		synctest.Wait()
		test(ctx, a, e, r)
	})
}

// Guards against a front whose platform calls fail while nothing else learns of
// it: each call without an answer must be reported, and no other.
func TestUnansweredCallIsUnknown(t *testing.T) {
	runRelay(t, func(ctx context.Context, s *relay.Store, near, _ *platform) {
		_, _ = s.Get(ctx, "k", "n")
		g := []int{near.unanswered}
		near.err = refusedError()
		_, _ = s.Get(ctx, "k", "n")
		g = append(g, near.unanswered)
		near.err = nil
		time.Sleep(2 * time.Second)
		_, _ = s.GetStale(ctx, "k", "n")
		g = append(g, near.unanswered)
		if d := cmp.Diff([]int{0, 1, 1}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a front that refuses work because the platform does not answer
// it, although the platform answers other fronts.
func TestRefusedCallIsMadeThroughAnotherFront(t *testing.T) {
	runRelay(t, func(ctx context.Context, s *relay.Store, near, far *platform) {
		near.err = refusedError()
		o, e := s.Get(ctx, "jobs", "a")
		if e != nil {
			t.Fatal(e)
		}
		if d := cmp.Diff([]any{"jobs", "a", int64(7), "{}"}, []any{o.Kind(), o.Name(), o.Version(), string(o.Value())}); d != "" {
			t.Error(d)
		}
		// No direct call is made during the backoff, and one after it.
		_, _ = s.Get(ctx, "jobs", "a")
		time.Sleep(2 * time.Second)
		near.err = nil
		_, _ = s.Get(ctx, "jobs", "a")
		if d := cmp.Diff([]int{2, 2}, []int{near.calls, far.calls}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a stale read that fails although another front can read, and
// against one that calls the platform during the backoff.
func TestStaleReadIsMadeThroughAnotherFront(t *testing.T) {
	runRelay(t, func(ctx context.Context, s *relay.Store, near, far *platform) {
		_, e := s.GetStale(ctx, "jobs", "a")
		near.err = refusedError()
		_, f := s.GetStale(ctx, "jobs", "a")
		_, g := s.GetStale(ctx, "jobs", "a")
		if e != nil || f != nil || g != nil {
			t.Error(e, f, g)
		}
		if d := cmp.Diff([]int{2, 2}, []int{near.calls, far.calls}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a write that runs twice, because it is repeated through another
// front after its response was lost.
func TestWriteThatMayHaveRunIsNotRepeated(t *testing.T) {
	runRelay(t, func(ctx context.Context, s *relay.Store, near, far *platform) {
		near.err = trail.WrapError(trail.ErrUnavailable, "platform-answer-lost", trail.MayHaveRun, "lost")
		_, e := s.Create(ctx, object.New("jobs", "a", 0, nil))
		if d := cmp.Diff([]any{trail.MayHaveRun, 0}, []any{trail.VerdictOf(e), far.calls}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an error whose kind, code or verdict changes when a call is made
// through another front.
func TestErrorsKeepKindCodeAndVerdict(t *testing.T) {
	for _, x := range []error{trail.ErrConflict, trail.ErrExists, trail.ErrNotFound, trail.ErrUnavailable} {
		for _, v := range []trail.Verdict{trail.NotRun, trail.MayHaveRun} {
			runRelay(t, func(ctx context.Context, s *relay.Store, near, far *platform) {
				near.err = refusedError()
				far.err = trail.WrapError(x, "some-code", v, "failed")
				_, e := s.Update(ctx, object.New("jobs", "a", 3, nil))
				if !errors.Is(e, x) {
					t.Errorf("%v became %v", x, e)
				}
				if d := cmp.Diff([]any{v, "some-code"}, []any{trail.VerdictOf(e), trail.CodeOf(e)}); d != "" {
					t.Error(x, d)
				}
			})
		}
	}
}

// Guards against the verdict "not run" for a write that was sent to a front whose
// connection was then lost. Only a write to an unreachable front has not run.
func TestWriteSentToLostFrontMayHaveRun(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, ctx context.Context) {
		l := &log.Logger{Handler: discard.New()}
		n := memnet.New()
		m := mesh.New(ctx, &wire.Hello{}, n, l)
		a := &platform{err: refusedError()}
		s := relay.New(a, m, func() []string { return []string{"gone:1"} }, func() {}, l)
		_, e := s.Create(ctx, object.New("jobs", "a", 0, nil))
		if d := cmp.Diff([]any{trail.NotRun, true}, []any{trail.VerdictOf(e), errors.Is(e, trail.ErrUnavailable)}); d != "" {
			t.Error(d)
		}
		go func() {
			_ = m.Serve(ctx, n.Listen("gone:1"), func(context.Context, *frame.Stream, *wire.Open, *wire.Hello) {})
		}()
		synctest.Wait()
		_, e = s.Create(ctx, object.New("jobs", "a", 0, nil))
		if d := cmp.Diff(trail.MayHaveRun, trail.VerdictOf(e)); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an additional read after each conflict, although the platform
// has returned the current object with it.
func TestConflictReturnsCurrentObject(t *testing.T) {
	runRelay(t, func(ctx context.Context, s *relay.Store, near, _ *platform) {
		near.err = trail.WrapError(trail.ErrConflict, "object-changed", trail.NotRun, "changed")
		o, e := s.Update(ctx, object.New("jobs", "a", 3, nil))
		if d := cmp.Diff([]any{true, int64(7)}, []any{errors.Is(e, trail.ErrConflict), o.Version()}); d != "" {
			t.Error(d)
		}
	})
}
