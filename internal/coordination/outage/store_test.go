package outage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/outage"
	"bulrushtrail.example/trail/internal/state/object"
)

// platform counts calls, which all end with err.
type platform struct {
	trail.StaleStore
	err   error
	calls int
}

func (p *platform) Get(context.Context, string, string) (object.Object, error) {
	p.calls++
	return object.Object{}, p.err
}

func (p *platform) List(context.Context, string) ([]object.Object, int64, error) {
	p.calls++
	return nil, 0, p.err
}

var errAway = trail.WrapError(trail.ErrUnavailable, "platform-unreachable", trail.NotRun, "no connection")

func newStore(p *platform) *outage.Store {
	return outage.New(p, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
}

// Guards against the calls that a front repeats many times a second while the platform
// is away, and against an end of the outage that is noticed late: one front makes at most
// 4 calls a second, and is served again within 300 ms.
func TestCallsAreRepeatedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{err: errAway}
		s := newStore(p)
		for range 600 {
			_, e := s.Get(t.Context(), "k", "n")
			_, _, f := s.List(t.Context(), "k")
			if !errors.Is(e, trail.ErrUnavailable) || !errors.Is(f, trail.ErrUnavailable) || trail.VerdictOf(e) != trail.NotRun {
				t.Fatal(e, f)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if p.calls > 4*6+4 {
			t.Errorf("%d calls in 6 s", p.calls)
		}
		p.err = nil
		b := time.Now()
		for {
			_, e := s.Get(t.Context(), "k", "n")
			if e == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Since(b); d > 300*time.Millisecond {
			t.Errorf("end of the outage was noticed after %s", d)
		}
		_, e := s.Get(t.Context(), "k", "n")
		if e != nil {
			t.Error(e)
		}
	})
}

// Guards against an outage that is assumed although the platform answers: single lost
// answers, refusals of the object itself, and calls that their callers have given up.
func TestAnswersCountAsOutage(t *testing.T) {
	c, f := context.WithCancel(t.Context())
	f()
	for k, x := range map[string]struct {
		ctx  context.Context
		errs []error
	}{
		"lost answers between others": {t.Context(), []error{errAway, errAway, errAway, nil}},
		"missing objects":             {t.Context(), []error{trail.WrapError(trail.ErrNotFound, "object-missing", trail.NotRun, "no object")}},
		"conflicts":                   {t.Context(), []error{trail.WrapError(trail.ErrConflict, "object-changed", trail.NotRun, "changed")}},
		"cancelled calls":             {c, []error{errAway}},
	} {
		p := &platform{}
		s := newStore(p)
		for n := range 40 {
			p.err = x.errs[n%len(x.errs)]
			_, _ = s.Get(x.ctx, "k", "n")
		}
		if d := cmp.Diff(40, p.calls); d != "" {
			t.Errorf("%s: calls made: %s", k, d)
		}
	}
}
