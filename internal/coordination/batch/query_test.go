package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against reads of the platform for results that do not exist yet, and
// against results that reach callers late. It comes about when callers query
// any front every second for results that take 8 s.
func TestOwnerServesResultsWithoutPlatformReads(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "front-1", "front-2", "front-3")
		r.advance(6*time.Second, "")
		accept(t, ctx, r.jobs["front-1"], "job", 8)
		b := store.getCount("batch-results")
		x := time.Now()
		o := make(chan struct{})
		go func() {
			defer close(o)
			r.advance(10*time.Second, "")
		}()
		n, l, e := r.jobs["front-2"].Results(ctx, "job", 0, 900*time.Millisecond)
		if d := cmp.Diff([]any{8, 0, nil}, []any{n, len(l), e}); d != "" {
			t.Error(d)
		}
		_, l, e = r.jobs["front-2"].Results(ctx, "job", 0, time.Minute)
		if len(l) == 0 || e != nil {
			t.Error("no results:", l, e)
		}
		if d := time.Since(x); d > 3*time.Second {
			t.Error("results arrived late:", d)
		}
		if d := cmp.Diff(b, store.getCount("batch-results")); d != "" {
			t.Error("the platform was read:", d)
		}
		<-o
		r.advance(20*time.Second, "")
	})
}

// Guards against an owner that reports that there are no results while another
// front, which presumed it dead, has taken the job over and listed some: it must
// read the job from the platform itself first, whatever old copies show.
func TestOwnerPresumedDeadIsNotAuthoritative(t *testing.T) {
	for _, k := range []struct {
		name string
		// The other front takes the job over.
		takenOver bool
		// Whether the owner is authoritative before it is presumed dead, at that
		// moment, 250 ms later and 2 s later.
		want []bool
	}{
		{"taken over", true, []bool{true, false, false, false}},
		{"not taken over", false, []bool{true, false, false, true}},
	} {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				store.staleness = 10 * time.Second
				r := newCluster(ctx, store, engine, "front-1", "front-2", "front-3")
				r.advance(6*time.Second, "")
				accept(t, ctx, r.jobs["front-1"], "job", 80)
				o := func() bool {
					_, d := r.jobs["front-1"].LocalResults(ctx, "job", 80, 0)
					return d
				}
				l := []bool{o()}
				// The third front reports that it receives no heartbeats of the first.
				r.fleets["front-1"].UpdatePeer(time.Now(), wire.Load_builder{
					Name: proto.String("front-3"), Incarnation: proto.Uint64(1), Sequence: proto.Uint64(1000), Unheard: []string{"front-1"},
				}.Build())
				if k.takenOver {
					store.setOwner(t, "job", "front-3")
				}
				l = append(l, o())
				b := store.getCount("batch-results")
				_, _, e := r.jobs["front-2"].Results(ctx, "job", 0, 0)
				if e != nil || store.getCount("batch-results") == b {
					t.Error("the platform was not read:", e)
				}
				r.sequence = 2000
				b = store.getCount("batch-jobs")
				r.advance(250*time.Millisecond, "")
				l = append(l, o())
				r.advance(1750*time.Millisecond, "")
				l = append(l, o())
				if d := cmp.Diff(k.want, l); d != "" {
					t.Error(d)
				}
				if store.getCount("batch-jobs") == b {
					t.Error("the job was not read")
				}
				r.jobs["front-3"].TriggerReconcile()
				r.advance(30*time.Second, "")
			})
		})
	}
}

// Guards against an owner that reports that there are no results while its
// write of some has taken effect and the response was lost.
func TestOwnerWithUnsettledWriteIsNotAuthoritative(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		r := newCluster(ctx, store, engine, "front-1", "front-2")
		r.advance(6*time.Second, "")
		accept(t, ctx, r.jobs["front-1"], "job", 8)
		store.mu.Lock()
		store.loseAnswer = true
		store.lossDelay = 3 * time.Second
		store.mu.Unlock()
		r.advance(3*time.Second, "")
		_, d := r.jobs["front-1"].LocalResults(ctx, "job", 0, 0)
		_, l, e := r.jobs["front-2"].Results(ctx, "job", 0, 0)
		if d || len(l) == 0 || e != nil {
			t.Error("listed results are not served:", d, len(l), e)
		}
		r.advance(20*time.Second, "")
	})
}
