package batch_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/fleet"
)

// repeatingBody returns a body that yields the next text after each pause until
// it is closed.
func repeatingBody(pause time.Duration, text func(n int) string) io.ReadCloser {
	r, w := io.Pipe()
	go func() {
		for n := 1; ; n++ {
			time.Sleep(pause)
			_, e := io.WriteString(w, text(n))
			if e != nil {
				return
			}
		}
	}()
	return r
}

// Guards against a faulty backend server that occupies an item for ever by
// sending a byte now and then, or bytes without end. The item must run again,
// without any output of the faulty response in its result.
func TestFaultyStreamIsAbortedAndRerun(t *testing.T) {
	l := []struct {
		name string
		// Runs until the item is done: one goes on after the ids, to no avail.
		runs int
		body func() io.ReadCloser
	}{
		{"keep-alive comments only", 2, func() io.ReadCloser { return repeatingBody(time.Second, func(int) string { return ":\n\n" }) }},
		{"ids without data", 3, func() io.ReadCloser {
			return repeatingBody(time.Second, func(n int) string { return fmt.Sprintf("id: %d\n\n", n) })
		}},
		{"far more events than tokens", 2, func() io.ReadCloser {
			return repeatingBody(5*time.Millisecond, func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) })
		}},
		{"partial event, byte by byte", 2, func() io.ReadCloser { return repeatingBody(time.Second, func(int) string { return "d" }) }},
		{"endless events without ids", 2, func() io.ReadCloser {
			return repeatingBody(time.Microsecond, func(int) string { return "data: " + strings.Repeat("x", 1000) + "\n\n" })
		}},
		{"one endless event", 2, func() io.ReadCloser {
			return repeatingBody(time.Microsecond, func(int) string { return strings.Repeat("x", 1000) })
		}},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				engine.setBodies("i0", k.body())
				j := newJobs(t, ctx, "a", store, engine, valueBytes)
				accept(t, ctx, j, "j1", 1)
				time.Sleep(15 * time.Second)
				synctest.Wait()
				if d := cmp.Diff([]string{"i0 " + wantOutput("i0")}, listResults(t, ctx, j, "j1")); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff(k.runs, engine.runCount("i0")); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against items that never get a result because their output has more events than
// the job says tokens, as with an event that marks the end.
func TestOutputWithMoreEventsThanTokensIsLost(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		var b, w []string
		for n := range itemTokens + 10 {
			b = append(b, fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n))
			w = append(w, fmt.Sprint(n))
		}
		engine.setBodies("i0", io.NopCloser(strings.NewReader(strings.Join(b, ""))))
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "j1", 1)
		time.Sleep(5 * time.Second)
		if d := cmp.Diff([]string{"i0 " + strings.Join(w, "\n")}, listResults(t, ctx, j, "j1")); d != "" {
			t.Error(d)
		}
	})
}

// countedBody counts the bytes that are read until it is closed.
type countedBody struct {
	io.ReadCloser
	// Bytes of all open bodies, and of this one.
	total *atomic.Int64
	own   atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, e := b.ReadCloser.Read(p)
	b.total.Add(int64(n))
	b.own.Add(int64(n))
	return n, e
}

func (b *countedBody) Close() error {
	b.total.Add(-b.own.Swap(0))
	return b.ReadCloser.Close()
}

// Guards against many backend servers that send events without end, at a moderate
// pace, so that the outputs of all items together use up the memory of the front.
func TestManyEndlessOutputsExhaustMemory(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		var n atomic.Int64
		for i := range 8 {
			b := repeatingBody(10*time.Millisecond, func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000)) })
			engine.setBodies(fmt.Sprint("i", i), &countedBody{ReadCloser: b, total: &n})
		}
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "job", 8)
		m := int64(0)
		for range 600 {
			time.Sleep(10 * time.Millisecond)
			m = max(m, n.Load())
		}
		// Beside the limit, each output may grow by a step before it is counted.
		if m > outputBytes+8*(70<<10) {
			t.Error("bytes of unfinished outputs:", m)
		}
		time.Sleep(time.Minute)
		if d := cmp.Diff(8, len(listResults(t, ctx, j, "job"))); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a slow but sound stream that is aborted. It sends one event
// every 2.9 s, within the event timeout of 4 s.
func TestSlowStreamIsNotAborted(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r, w := io.Pipe()
		go func() {
			for n := 1; n <= 5; n++ {
				time.Sleep(2900 * time.Millisecond)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n)
			}
			_ = w.Close()
		}()
		engine.setBodies("i0", r)
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "j1", 1)
		time.Sleep(17 * time.Second)
		if d := cmp.Diff([]string{"i0 e1\ne2\ne3\ne4\ne5"}, listResults(t, ctx, j, "j1")); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(1, engine.runCount("i0")); d != "" {
			t.Error(d)
		}
	})
}

// Time in which jobs must end once no more come and all is calm.
const finishTime = 18 * time.Second

// Guards against an item that is never placed again because backend servers were
// lost under it in a burst of crashes.
func TestUnluckyItemIsNeverPlacedAgain(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		engine.loseNext(20)
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "j1", 1)
		for engine.runCount("i0") < 20 {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(finishTime)
		if d := cmp.Diff([]string{"i0 " + wantOutput("i0")}, listResults(t, ctx, j, "j1")); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an item whose output is cut off: its streams have no length and
// end with their connections, within an event or before the first one.
func TestUnframedItemOutputIsTruncated(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		engine.setBodies("i0",
			io.NopCloser(strings.NewReader("")),
			io.NopCloser(strings.NewReader("id: 1\ndata: i0\n\nid: 2\nda")),
			io.NopCloser(strings.NewReader("")),
		)
		j := newJobs(t, ctx, "a", store, engine, valueBytes)
		accept(t, ctx, j, "j1", 1)
		time.Sleep(15 * time.Second)
		if d := cmp.Diff([]string{"i0 " + wantOutput("i0")}, listResults(t, ctx, j, "j1")); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(4, engine.runCount("i0")); d != "" {
			t.Error(d)
		}
	})
}

// Guards against one answer with bytes that are not text, which keeps all results of
// its job from being listed: no object can hold them. The item must go on after its
// last sound event.
func TestSpoiledAnswerHidesAllResults(t *testing.T) {
	for _, k := range []struct{ name, event string }{
		{"data", "id: 2\ndata: \xff\xfe\x80\xc3\n\n"},
		{"half a rune", "id: 2\ndata: \xe2\x82\n\n"},
		{"id", "id: \xff\ndata: x\n\n"},
		{"id with a control character", "id: 2\x01\ndata: x\n\n"},
	} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				engine.setBodies("i0", io.NopCloser(strings.NewReader("id: 1\ndata: i0\n\n"+k.event)))
				j := newJobs(t, ctx, "a", store, engine, valueBytes)
				accept(t, ctx, j, "job", 4)
				time.Sleep(15 * time.Second)
				w := []string{"i0 " + wantOutput("i0"), "i1 " + wantOutput("i1"), "i2 " + wantOutput("i2"), "i3 " + wantOutput("i3")}
				if d := cmp.Diff(w, slices.Sorted(slices.Values(listResults(t, ctx, j, "job")))); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff([]string{"", "1"}, engine.resumedAfter["i0"]); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against an item that an earlier version of the program has accepted and that
// can't be sent as one request: it is tried for ever, and the servers that it was meant
// for are avoided as if they had failed.
func TestInvalidItemIsTriedForEver(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		engine.invalid = "i0"
		f := fleet.New("a", "a")
		j := newJobsWithFleet(ctx, f, "a", store, engine, valueBytes)
		accept(t, ctx, j, "job", 40)
		time.Sleep(9 * time.Second)
		n, m := countResults(t, ctx, j, "job")
		if d := cmp.Diff([]int{39, 1, 1}, []int{n, m, engine.runCount("i0")}); d != "" {
			t.Error(d)
		}
		if l := f.LocalLoads(time.Now()); len(l) > 0 {
			t.Error("server is avoided:", l)
		}
	})
}
