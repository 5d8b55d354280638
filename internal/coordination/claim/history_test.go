package claim_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const historySeed = "20261204"

// Both keys are in one shard, whose owner commits them together.
var historyKeys = keys(2)

// history is what the callers of two schedulers have seen.
type history struct {
	m sync.Mutex
	r *rapid.T
	// Attempts granted and not settled as not run, by key.
	holders map[string][]string
	// Attempts whose outcome was sent.
	settled map[string]bool
	// A process was replaced with claims in progress; their keys stay held.
	restarted bool
	attempts  int
	processes []process
	ends      []context.CancelFunc
}

// At most one attempt of a key may be granted unless the earlier one was
// settled as not run, whatever happens to the calls of two owners of the same
// shard. Afterwards no refused attempt may block its key.
func TestHistory(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": historySeed, "rapid.checks": "400", "rapid.nofailfile": "true"} {
		e := flag.Set(k, v)
		if e != nil {
			t.Fatal(e)
		}
	}
	t.Log("seed", historySeed)
	rapid.Check(t, func(r *rapid.T) { rapid.SyncTest(r, play) })
}

func play(r *rapid.T) {
	c, f := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer f()
	h := &history{r: r, holders: map[string][]string{}, settled: map[string]bool{}}
	p := &platform{objects: map[string]object.Object{}}
	for i := range 2 {
		h.start(c, i, p)
		l := rapid.SliceOfN(rapid.IntRange(int(none), int(paused)), 0, 40).Draw(r, "faults")
		for _, n := range l {
			h.processes[i].s.faults = append(h.processes[i].s.faults, fault(n))
		}
	}
	for range rapid.IntRange(1, 25).Draw(r, "steps") {
		h.step(c, p)
		synctest.Wait()
		time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 2, 4, 9, 100, 350, 1900, 2100, 6000}).Draw(r, "wait")) * time.Millisecond)
	}
	for _, a := range h.processes {
		a.s.set(none)
		a.p.pause.Store(0)
	}
	time.Sleep(time.Minute)
	h.finish(c)
}

// start adds process i, or replaces it.
func (h *history) start(c context.Context, i int, p *platform) {
	d, f := context.WithCancel(c)
	if i < len(h.processes) {
		h.ends[i]()
		h.processes[i], h.ends[i] = start(d, h.processes[i].s), f
		h.restarted = true
		return
	}
	s := &store{p: p, latency: time.Duration(3000+1717*i) * time.Microsecond}
	h.processes, h.ends = append(h.processes, start(d, s)), append(h.ends, f)
}

func (h *history) step(c context.Context, p *platform) {
	k := rapid.SampledFrom(historyKeys).Draw(h.r, "key")
	i := rapid.IntRange(0, 1).Draw(h.r, "process")
	a := h.processes[i]
	switch rapid.SampledFrom([]string{"claim", "claim", "claim", "not-run", "ran", "outage", "pause", "restart"}).Draw(h.r, "action") {
	case "claim":
		w := rapid.SampledFrom([]int{30_000, 6, 500}).Draw(h.r, "caller's patience")
		go h.claim(c, a, k, time.Duration(w)*time.Millisecond)
	case "not-run":
		h.settle(c, a, k, notRun)
	case "ran":
		h.settle(c, a, k, ran)
	case "outage":
		a.s.set(outage)
		time.AfterFunc(1500*time.Millisecond, func() { a.s.set(none) })
	case "pause":
		// The next decision stops the process.
		a.p.pause.Store(int64(rapid.SampledFrom([]int{1, 3, 30}).Draw(h.r, "seconds")) * int64(time.Second))
	case "restart":
		if rapid.IntRange(0, 3).Draw(h.r, "whether") == 0 {
			h.start(c, i, p)
		}
	}
}

// claim makes a new attempt and returns its reply, nil when it was refused.
func (h *history) claim(c context.Context, a process, key string, patience time.Duration) *wire.ClaimReply {
	h.m.Lock()
	h.attempts++
	n := fmt.Sprint(h.attempts)
	h.m.Unlock()
	c, f := context.WithTimeout(c, patience)
	defer f()
	y, e := a.Claim(c, request(key, n))
	if e != nil || y.GetResult() != granted {
		return y
	}
	h.m.Lock()
	defer h.m.Unlock()
	if l := h.holders[key]; len(l) > 0 {
		h.r.Errorf("key %s granted to attempt %s, and before to %v", key, n, l)
	}
	h.holders[key] = append(h.holders[key], n)
	return y
}

func (h *history) settle(c context.Context, a process, key string, v wire.Verdict) {
	h.m.Lock()
	defer h.m.Unlock()
	l := h.holders[key]
	if len(l) == 0 || h.settled[l[0]] {
		return
	}
	h.settled[l[0]] = true
	if v == notRun {
		h.holders[key] = l[1:]
	}
	go func() {
		_, e := a.Settle(c, settlement(key, l[0], v))
		for _, w := range []string{"claim-missing", "outcome-differs"} {
			if code(w, e) == "" {
				h.r.Errorf("granted attempt %s is not in force: %v", l[0], e)
			}
		}
	}()
}

// finish checks that each key is held by its holder or free.
func (h *history) finish(c context.Context) {
	for i, k := range historyKeys {
		h.m.Lock()
		n := len(h.holders[k])
		h.m.Unlock()
		y := h.claim(c, h.processes[i], k, time.Minute)
		switch {
		case y == nil:
			h.r.Errorf("key %s: claim is refused without a fault", k)
		case n == 0 && !h.restarted && y.GetResult() != granted:
			h.r.Errorf("key %s is blocked without a holder: %v", k, y)
		}
	}
}
