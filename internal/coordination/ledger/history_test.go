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

// Guards, by random histories, against more accepted tokens than the limit and
// against room that is lost for good: fronts accept and finish jobs, are lost and
// replaced, while writes fail, are lost and come late.
func TestHistories(t *testing.T) {
	for n := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { history(t, n) })
	}
}

// fronts is some fronts and the jobs that they have accepted.
type fronts struct {
	r *rand.Rand
	p *platform
	l []*ledger.Ledger
	// Tokens that wait, by job, and the front that runs it.
	waiting map[string]int64
	owner   map[string]int
	// Ledgers started so far.
	started uint64
	seed    uint64
	// No call fails any more.
	calm atomic.Bool
}

// ledger starts a front whose calls fail now and then.
func (x *fronts) ledger() *ledger.Ledger {
	x.started++
	r := rand.New(rand.NewPCG(x.seed, 100+x.started))
	return newClient(x.p, func() int {
		if x.calm.Load() || r.IntN(4) > 0 {
			return 0
		}
		return r.IntN(4)
	}, callTime+time.Duration(x.started)*time.Microsecond)
}

func history(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	p := newPlatform()
	x := &fronts{r: r, p: p, seed: seed, waiting: map[string]int64{}, owner: map[string]int{}}
	for range 4 {
		x.l = append(x.l, x.ledger())
	}
	for n := range 150 {
		x.step(n)
		if u := x.sum(); u > limit {
			t.Fatalf("seed %d, step %d: %d tokens wait", seed, n, u)
		}
	}
	x.calm.Store(true)
	for j := range x.owner {
		x.finish(j, 0)
	}
	time.Sleep(time.Minute)
	// Whoever needs the room finds what is left over.
	c := x.l[0]
	reserve(c, "all", limit)
	time.Sleep(40 * time.Second)
	if d := cmp.Diff("", reserve(c, "all", limit)); d != "" {
		t.Errorf("seed %d: room is lost, %d tokens are held: %s", seed, p.used(), d)
	}
}

func (x *fronts) step(n int) {
	f := x.r.IntN(len(x.l))
	switch k := x.r.IntN(10); {
	case k < 5:
		j := fmt.Sprint("j", n)
		w := int64(1 + x.r.IntN(40))
		if reserve(x.l[f], j, w) == "" {
			x.p.job(j, true)
			x.waiting[j], x.owner[j] = w, f
		}
	case k < 9:
		for _, j := range slices.Sorted(maps.Keys(x.waiting)) {
			if x.waiting[j] > 0 {
				x.finish(j, x.waiting[j]/2)
				break
			}
		}
	default:
		x.replace(f)
	}
	time.Sleep(time.Duration(x.r.IntN(400)) * time.Millisecond)
}

// finish leaves so many tokens of a job waiting.
func (x *fronts) finish(job string, tokens int64) {
	x.waiting[job] = tokens
	if tokens == 0 {
		x.p.job(job, false)
	}
	x.l[x.owner[job]].Lower(route, job, tokens)
}

// replace starts a front anew. The next one takes its jobs over.
func (x *fronts) replace(front int) {
	x.l[front] = x.ledger()
	n := (front + 1) % len(x.l)
	for j, o := range x.owner {
		if o == front {
			x.owner[j] = n
			if x.waiting[j] > 0 {
				x.l[n].Hold(route, j, x.waiting[j])
			}
		}
	}
}

func (x *fronts) sum() int64 {
	n := int64(0)
	for _, w := range x.waiting {
		n += w
	}
	return n
}
