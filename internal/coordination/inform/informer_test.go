package inform_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/state/object"
)

// platform is a store with objects of one kind.
type platform struct {
	trail.Store
	mu      sync.Mutex
	objects []object.Object
	version int64
	err     error
	watches []chan trail.Change
	// Number of calls to List.
	lists int
	// Lists that arrive now get no answer before listTimeout.
	silent bool
	// Time after which other lists are answered.
	delay time.Duration
}

// listTimeout ends a list that gets no answer.
const listTimeout = 4 * time.Second

func (s *platform) List(ctx context.Context, _ string) ([]object.Object, int64, error) {
	l, v, e, q := s.listed()
	d := s.delay
	if q {
		d = listTimeout
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return nil, 0, trail.ErrUnavailable
	}
	if q {
		return nil, 0, trail.ErrUnavailable
	}
	return l, v, e
}

func (s *platform) listed() (objects []object.Object, version int64, err error, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.objects, s.version, s.err, s.silent
}

func (s *platform) Watch(ctx context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := make(chan trail.Change)
	s.watches = append(s.watches, w)
	return w, s.err
}

// setObjects replaces the objects without sending a change to the watch.
func (s *platform) setObjects(version int64, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.objects = nil
	for _, n := range names {
		s.objects = append(s.objects, object.New("hosts", n, version, nil))
	}
}

// setError sets the error of all calls, nil for none.
func (s *platform) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// setSilent sets whether lists that arrive from now on get no answer.
func (s *platform) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// endWatch closes the open watch without a cause.
func (s *platform) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watches[0])
	s.watches = nil
}

func runInformer(t *testing.T, test func(c context.Context, s *platform, i *inform.Informer)) {
	synctest.Test(t, func(t *testing.T) {
		c, o := context.WithCancel(t.Context())
		s := &platform{}
		s.setObjects(1, "a")
		i := inform.New(c, s, "hosts", &log.Logger{Handler: discard.New()})
		synctest.Wait()
		test(c, s, i)
		o()
		s.closeWatches()
		synctest.Wait()
	})
}

// closeWatches closes the watches that are still open. The lock must not be held when
// the test waits for the other goroutines: a list that arrives meanwhile takes it.
func (s *platform) closeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.watches {
		select {
		case <-w:
		default:
			close(w)
		}
	}
}

func names(informer *inform.Informer) string {
	return strings.Join(slices.Sorted(maps.Keys(informer.All())), " ")
}

// Guards against a copy that goes back to an older state when changes arrive out
// of order.
func TestReorderedChangesKeepNewestState(t *testing.T) {
	runInformer(t, func(_ context.Context, s *platform, i *inform.Informer) {
		o := func(n string, v int64) object.Object { return object.New("hosts", n, v, nil) }
		w := s.watches[0]
		w <- trail.NewChange(o("b", 5), false)
		w <- trail.NewChange(o("b", 4), true)
		w <- trail.NewChange(o("a", 6), true)
		w <- trail.NewChange(o("a", 3), false)
		i.Put(o("c", 7))
		i.Put(o("c", 2))
		synctest.Wait()
		if d := cmp.Diff("b c", names(i)); d != "" {
			t.Error(d)
		}
		c, _ := i.Get("c")
		if d := cmp.Diff(int64(7), c.Version()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a list that removes objects that this process has written after
// the list was made.
func TestListKeepsNewerObjects(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		i.Put(object.New("hosts", "own", 9, nil))
		s.setObjects(8, "b")
		s.endWatch()
		time.Sleep(time.Second)
		if d := cmp.Diff("b own", names(i)); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an ended watch that is not opened again or is retried without
// backoff, and against an unavailability that is not reported.
func TestEndedWatchIsReopened(t *testing.T) {
	runInformer(t, func(_ context.Context, s *platform, i *inform.Informer) {
		s.setError(trail.ErrUnavailable)
		s.endWatch()
		time.Sleep(10 * time.Second)
		l, r := i.LastUnavailability()
		if l.IsZero() || !r.IsZero() {
			t.Error("unavailability not reported as ongoing:", l, r)
		}
		s.setError(nil)
		s.setObjects(2, "b")
		time.Sleep(2 * time.Second)
		_, r = i.LastUnavailability()
		if r.IsZero() {
			t.Error("end of the unavailability not reported")
		}
		if d := cmp.Diff("b", names(i)); d != "" {
			t.Error(d)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.lists > 40 {
			t.Error("too many lists:", s.lists, "in 12 s")
		}
	})
}

// Guards against counting a request of the platform for a new list as an outage:
// backend servers that have left would stay in use as if their entries had
// lapsed in it.
func TestTooOldVersionIsNoOutage(t *testing.T) {
	runInformer(t, func(_ context.Context, s *platform, i *inform.Informer) {
		s.setObjects(2, "b")
		s.watches[0] <- trail.NewWatchEnd(trail.ErrTooOld)
		s.endWatch()
		time.Sleep(time.Second)
		l, r := i.LastUnavailability()
		if !l.IsZero() || !r.IsZero() {
			t.Error("unavailability reported:", l, r)
		}
		if d := cmp.Diff("b", names(i)); d != "" {
			t.Error(d)
		}
	})
}

// fixedRank returns a function that returns the rank of a front for Relist.
func fixedRank(rank int) func() int { return func() int { return rank } }

// Guards against a front that keeps an old configuration because its watch stays
// open but no longer delivers changes.
func TestRelistFindsMissedChanges(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		n := 0
		go i.Relist(ctx, fixedRank(0), func() { n++ })
		d := i.Digest()
		s.setObjects(2, "b")
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		if d := cmp.Diff([]any{"b", 1}, []any{names(i), n}); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(uint32(1), i.MissedLists()); d != "" {
			t.Error(d)
		}
		if d == i.Digest() {
			t.Error("digest is the same after the change")
		}
	})
}

// Guards against a front that uses a backend server, or a configuration, for two
// seconds after it was removed from the platform, because neither its watch nor
// the fronts with lower ranks send the change.
func TestLastRankedFrontRelistsInTime(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		go i.Relist(ctx, fixedRank(100), func() {})
		time.Sleep(time.Second)
		// Another front has just listed the same objects.
		i.Confirm(i.Digest(), time.Now())
		s.setObjects(2, "b")
		time.Sleep(1600 * time.Millisecond)
		synctest.Wait()
		if d := cmp.Diff("b", names(i)); d != "" {
			t.Error(d)
		}
	})
}

// Guards against lists of fronts whose copies the front of rank 0 has just
// confirmed, and against a confirmation by a front with a different digest.
func TestConfirmedCopyIsNotRelisted(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		go i.Relist(ctx, fixedRank(3), func() {})
		for range 10 {
			time.Sleep(time.Second)
			i.Confirm(i.Digest(), time.Now().Add(-250*time.Millisecond))
		}
		g := []int{s.lists}
		for range 10 {
			time.Sleep(time.Second)
			i.Confirm(i.Digest()+1, time.Now())
		}
		g = append(g, s.lists)
		if d := cmp.Diff([]int{1, 7}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an unreported outage that is long enough for entries to lapse,
// also if calls hang until the platform is back, and against counting a short
// unavailability as an outage.
func TestOnlyLongUnavailabilityIsOutage(t *testing.T) {
	runInformer(t, func(_ context.Context, s *platform, i *inform.Informer) {
		time.Sleep(time.Second)
		i.Confirm(i.Digest(), time.Now())
		s.endWatch()
		time.Sleep(time.Second)
		o, e := i.Outage()
		if d := cmp.Diff([]bool{false, true}, []bool{o, e.IsZero()}); d != "" {
			t.Error(d)
		}
		s.setError(trail.ErrUnavailable)
		s.endWatch()
		time.Sleep(4 * time.Second)
		o, _ = i.Outage()
		// A reader that is woken by the list that ends the outage must already
		// see that end.
		k := make(chan bool, 1)
		w := i.Changed()
		go func() {
			<-w
			_, e := i.Outage()
			k <- !e.IsZero() && time.Since(i.ConfirmedBeforeChange()) > 2*time.Second
		}()
		s.setError(nil)
		time.Sleep(2 * time.Second)
		p, e := i.Outage()
		if d := cmp.Diff([]bool{true, false, false, true}, []bool{o, p, e.IsZero(), <-k}); d != "" {
			t.Error(d)
		}
	})
}

// Guards against an unavailability that never ends and a front that never lists
// again, after one periodic list has failed while the watch stayed open.
func TestFailedRelistIsRepeated(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		go i.Relist(ctx, fixedRank(0), func() {})
		s.setError(trail.ErrUnavailable)
		time.Sleep(1500 * time.Millisecond)
		g := []bool{i.Unavailable()}
		s.setError(nil)
		s.setObjects(2, "b")
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		g = append(g, i.Unavailable(), names(i) == "b")
		if d := cmp.Diff([]bool{true, false, true}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a refresh that does not list, and against one that counts as a
// missed change, which would make fronts refresh each other endlessly.
func TestRefreshListsAndIsNotCountedAsMissed(t *testing.T) {
	runInformer(t, func(ctx context.Context, s *platform, i *inform.Informer) {
		go i.Relist(ctx, fixedRank(100), func() {})
		s.setObjects(2, "b")
		time.Sleep(800 * time.Millisecond)
		g := []string{names(i)}
		i.Refresh()
		time.Sleep(10 * time.Millisecond)
		g = append(g, names(i))
		if d := cmp.Diff([]string{"a", "b"}, g); d != "" {
			t.Error(d)
		}
		// The front that caused the refresh has sent the change to the others.
		if d := cmp.Diff(uint32(0), i.MissedLists()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a stale front that replicates its old copy: objects that a
// newer list of the platform lacks must not be restored.
func TestStaleReplicatedListRestoresNothing(t *testing.T) {
	runInformer(t, func(_ context.Context, s *platform, i *inform.Informer) {
		o := func(n string, v int64) object.Object { return object.New("hosts", n, v, nil) }
		s.setObjects(10, "a")
		s.endWatch()
		time.Sleep(time.Second)
		synctest.Wait()
		w := s.watches[0]
		w <- trail.NewListChange([]object.Object{o("a", 1), o("b", 5)}, 6)
		w <- trail.NewChange(o("b", 5), false)
		synctest.Wait()
		if d := cmp.Diff("a", names(i)); d != "" {
			t.Error(d)
		}
		w <- trail.NewListChange([]object.Object{o("c", 11)}, 12)
		w <- trail.NewChange(o("d", 13), false)
		synctest.Wait()
		if d := cmp.Diff("c d", names(i)); d != "" {
			t.Error(d)
		}
		_, v := i.Snapshot()
		if d := cmp.Diff(int64(13), v); d != "" {
			t.Error(d)
		}
	})
}
