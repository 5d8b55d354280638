package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/ledger"
	"bulrushtrail.example/trail/internal/coordination/quota"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Limit of waiting tokens of the route.
const limit = 100

// platform is an in-memory store of one object that also holds the states of the
// jobs.
type platform struct {
	trail.StaleStore
	mu     sync.Mutex
	stored object.Object
	// Number of create and update calls.
	writes int
	// Whether a job is open, by name.
	jobOpen map[string]bool
	// Returns the outcome of the next call: 0 it succeeds, 1 it fails without
	// effect, 2 it takes effect and the response is lost, 3 it fails and takes
	// effect a second later. A read fails on any but 0.
	callOutcome func() int
}

// client is the platform as one front calls it. Each client has its own outcomes
// and latency of calls, so that a history is the same for the same seed.
type client struct {
	*platform
	callOutcome func() int
	latency     time.Duration
}

func (p client) Get(context.Context, string, string) (object.Object, error) {
	return p.get(p.latency, p.callOutcome())
}

func (p client) GetStale(context.Context, string, string) (object.Object, error) {
	return p.get(p.latency, p.callOutcome())
}

func (p client) Create(_ context.Context, created object.Object) (object.Object, error) {
	return p.put(created, trail.ErrExists, p.latency, p.callOutcome())
}

func (p client) Update(_ context.Context, updated object.Object) (object.Object, error) {
	return p.put(updated, trail.ErrConflict, p.latency, p.callOutcome())
}

func newPlatform() *platform {
	return &platform{jobOpen: map[string]bool{}, callOutcome: func() int { return 0 }}
}

func failure(cause error, verdict trail.Verdict) error {
	return trail.WrapError(cause, "failed", verdict, "failed")
}

func (p *platform) get(latency time.Duration, outcome int) (object.Object, error) {
	time.Sleep(latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcome != 0 {
		return object.Object{}, failure(trail.ErrUnavailable, trail.NotRun)
	}
	if p.stored.Version() == 0 {
		return p.stored, failure(trail.ErrNotFound, trail.NotRun)
	}
	return p.stored, nil
}

func (p *platform) put(written object.Object, conflict error, latency time.Duration, outcome int) (object.Object, error) {
	time.Sleep(latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	switch outcome {
	case 1:
		return written, failure(trail.ErrUnavailable, trail.NotRun)
	case 3:
		time.AfterFunc(time.Second, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.compareAndSet(written)
		})
		return written, failure(trail.ErrUnavailable, trail.MayHaveRun)
	}
	if !p.compareAndSet(written) {
		return p.stored, failure(conflict, trail.NotRun)
	}
	if outcome == 2 {
		return written, failure(trail.ErrUnavailable, trail.MayHaveRun)
	}
	return p.stored, nil
}

// compareAndSet stores an object if the version has not changed, and returns
// whether it did; the caller holds the lock.
func (p *platform) compareAndSet(written object.Object) bool {
	if p.stored.Version() != written.Version() {
		return false
	}
	p.stored = object.New(written.Kind(), written.Name(), written.Version()+1, written.Value())
	return true
}

func (p *platform) States(context.Context) (map[string]bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]bool{}
	for j, o := range p.jobOpen {
		m[j] = o
	}
	return m, nil
}

// setJob records that a job is stored, open or not.
func (p *platform) setJob(name string, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobOpen[name] = open
}

// usedTokens returns the tokens reserved in the stored account, -1 if it cannot
// be decoded.
func (p *platform) usedTokens() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &wire.QuotaAccount{}
	if p.stored.Version() > 0 && p.stored.Decode(v) != nil {
		return -1
	}
	return quota.New(v).Used()
}

// newLedger returns the ledger of a front with the platform's own call outcomes.
func newLedger(store *platform) *ledger.Ledger {
	return newLedgerWithFaults(store, func() int { return store.callOutcome() }, callLatency)
}

func newLedgerWithFaults(store *platform, callOutcome func() int, latency time.Duration) *ledger.Ledger {
	return ledger.New(client{store, callOutcome, latency}, store, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
}

// Latency of a platform call.
const callLatency = 4 * time.Millisecond

// route is a route with a limit.
var route = wire.RouteRule_builder{
	Name: proto.String("r"), WaitingTokens: proto.Int64(limit), DueMs: proto.Int64(18_000),
}.Build()

// reserve reserves tokens and returns the error's code and verdict, empty for
// success.
func reserve(front *ledger.Ledger, job string, tokens int64) string {
	c, f := context.WithTimeout(context.Background(), 3*time.Second)
	defer f()
	e := front.Reserve(c, route, "", job, tokens)
	if e == nil {
		return ""
	}
	return trail.CodeOf(e) + " " + trail.VerdictOf(e).String()
}

// Guards against fronts that together reserve more than the limit, because each
// decides by its own copy of the account.
func TestConcurrentFrontsExceedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		var w sync.WaitGroup
		var m sync.Mutex
		n := map[string]int{}
		for i := range 8 {
			s := newLedger(p)
			w.Go(func() {
				for k := range 3 {
					x := reserve(s, fmt.Sprint(i, "-", k), 10)
					m.Lock()
					n[x]++
					m.Unlock()
				}
			})
		}
		w.Wait()
		if d := cmp.Diff(map[string]int{"": 10, "quota-exceeded not-run": 14}, n); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(int64(limit), p.usedTokens()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against tokens that are released so late that jobs which would fit are
// rejected. While a quota is near its limit, each front must release tokens of
// finished items within a second, also a front that only knows it from another.
func TestQuotaFreedTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		a, b := newLedger(p), newLedger(p)
		g := []string{reserve(a, "x", 60), reserve(b, "y", 30)}
		p.setJob("x", true)
		p.setJob("y", true)
		a.ReduceReservation(route.GetName(), "", "x", 20)
		g = append(g, reserve(b, "z", 30))
		if b.NearLimit() {
			a.MarkPeerNearLimit()
		}
		// Tokens that were released a second ago must be available.
		time.Sleep(time.Second)
		g = append(g, reserve(b, "z", 30))
		if d := cmp.Diff([]string{"", "", "quota-exceeded not-run", ""}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a job that is accepted without an entry in the account. The
// update that reserves its tokens also releases as many of another job, so the
// sum stays the same and the update was not written. The test with random
// histories found this in some of its runs.
func TestJobAcceptedWithoutEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		s := newLedger(p)
		g := []string{reserve(s, "x", 60)}
		s.ReduceReservation(route.GetName(), "", "x", 0)
		g = append(g, reserve(s, "y", 60))
		p.setJob("x", false)
		p.setJob("y", true)
		g = append(g, reserve(newLedger(p), "z", 50))
		if d := cmp.Diff([]string{"", "", "quota-exceeded not-run"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against entries that are never removed: of jobs whose front was lost
// before it released their tokens, and of jobs that were never accepted. The
// entry of a job that is being accepted must stay.
func TestStaleEntriesAreNeverRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		a, b := newLedger(p), newLedger(p)
		g := []string{reserve(a, "ended", 50), reserve(a, "accepting", 30)}
		p.setJob("ended", false)
		g = append(g, reserve(b, "new", 70), reserve(b, "small", 60))
		p.setJob("new", true)
		time.Sleep(40 * time.Second)
		g = append(g, reserve(b, "last", 30))
		if d := cmp.Diff([]string{"", "", "", "quota-exceeded not-run", ""}, g); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(int64(limit), p.usedTokens()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against one write for each reservation and change: those of one front
// that are pending at the same time share a write.
func TestEachChangeIsWrittenAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		s := newLedger(p)
		var w sync.WaitGroup
		for i := range 6 {
			w.Go(func() { reserve(s, fmt.Sprint(i), 5) })
		}
		w.Wait()
		for i := range 6 {
			for k := range 5 {
				s.ReduceReservation(route.GetName(), "", fmt.Sprint(i), int64(4-k))
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Second)
		if d := cmp.Diff(int64(0), p.usedTokens()); d != "" {
			t.Error(d)
		}
		if p.writes > 3 {
			t.Error("account was written", p.writes, "times, want 3 at most")
		}
	})
}

// Guards against a job that is counted twice, or rejected because of its own
// entry, after the response to the write that reserves its tokens was lost. Also
// guards against a platform outage in which jobs are accepted, or callers wait
// longer than the write timeout.
func TestLostWriteReplyOrPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		s := newLedger(p)
		n := 0
		p.callOutcome = func() int { n++; return []int{0, 2, 0, 0, 0}[min(n-1, 4)] }
		g := []string{reserve(s, "a", 60)}
		p.callOutcome = func() int { return 1 }
		b := time.Now()
		g = append(g, reserve(s, "b", 30))
		if time.Since(b) > 2100*time.Millisecond {
			t.Error("caller waited", time.Since(b))
		}
		p.callOutcome = func() int { return 0 }
		g = append(g, reserve(s, "b", 40))
		if d := cmp.Diff([]string{"", "failed not-run", ""}, g); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(int64(limit), p.usedTokens()); d != "" {
			t.Error(d)
		}
	})
}
