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

// Both keys are in one shard, so their claims can be batched into one update.
var historyKeys = sameShardKeys(2)

// history records what the callers of two schedulers have observed.
type history struct {
	mu    sync.Mutex
	rapid *rapid.T
	// Attempts granted and not settled as not run, by key.
	holders map[string][]string
	// Attempts for which a settlement was sent.
	settled map[string]bool
	// Whether a process was replaced. Claims in progress at that time are never
	// settled, so their keys stay held.
	restarted bool
	attempts  int
	processes []process
	ends      []context.CancelFunc
}

// Guards against a key that is granted to two attempts although the first was
// not settled as not run, and against a refused attempt that blocks its key.
// Two processes serve the same shard under random faults, pauses and restarts.
func TestHistory(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": historySeed, "rapid.checks": "400", "rapid.nofailfile": "true"} {
		e := flag.Set(k, v)
		if e != nil {
			t.Fatal(e)
		}
	}
	t.Log("seed", historySeed)
	rapid.Check(t, func(r *rapid.T) { rapid.SyncTest(r, playHistory) })
}

func playHistory(r *rapid.T) {
	c, f := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer f()
	h := &history{rapid: r, holders: map[string][]string{}, settled: map[string]bool{}}
	p := &platform{objects: map[string]object.Object{}}
	for i := range 2 {
		h.start(c, i, p)
		l := rapid.SliceOfN(rapid.IntRange(int(none), int(paused)), 0, 40).Draw(r, "faults")
		for _, n := range l {
			h.processes[i].store.faults = append(h.processes[i].store.faults, fault(n))
		}
	}
	for range rapid.IntRange(1, 25).Draw(r, "steps") {
		h.step(c, p)
		synctest.Wait()
		time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 2, 4, 9, 100, 350, 1900, 2100, 6000}).Draw(r, "wait")) * time.Millisecond)
	}
	for _, a := range h.processes {
		a.store.set(none)
		a.pauser.pause.Store(0)
	}
	time.Sleep(time.Minute)
	h.finish(c)
}

// start adds the process with the given index, or replaces it by a new one.
func (h *history) start(ctx context.Context, index int, platform *platform) {
	d, f := context.WithCancel(ctx)
	if index < len(h.processes) {
		h.ends[index]()
		h.processes[index], h.ends[index] = startProcess(d, h.processes[index].store), f
		h.restarted = true
		return
	}
	s := &store{platform: platform, latency: time.Duration(3000+1717*index) * time.Microsecond}
	h.processes, h.ends = append(h.processes, startProcess(d, s)), append(h.ends, f)
}

func (h *history) step(ctx context.Context, platform *platform) {
	k := rapid.SampledFrom(historyKeys).Draw(h.rapid, "key")
	i := rapid.IntRange(0, 1).Draw(h.rapid, "process")
	a := h.processes[i]
	switch rapid.SampledFrom([]string{"claim", "claim", "claim", "not-run", "ran", "outage", "pause", "restart"}).Draw(h.rapid, "action") {
	case "claim":
		w := rapid.SampledFrom([]int{30_000, 6, 500}).Draw(h.rapid, "caller timeout")
		go h.claim(ctx, a, k, time.Duration(w)*time.Millisecond)
	case "not-run":
		h.settle(ctx, a, k, notRun)
	case "ran":
		h.settle(ctx, a, k, ran)
	case "outage":
		a.store.set(outage)
		time.AfterFunc(1500*time.Millisecond, func() { a.store.set(none) })
	case "pause":
		// The task is paused when it logs its next decision.
		a.pauser.pause.Store(int64(rapid.SampledFrom([]int{1, 3, 30}).Draw(h.rapid, "seconds")) * int64(time.Second))
	case "restart":
		if rapid.IntRange(0, 3).Draw(h.rapid, "whether") == 0 {
			h.start(ctx, i, platform)
		}
	}
}

// claim makes a new attempt and returns its reply, nil if it was refused.
func (h *history) claim(ctx context.Context, process process, key string, timeout time.Duration) *wire.ClaimReply {
	h.mu.Lock()
	h.attempts++
	n := fmt.Sprint(h.attempts)
	h.mu.Unlock()
	c, f := context.WithTimeout(ctx, timeout)
	defer f()
	y, e := process.Claim(c, request(key, n))
	if e != nil || y.GetResult() != granted {
		return y
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.holders[key]; len(l) > 0 {
		h.rapid.Errorf("key %s granted to attempt %s although held by %v", key, n, l)
	}
	h.holders[key] = append(h.holders[key], n)
	return y
}

func (h *history) settle(ctx context.Context, process process, key string, verdict wire.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.holders[key]
	if len(l) == 0 || h.settled[l[0]] {
		return
	}
	h.settled[l[0]] = true
	if verdict == notRun {
		h.holders[key] = l[1:]
	}
	go func() {
		_, e := process.Settle(ctx, settlement(key, l[0], verdict))
		for _, w := range []string{"claim-missing", "outcome-differs"} {
			if codeDiff(w, e) == "" {
				h.rapid.Errorf("claim of granted attempt %s was lost: %v", l[0], e)
			}
		}
	}()
}

// finish checks that claims of each key are decided, and that a key without a
// holder can be claimed.
func (h *history) finish(ctx context.Context) {
	for i, k := range historyKeys {
		h.mu.Lock()
		n := len(h.holders[k])
		h.mu.Unlock()
		y := h.claim(ctx, h.processes[i], k, time.Minute)
		switch {
		case y == nil:
			h.rapid.Errorf("key %s: claim refused although no fault is active", k)
		case n == 0 && !h.restarted && y.GetResult() != granted:
			h.rapid.Errorf("key %s cannot be claimed although it has no holder: %v", k, y)
		}
	}
}
