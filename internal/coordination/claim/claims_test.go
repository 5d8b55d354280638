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
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/testing/protocmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/claim"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// process is the Claims of one scheduler with its test doubles.
type process struct {
	*claim.Claims
	store  *store
	pauser *pauser
	views  views
}

func startProcess(ctx context.Context, store *store) process {
	p := &pauser{}
	l := &log.Logger{Handler: p}
	v := make(views)
	return process{claim.New(ctx, "sched-1", store, v, l, prometheus.NewRegistry()), store, p, v}
}

// runWithProcess runs a test with one process in a synctest bubble.
func runWithProcess(t *testing.T, body func(t *testing.T, c context.Context, a process, p *platform)) {
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		p := &platform{objects: map[string]object.Object{}}
		body(t, c, startProcess(c, &store{platform: p, latency: 3 * time.Millisecond}), p)
		g()
		synctest.Wait()
	})
}

func request(key, attempt string) *wire.Claim {
	return wire.Claim_builder{Caller: new("shop"), Key: &key, AttemptId: &attempt, Digest: new("d")}.Build()
}

func settlement(key, attempt string, verdict wire.Verdict) *wire.Settle {
	o := wire.Outcome_builder{Verdict: &verdict, AnswerId: new("r")}.Build()
	return wire.Settle_builder{Caller: new("shop"), Key: &key, AttemptId: &attempt, Outcome: o}.Build()
}

// sameShardKeys returns count keys in the shard of key "k".
func sameShardKeys(count int) []string {
	var l []string
	for i := 0; len(l) < count; i++ {
		k := fmt.Sprint("key-", i)
		if claim.ShardOf("shop", k) == claim.ShardOf("shop", "k") {
			l = append(l, k)
		}
	}
	return l
}

func expect(t *testing.T, process process, request *wire.Claim, want wire.ClaimReply_Result) *wire.ClaimReply {
	t.Helper()
	y, e := process.Claim(t.Context(), request)
	must(t, e)
	if d := cmp.Diff(want.String(), y.GetResult().String()); d != "" {
		t.Error(d)
	}
	return y
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func fails(t *testing.T, err error, want string) {
	t.Helper()
	if d := codeDiff(want, err); d != "" {
		t.Error(d)
	}
}

func settle(t *testing.T, process process, settlement *wire.Settle) {
	t.Helper()
	_, e := process.Settle(t.Context(), settlement)
	must(t, e)
}

func refused(t *testing.T, process process, request *wire.Claim, want string) {
	t.Helper()
	y, e := process.Claim(t.Context(), request)
	if d := codeDiff(want, e); d != "" {
		t.Error(y, d)
	}
	var w *trail.Error
	if !errors.As(e, &w) || w.Verdict() != trail.NotRun || w.RetryAfter() == 0 {
		t.Error("refusal has a verdict other than NotRun or no Retry-After", e)
	}
}

const (
	granted  = wire.ClaimReply_RESULT_GRANTED
	held     = wire.ClaimReply_RESULT_HELD
	mismatch = wire.ClaimReply_RESULT_MISMATCH
	ran      = wire.Verdict_VERDICT_RAN
	notRun   = wire.Verdict_VERDICT_NOT_RUN
)

// Guards against a key that can be claimed again although its attempt was not
// settled as not run and its entry has not expired, and against outcomes that
// are lost or replaced.
func TestKeyFreedWithoutNotRunOutcome(t *testing.T) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		expect(t, a, request("k", "1"), granted)
		y := expect(t, a, request("k", "2"), held)
		if y.HasOutcome() {
			t.Error("reply has an outcome although the attempt is not settled", y)
		}
		r := request("k", "2")
		r.SetDigest("other")
		expect(t, a, r, mismatch)
		r = request("k", "2")
		r.SetShard(claim.ShardOf("shop", "k") + 1)
		_, e := a.Claim(c, r)
		fails(t, e, "claim-invalid")
		_, e = a.Settle(c, settlement("k", "2", notRun))
		fails(t, e, "claim-missing")
		settle(t, a, settlement("k", "1", notRun))
		refused(t, a, request("k", "1"), "attempt-refused")
		expect(t, a, request("k", "2"), granted)
		s := settlement("k", "2", ran)
		settle(t, a, s)
		_, e = a.Settle(c, settlement("k", "2", notRun))
		fails(t, e, "outcome-differs")
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

// Guards against concurrent claims of one shard that are not batched: one write
// per claim would exhaust the write budget.
func TestOneWritePerClaim(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, p *platform) {
		expect(t, a, request("k", "0"), granted)
		var w sync.WaitGroup
		for _, k := range sameShardKeys(100) {
			w.Go(func() { expect(t, a, request(k, k), granted) })
		}
		w.Wait()
		if d := cmp.Diff(3, p.writes); d != "" {
			t.Error("writes", d)
		}
	})
}

// Guards against a shard that exceeds its part of the write budget, which is 200
// writes per second for all 64 shards, and against claims that are refused
// because the platform limits the call rate.
func TestWriteBudgetExceeded(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, p *platform) {
		a.store.faults = []fault{none, limited}
		b := time.Now()
		for i := 0; time.Since(b) < time.Minute; i++ {
			expect(t, a, request("k", fmt.Sprint(i)), granted)
			settle(t, a, settlement("k", fmt.Sprint(i), notRun))
		}
		if m := 4 + 60*200/64; p.writes > m {
			t.Error("writes", p.writes, "of", m)
		}
	})
}

// Guards against a grant that is not stored at the platform after the response
// to its update was lost. The update may also be committed only after the shard
// was read back, or never.
func TestLostUpdateReplyLosesGrant(t *testing.T) {
	for _, f := range []fault{lost, late, dropped} {
		runWithProcess(t, func(t *testing.T, _ context.Context, a process, p *platform) {
			a.store.faults = []fault{none, f}
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

// Guards against an attempt that is refused while the result of its update is
// unknown, and that is granted later or keeps blocking its key.
func TestUnknownCommitBlocksKey(t *testing.T) {
	for _, f := range []fault{lost, late, veryLate, hung, dropped} {
		unknownCommit(t, f, false)
		unknownCommit(t, f, true)
	}
}

// unknownCommit injects one fault, then lost responses, for a key that is new or
// was used by an attempt that did not run.
func unknownCommit(t *testing.T, injected fault, used bool) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, p *platform) {
		if used {
			expect(t, a, request("k", "0"), granted)
			settle(t, a, settlement("k", "0", notRun))
			a.store.faults = []fault{injected, lost, lost, lost, lost, lost}
		} else {
			a.store.faults = []fault{none, injected, lost, lost, lost, lost, lost}
		}
		b := time.Now()
		refused(t, a, request("k", "1"), "claim-timeout")
		if d := cmp.Diff(2*time.Second, time.Since(b)); d != "" {
			t.Error(d)
		}
		time.Sleep(10 * time.Second)
		m, e := p.entries()
		if d := cmp.Diff(notRun, m["k"].GetOutcome().GetVerdict()); e != nil || d != "" {
			t.Error(injected, e, d)
		}
		if !used {
			refused(t, a, request("k", "1"), "attempt-refused")
		}
		expect(t, a, request("k", "2"), granted)
	})
}

// Guards against an attempt that is refused while its update is in flight and
// then claims the key again with the same id.
func TestRefusedAttemptClaimsAgain(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, _ *platform) {
		a.store.faults = []fault{slow, slow}
		refused(t, a, request("k", "1"), "claim-timeout")
		refused(t, a, request("k", "1"), "attempt-refused")
		expect(t, a, request("k", "2"), granted)
	})
}

// Guards against a grant after the claim's deadline by a process that was paused
// while its update was committed.
func TestPausedOwnerGrantsLate(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, _ *platform) {
		expect(t, a, request("k", "0"), granted)
		// After the pause the runtime selects either the deadline or the result
		// of the update first, so several keys are tried.
		for _, k := range sameShardKeys(20) {
			d := make(chan struct{})
			go func() {
				refused(t, a, request(k, "1"), "claim-timeout")
				close(d)
			}()
			time.Sleep(2 * time.Millisecond)
			// The update is in flight. Logging the invalid claim pauses the task
			// until after the deadline.
			a.pauser.pause.Store(int64(3 * time.Second))
			_, e := a.Claim(t.Context(), request("", "1"))
			fails(t, e, "claim-invalid")
			<-d
			time.Sleep(time.Second)
			expect(t, a, request(k, "2"), granted)
		}
	})
}

// Guards against a shard that stays in memory, or is no longer served, after
// another scheduler has become its owner.
func TestUnownedShardStaysInMemory(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, p *platform) {
		expect(t, a, request("k", "1"), granted)
		expect(t, a, request(sameShardKeys(1)[0], "1"), granted)
		if d := cmp.Diff(1, p.reads); d != "" {
			t.Error("reads", d)
		}
		m := wire.Member_builder{Id: new("sched-2"), Role: new("sched")}.Build()
		a.views <- wire.View_builder{Members: []*wire.Member{m}}.Build()
		expect(t, a, request("k", "2"), held)
		if d := cmp.Diff(2, p.reads); d != "" {
			t.Error("reads", d)
		}
	})
}

// Guards against a claim that keeps holding its key although its caller
// cancelled it.
func TestCancelledClaimHoldsKey(t *testing.T) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		a.store.faults = []fault{none, slow}
		d, f := context.WithTimeout(c, time.Second)
		defer f()
		_, e := a.Claim(d, request("k", "1"))
		fails(t, e, "claim-ended")
		time.Sleep(time.Second)
		expect(t, a, request("k", "2"), granted)
	})
}

// Guards against claims that block during a platform outage, and against an
// outcome that is lost because it was settled during one.
func TestOutageLosesOutcome(t *testing.T) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, _ *platform) {
		expect(t, a, request("k", "1"), granted)
		expect(t, a, request("free", "1"), granted)
		settle(t, a, settlement("free", "1", notRun))
		a.store.set(outage)
		refused(t, a, request("l", "2"), "platform-unavailable")
		b := time.Now()
		refused(t, a, request("free", "3"), "platform-unavailable")
		expect(t, a, request("k", "2"), held)
		if d := cmp.Diff(time.Duration(0), time.Since(b)); d != "" {
			t.Error(d)
		}
		_, e := a.Settle(c, settlement("k", "1", ran))
		fails(t, e, "settle-postponed")
		time.Sleep(time.Minute)
		a.store.set(none)
		e = a.Drain(c)
		must(t, e)
		refused(t, a, request("l", "3"), "draining")
		a = startProcess(c, a.store)
		y := expect(t, a, request("k", "2"), held)
		if d := cmp.Diff(ran, y.GetOutcome().GetVerdict()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a full shard that accepts more claims, or has no room left for
// the outcomes of those it holds.
func TestFullShardRefusesOutcome(t *testing.T) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, _ *platform) {
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
			settle(t, a, settlement(k, k, ran))
		}
		settle(t, a, settlement(l[0], l[0], notRun))
		expect(t, a, request(l[0], "2"), granted)
	})
}

// Guards against replies to claims and settlements that do not reach a peer
// which sent them over a stream.
func TestPeerReplyMissing(t *testing.T) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, _ *platform) {
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
