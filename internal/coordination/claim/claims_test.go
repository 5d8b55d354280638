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

// process is one scheduler's claims.
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

// runWithProcess runs a test with one process under the paused clock.
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

// sameShardKeys returns n keys in the shard of "k".
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

func settle(t *testing.T, a process, settlement *wire.Settle) {
	t.Helper()
	_, e := a.Settle(t.Context(), settlement)
	must(t, e)
}

func refused(t *testing.T, a process, request *wire.Claim, want string) {
	t.Helper()
	y, e := a.Claim(t.Context(), request)
	if d := codeDiff(want, e); d != "" {
		t.Error(y, d)
	}
	var w *trail.Error
	if !errors.As(e, &w) || w.Verdict() != trail.NotRun || w.RetryAfter() == 0 {
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
func TestKeyFreedWithoutNotRunOutcome(t *testing.T) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, _ *platform) {
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

// Claims of one shard that each cost a write would use up the call budget.
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

// Claims must not use up the platform's call budget, of which all 64 shards
// have 200 writes a second, and must not be refused when it is used up.
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

// A lost answer must end in a grant that the platform holds, also when the
// update arrives after it was looked for.
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

// An attempt that was refused while its commit was unknown must neither be
// granted later nor block its key.
func TestUnknownCommitBlocksKey(t *testing.T) {
	for _, f := range []fault{lost, late, veryLate, hung, dropped} {
		unknownCommit(t, f, false)
		unknownCommit(t, f, true)
	}
}

// unknownCommit runs into one fault, with a key that is new or was used by an
// attempt that did not run.
func unknownCommit(t *testing.T, f fault, used bool) {
	runWithProcess(t, func(t *testing.T, c context.Context, a process, p *platform) {
		if used {
			expect(t, a, request("k", "0"), granted)
			settle(t, a, settlement("k", "0", notRun))
			a.store.faults = []fault{f, lost, lost, lost, lost, lost}
		} else {
			a.store.faults = []fault{none, f, lost, lost, lost, lost, lost}
		}
		b := time.Now()
		refused(t, a, request("k", "1"), "claim-timeout")
		if d := cmp.Diff(2*time.Second, time.Since(b)); d != "" {
			t.Error(d)
		}
		time.Sleep(10 * time.Second)
		m, e := p.entries()
		if d := cmp.Diff(notRun, m["k"].GetOutcome().GetVerdict()); e != nil || d != "" {
			t.Error(f, e, d)
		}
		if !used {
			refused(t, a, request("k", "1"), "attempt-refused")
		}
		expect(t, a, request("k", "2"), granted)
	})
}

// An attempt that was refused while its update was in progress must not be
// taken again under the same id.
func TestRefusedAttemptClaimsAgain(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, _ *platform) {
		a.store.faults = []fault{slow, slow}
		refused(t, a, request("k", "1"), "claim-timeout")
		refused(t, a, request("k", "1"), "attempt-refused")
		expect(t, a, request("k", "2"), granted)
	})
}

// A process that is paused while its update takes effect must not grant after
// the caller's time.
func TestPausedOwnerGrantsLate(t *testing.T) {
	runWithProcess(t, func(t *testing.T, _ context.Context, a process, _ *platform) {
		expect(t, a, request("k", "0"), granted)
		// The runtime picks the deadline or the result of the update first.
		for _, k := range sameShardKeys(20) {
			d := make(chan struct{})
			go func() {
				refused(t, a, request(k, "1"), "claim-timeout")
				close(d)
			}()
			time.Sleep(2 * time.Millisecond)
			// The update is on its way. The log line of an invalid claim pauses
			// the task until after the deadline.
			a.pauser.pause.Store(int64(3 * time.Second))
			_, e := a.Claim(t.Context(), request("", "1"))
			fails(t, e, "claim-invalid")
			<-d
			time.Sleep(time.Second)
			expect(t, a, request(k, "2"), granted)
		}
	})
}

// A shard that another scheduler owns must not stay in memory, and must be
// served all the same.
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

// A claim that its caller gave up must free its key.
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

// Claims during an outage must end at once, and outcomes must survive it.
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

// A shard that is full must refuse claims and still take outcomes.
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

// The peer must get the reply that a caller in the process gets.
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
