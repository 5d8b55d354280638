package claim_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/testing/protocmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/claim"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// process is one scheduler's claims.
type process struct {
	*claim.Claims
	s *store
}

func start(c context.Context, p *platform, latency time.Duration) process {
	s := &store{p: p, latency: latency}
	l := &log.Logger{Handler: discard.New()}
	return process{claim.New(c, "sched-1", s, views{}, l, prometheus.NewRegistry()), s}
}

// run runs a test with one process under the paused clock.
func run(t *testing.T, f func(t *testing.T, c context.Context, a process, p *platform)) {
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		p := &platform{objects: map[string]object.Object{}}
		f(t, c, start(c, p, 3*time.Millisecond), p)
		g()
		synctest.Wait()
	})
}

func request(key, attempt string) *wire.Claim {
	return wire.Claim_builder{Caller: new("shop"), Key: &key, AttemptId: &attempt, Digest: new("d")}.Build()
}

func settlement(key, attempt string, v wire.Verdict) *wire.Settle {
	o := wire.Outcome_builder{Verdict: &v, AnswerId: new("r")}.Build()
	return wire.Settle_builder{Caller: new("shop"), Key: &key, AttemptId: &attempt, Outcome: o}.Build()
}

func expect(t *testing.T, a process, r *wire.Claim, want wire.ClaimReply_Result) *wire.ClaimReply {
	t.Helper()
	y, e := a.Claim(t.Context(), r)
	if e != nil {
		t.Fatal(e)
	}
	if d := cmp.Diff(want.String(), y.GetResult().String()); d != "" {
		t.Error(d)
	}
	return y
}

func refused(t *testing.T, a process, r *wire.Claim, want string) {
	t.Helper()
	y, e := a.Claim(t.Context(), r)
	if d := code(want, e); d != "" {
		t.Error(y, d)
	}
	var w *trail.Error
	if !errors.As(e, &w) || w.Verdict() != trail.NotRun || w.Wait() == 0 {
		t.Error("refusal is not final or names no wait", e)
	}
}

const (
	granted  = wire.ClaimReply_RESULT_GRANTED
	held     = wire.ClaimReply_RESULT_HELD
	mismatch = wire.ClaimReply_RESULT_MISMATCH
	ran      = wire.Verdict_VERDICT_RAN
	notRun   = wire.Verdict_VERDICT_NOT_RUN
)

// A key must be free again only after its attempt was settled as not run.
func TestOutcomes(t *testing.T) {
	run(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		expect(t, a, request("k", "1"), granted)
		y := expect(t, a, request("k", "2"), held)
		if y.HasOutcome() {
			t.Error("outcome of a running attempt", y)
		}
		r := request("k", "2")
		r.SetDigest("other")
		expect(t, a, r, mismatch)
		r = request("k", "2")
		r.SetShard(claim.ShardOf("shop", "k") + 1)
		_, e := a.Claim(c, r)
		if d := code("claim-invalid", e); d != "" {
			t.Error(d)
		}
		_, e = a.Settle(c, settlement("k", "2", notRun))
		if d := code("claim-missing", e); d != "" {
			t.Error(d)
		}
		_, e = a.Settle(c, settlement("k", "1", notRun))
		if e != nil {
			t.Error(e)
		}
		refused(t, a, request("k", "1"), "attempt-refused")
		expect(t, a, request("k", "2"), granted)
		s := settlement("k", "2", ran)
		_, e = a.Settle(c, s)
		if e != nil {
			t.Error(e)
		}
		_, e = a.Settle(c, settlement("k", "2", notRun))
		if d := code("outcome-differs", e); d != "" {
			t.Error(d)
		}
		y = expect(t, a, request("k", "3"), held)
		if d := cmp.Diff(s.GetOutcome(), y.GetOutcome(), protocmp.Transform()); d != "" {
			t.Error(d)
		}
		time.Sleep(24*time.Hour - time.Second)
		expect(t, a, request("k", "3"), held)
		time.Sleep(time.Second)
		expect(t, a, request("k", "3"), granted)
	})
}

// Claims of one shard that each cost a write would use up the call budget.
func TestGroupCommit(t *testing.T) {
	run(t, func(t *testing.T, _ context.Context, a process, p *platform) {
		expect(t, a, request("k", "0"), granted)
		var w sync.WaitGroup
		n := 0
		for i := 0; n < 100; i++ {
			k := fmt.Sprint("key-", i)
			if claim.ShardOf("shop", k) != claim.ShardOf("shop", "k") {
				continue
			}
			n++
			w.Go(func() { expect(t, a, request(k, k), granted) })
		}
		w.Wait()
		if d := cmp.Diff(3, p.writes); d != "" {
			t.Error("writes", d)
		}
	})
}

// A lost answer must end in a grant that the platform holds, also when the
// update arrives after it was looked for.
func TestLostAnswer(t *testing.T) {
	for _, f := range []fault{lost, late, dropped} {
		run(t, func(t *testing.T, _ context.Context, a process, p *platform) {
			a.s.faults = []fault{none, f}
			expect(t, a, request("k", "1"), granted)
			time.Sleep(time.Second)
			m, e := p.entries()
			if d := cmp.Diff("1", m["k"].GetAttemptId()); e != nil || d != "" {
				t.Error(e, d)
			}
			expect(t, a, request("k", "2"), held)
		})
	}
}

// An attempt that was refused while its commit was unknown must neither be
// granted later nor block its key.
func TestUnknownCommit(t *testing.T) {
	for _, f := range []fault{lost, late, dropped} {
		run(t, func(t *testing.T, _ context.Context, a process, p *platform) {
			a.s.faults = []fault{none, f, lost, lost, lost, lost, lost, lost, lost, lost, lost}
			b := time.Now()
			refused(t, a, request("k", "1"), "claim-timeout")
			if d := cmp.Diff(2*time.Second, time.Since(b)); d != "" {
				t.Error(d)
			}
			time.Sleep(10 * time.Second)
			m, e := p.entries()
			if v := m["k"].GetOutcome().GetVerdict(); e != nil || m["k"] != nil && v != notRun {
				t.Error(e, m["k"])
			}
			expect(t, a, request("k", "2"), granted)
		})
	}
}

// A claim that its caller gave up must free its key.
func TestCallerLeaves(t *testing.T) {
	run(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		a.s.faults = []fault{none, slow}
		d, f := context.WithTimeout(c, time.Second)
		defer f()
		_, e := a.Claim(d, request("k", "1"))
		if d := code("claim-ended", e); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Second)
		expect(t, a, request("k", "2"), granted)
	})
}

// Claims during an outage must end at once, and outcomes must survive it.
func TestOutage(t *testing.T) {
	run(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		expect(t, a, request("k", "1"), granted)
		a.s.set(outage)
		refused(t, a, request("l", "2"), "platform-unavailable")
		b := time.Now()
		refused(t, a, request("l", "3"), "platform-unavailable")
		expect(t, a, request("k", "2"), held)
		if d := cmp.Diff(time.Duration(0), time.Since(b)); d != "" {
			t.Error(d)
		}
		_, e := a.Settle(c, settlement("k", "1", ran))
		if d := code("settle-postponed", e); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Minute)
		a.s.set(none)
		e = a.Drain(c)
		if e != nil {
			t.Error(e)
		}
		refused(t, a, request("l", "3"), "draining")
		a = start(c, a.s.p, time.Millisecond)
		y := expect(t, a, request("k", "2"), held)
		if d := cmp.Diff(ran, y.GetOutcome().GetVerdict()); d != "" {
			t.Error(d)
		}
	})
}

// A shard that is full must refuse claims and still take outcomes.
func TestFull(t *testing.T) {
	run(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		var l []string
		for i := 0; ; i++ {
			k := strings.Repeat("<", 600) + fmt.Sprint(i)
			if claim.ShardOf("shop", k) != 0 {
				continue
			}
			_, e := a.Claim(c, request(k, k))
			if e != nil {
				refused(t, a, request(k, k), "claims-full")
				break
			}
			l = append(l, k)
		}
		for _, k := range l[1:] {
			_, e := a.Settle(c, settlement(k, k, ran))
			if e != nil {
				t.Fatal(e)
			}
		}
		_, e := a.Settle(c, settlement(l[0], l[0], notRun))
		if e != nil {
			t.Fatal(e)
		}
		expect(t, a, request(l[0], "2"), granted)
	})
}

// The peer must get the reply that a caller in the process gets.
func TestServe(t *testing.T) {
	run(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		x, y := net.Pipe()
		f := frame.New(y)
		go a.ServeClaim(c, frame.New(x), request("k", "1"))
		r := &wire.ClaimReply{}
		e := f.Recv(r)
		if e != nil || r.GetResult() != granted {
			t.Error(r, e)
		}
		go a.ServeSettle(c, frame.New(x), settlement("k", "1", ran))
		s := &wire.SettleReply{}
		e = f.Recv(s)
		if e != nil || !s.GetDone() {
			t.Error(s, e)
		}
	})
}
