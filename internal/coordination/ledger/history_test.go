package ledger_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/ledger"
)

// Guards against more accepted tokens than the limit, and against tokens that
// stay reserved for ever. In random histories fronts accept and finish jobs, are
// lost and restarted, while platform calls fail, lose their responses and take
// effect late.
func TestLimitExceededOrQuotaLostInRandomHistories(t *testing.T) {
	for n := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { runHistory(t, n) })
	}
}

// simulation holds the fronts and the jobs that they have accepted.
type simulation struct {
	random   *rand.Rand
	platform *platform
	ledgers  []*ledger.Ledger
	// Waiting tokens, by job.
	waiting map[string]int64
	// Index of the front that runs a job, by job.
	owner map[string]int
	// Ledgers started so far.
	startedCount   uint64
	seed           uint64
	faultsDisabled atomic.Bool
}

// startLedger starts a front of whose platform calls 3 in 16 fail.
func (x *simulation) startLedger() *ledger.Ledger {
	x.startedCount++
	r := rand.New(rand.NewPCG(x.seed, 100+x.startedCount))
	return newLedgerWithFaults(x.platform, func() int {
		if x.faultsDisabled.Load() || r.IntN(4) > 0 {
			return 0
		}
		return r.IntN(4)
	}, callLatency+time.Duration(x.startedCount)*time.Microsecond)
}

// runHistory plays the random history of a seed. It checks the limit after each
// step, and at the end that all tokens can be reserved again.
func runHistory(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	p := newPlatform()
	x := &simulation{random: r, platform: p, seed: seed, waiting: map[string]int64{}, owner: map[string]int{}}
	for range 4 {
		x.ledgers = append(x.ledgers, x.startLedger())
	}
	for n := range 150 {
		x.step(n)
		if u := x.totalWaiting(); u > limit {
			t.Fatalf("seed %d, step %d: %d tokens wait, limit exceeded", seed, n, u)
		}
	}
	x.faultsDisabled.Store(true)
	for j := range x.owner {
		x.reduceJob(j, 0)
	}
	time.Sleep(time.Minute)
	// The first attempt finds stale entries; those without a job are removed
	// after a grace period.
	c := x.ledgers[0]
	reserve(c, "all", limit)
	time.Sleep(40 * time.Second)
	if d := cmp.Diff("", reserve(c, "all", limit)); d != "" {
		t.Errorf("seed %d: not all tokens can be reserved, %d still are: %s", seed, p.usedTokens(), d)
	}
}

// step accepts a job, finishes a part of one, or restarts a front.
func (x *simulation) step(stepNumber int) {
	f := x.random.IntN(len(x.ledgers))
	switch k := x.random.IntN(10); {
	case k < 5:
		j := fmt.Sprint("j", stepNumber)
		w := int64(1 + x.random.IntN(40))
		if reserve(x.ledgers[f], j, w) == "" {
			x.platform.setJob(j, true)
			x.waiting[j], x.owner[j] = w, f
		}
	case k < 9:
		for _, j := range slices.Sorted(maps.Keys(x.waiting)) {
			if x.waiting[j] > 0 {
				x.reduceJob(j, x.waiting[j]/2)
				break
			}
		}
	default:
		x.restartFront(f)
	}
	time.Sleep(time.Duration(x.random.IntN(400)) * time.Millisecond)
}

// reduceJob lowers the waiting tokens of a job. At 0 the job has ended.
func (x *simulation) reduceJob(job string, tokens int64) {
	x.waiting[job] = tokens
	if tokens == 0 {
		x.platform.setJob(job, false)
	}
	x.ledgers[x.owner[job]].ReduceReservation(route.GetName(), "", job, tokens)
}

// restartFront replaces a front by a new one without state. The next front takes
// over its jobs.
func (x *simulation) restartFront(front int) {
	x.ledgers[front] = x.startLedger()
	n := (front + 1) % len(x.ledgers)
	for j, o := range x.owner {
		if o == front {
			x.owner[j] = n
			if x.waiting[j] > 0 {
				x.ledgers[n].SetReservation(route, "", j, x.waiting[j])
			}
		}
	}
}

func (x *simulation) totalWaiting() int64 {
	n := int64(0)
	for _, w := range x.waiting {
		n += w
	}
	return n
}
