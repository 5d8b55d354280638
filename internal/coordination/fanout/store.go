package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	// Processes that start together have registered after this time.
	registerTime = time.Second
	// After its start a process hears from the other fronts before it decides
	// whether to watch.
	settleTime = 1600 * time.Millisecond
	// Interval at which a watcher looks whether it is still one.
	checkPause = 250 * time.Millisecond
	// A front that is no watcher any more watches for so much longer, so that
	// fronts that come and go in turn do not move the watches with them.
	demoteTime = 5 * time.Second
	// A watcher whose stream has failed is not followed for so long.
	failedRest = 3 * time.Second
)

// Store is a trail.Store that watches at the platform or at another front. The
// other calls go to the platform.
type Store struct {
	trail.Store
	self string
	m    *mesh.Mesh
	l    log.Interface
	// Kind of the entries of the fronts.
	fronts string
	// The watchers of this data centre, nil when all fronts are.
	watchers func(now time.Time) []string
	// Peer address of a front, empty when it is not known.
	address func(front string) string
	born    time.Time

	mutex sync.Mutex
	// Copies that other fronts may follow, by kind.
	shared map[string]*inform.Informer
	// Kinds that this front watches at the platform now.
	watching map[string]bool
	// Fronts that are not followed before a time, by name.
	failed map[string]time.Time
}

// New returns a store over the platform for the front self. The entries of the
// fronts, by which watchers are elected, have the kind fronts.
func New(platform trail.Store, self, fronts string, m *mesh.Mesh, l log.Interface) *Store {
	return &Store{
		Store: platform, self: self, fronts: fronts, m: m, l: l, born: time.Now(),
		shared: map[string]*inform.Informer{}, watching: map[string]bool{}, failed: map[string]time.Time{},
	}
}

// Elect sets who watches and where fronts are reached. Until then all watch.
func (s *Store) Elect(watchers func(now time.Time) []string, address func(front string) string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchers = watchers
	s.address = address
}

// Share lets other fronts follow the copy of a kind.
func (s *Store) Share(kind string, i *inform.Informer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.shared[kind] = i
}

// Watch reports the changes of a kind after a version, from the best source at
// this time. It ends with trail.ErrTooOld when another source is to be used.
func (s *Store) Watch(c context.Context, kind string, after int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	go func() {
		defer close(w)
		if kind == s.fronts && time.Since(s.born) < registerTime {
			s.waitAge(c, registerTime)
			deliver(c, otherSource("fronts that started together have registered"), w)
			return
		}
		s.waitAge(c, settleTime)
		n := s.source(time.Now())
		if n == "" {
			s.watch(c, kind, after, w)
			return
		}
		s.follow(c, kind, n, w)
	}()
	return w, nil
}

// waitAge waits until the process has been running for a time.
func (s *Store) waitAge(c context.Context, d time.Duration) { pause(c, d-time.Since(s.born)) }

// source returns the front that is to be followed, empty for the platform.
func (s *Store) source(now time.Time) string {
	l := s.elected(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := ""
	var m uint64
	for _, n := range l {
		if n == s.self {
			return ""
		}
		// Each watcher is followed by a part of the fronts.
		h := xxhash.Sum64String(n + "/" + s.self)
		if now.Before(s.failed[n]) || b != "" && h <= m {
			continue
		}
		b, m = n, h
	}
	return b
}

func (s *Store) elected(now time.Time) []string {
	s.mutex.Lock()
	w := s.watchers
	s.mutex.Unlock()
	if w == nil {
		return nil
	}
	return w(now)
}

// watch passes on the changes that the platform tells, until this front has not
// been a watcher for a while.
func (s *Store) watch(c context.Context, kind string, after int64, w chan<- trail.Change) {
	c, f := context.WithCancel(c)
	defer f()
	x, e := s.Store.Watch(c, kind, after)
	if e != nil {
		deliver(c, trail.NewEnd(e), w)
		return
	}
	s.watches(kind, true)
	defer s.watches(kind, false)
	t := time.NewTicker(checkPause)
	defer t.Stop()
	// When this front was last a watcher.
	b := time.Now()
	for {
		select {
		case y, o := <-x:
			if !o || !deliver(c, y, w) {
				return
			}
		case n := <-t.C:
			if s.source(n) == "" {
				b = n
			} else if n.Sub(b) >= demoteTime {
				s.l.WithField("kind", kind).Info("fanout: other fronts watch the platform from now on")
				deliver(c, otherSource("other fronts watch the platform"), w)
				return
			}
		case <-c.Done():
			return
		}
	}
}

func (s *Store) watches(kind string, is bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watching[kind] = is
}

// otherSource is the end of a watch after which another source is used.
func otherSource(message string) trail.Change {
	return trail.NewEnd(trail.WrapError(trail.ErrTooOld, "watch-moved", trail.NotRun, "%s", message))
}

// deliver returns false when c ends first.
func deliver(c context.Context, x trail.Change, w chan<- trail.Change) bool {
	select {
	case w <- x:
		return true
	case <-c.Done():
		return false
	}
}
