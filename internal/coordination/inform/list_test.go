package inform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/state/object"
)

// Guards against a change that stays unknown while a list waits for its answer
// that the platform got in an outage which has ended since: without a watch, and
// with one that no longer delivers.
func TestListWithoutAnswerHidesChanges(t *testing.T) {
	for _, n := range []string{"watch ended", "watch silent"} {
		t.Run(n, func(t *testing.T) {
			runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
				go i.Relist(ctx, fixedRank(0), func() {})
				s.setSilent(true)
				if n == "watch ended" {
					s.endWatch()
				}
				time.Sleep(1100 * time.Millisecond)
				s.setObjects(2, "b")
				s.setSilent(false)
				time.Sleep(600 * time.Millisecond)
				synctest.Wait()
				if d := cmp.Diff("b", names(i)); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against a platform that is sent ever more lists while it answers none.
func TestListsWithoutAnswerAreFew(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		go i.Relist(ctx, fixedRank(0), func() {})
		s.setSilent(true)
		s.endWatch()
		time.Sleep(10 * time.Second)
		if !i.Unavailable() {
			t.Error("unavailability not reported")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.lists > 25 {
			t.Error("too many lists:", s.lists, "in 10 s")
		}
	})
}

// Guards against a front that seems to reach the platform although it gets no
// answer, because other fronts confirm its copy: a refresh must show it within
// two repetitions of the list.
func TestSilentPlatformSeemsAvailable(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		go i.Relist(ctx, fixedRank(0), func() {})
		s.setSilent(true)
		for range 20 {
			i.Confirm(i.Digest(), time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		g := []bool{i.Unavailable()}
		i.Refresh()
		time.Sleep(1100 * time.Millisecond)
		g = append(g, i.Unavailable())
		s.setSilent(false)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		g = append(g, i.Unavailable())
		if d := cmp.Diff([]bool{false, true, false}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a list that takes long, because it is large or the platform
// slow, and is given up for its repetitions, or slowed by many of them.
func TestSlowListIsGivenUp(t *testing.T) {
	runInformer(t, func(_ context.Context, s *platform, i *inform.Informer) {
		s.mu.Lock()
		s.delay = 3 * time.Second
		s.mu.Unlock()
		var g []any
		for n := range 3 {
			s.setObjects(int64(n+2), "b")
			s.mu.Lock()
			s.lists = 0
			s.mu.Unlock()
			s.endWatch()
			time.Sleep(4 * time.Second)
			synctest.Wait()
			o, _ := i.Get("b")
			s.mu.Lock()
			g = append(g, o.Version(), s.lists <= 7)
			if n > 0 {
				g = append(g, s.lists <= 2)
			}
			s.mu.Unlock()
		}
		if d := cmp.Diff([]any{int64(2), true, int64(3), true, true, int64(4), true, true}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against objects of a process of an earlier build that replace those of the
// platform, and against a list of the platform itself that is refused for them.
func TestUnfitListThroughAnotherStoreIsUsed(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		i.SetCheck(func(o object.Object) error {
			if o.Name() == "unfit" {
				return errors.New("unfit")
			}
			return nil
		})
		o := &platform{}
		o.setObjects(2, "b", "unfit")
		g := []any{i.ListThrough(ctx, o) != nil, names(i)}
		o.setObjects(3, "c")
		g = append(g, i.ListThrough(ctx, o) != nil, names(i))
		s.setObjects(4, "unfit")
		go i.Relist(ctx, fixedRank(0), func() {})
		time.Sleep(2 * time.Second)
		if d := cmp.Diff([]any{true, "a", false, "c", "unfit"}, append(g, names(i))); d != "" {
			t.Error(d)
		}
	})
}
