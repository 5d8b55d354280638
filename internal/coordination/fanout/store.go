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
	registrationDelay = time.Second
	// After its start a process hears from the other fronts before it decides
	// whether to watch.
	electionDelay = 1600 * time.Millisecond
	// Interval at which a watcher looks whether it is still one.
	electionCheckInterval = 250 * time.Millisecond
	// A front that is no watcher any more watches for so much longer, so that
	// fronts that come and go in turn do not move the watches with them.
	demotionDelay = 5 * time.Second
	// A watcher whose stream has failed is not followed for so long.
	failureBackoff = 3 * time.Second
)

// Store is a trail.Store that watches at the platform or at another front. The
// other calls go to the platform.
type Store struct {
	trail.Store
	self   string
	mesh   *mesh.Mesh
	logger log.Interface
	// Kind of the entries of the fronts.
	frontKind string
	// The watchers of this data centre, nil when all fronts are.
	watchers func(now time.Time) []string
	// Peer address of a front, empty when it is not known.
	peerAddress func(front string) string
	startTime   time.Time

	mu sync.Mutex
	// Copies that other fronts may follow, by kind.
	sharedCopies map[string]*inform.Informer
	// Kinds that this front watches at the platform now.
	watchedKinds map[string]bool
	// Fronts that are not followed before a time, by name.
	backoffUntil map[string]time.Time
}

// New returns a store over the platform for the front self. The entries of the
// fronts, by which watchers are elected, have the kind fronts.
func New(platform trail.Store, self, frontKind string, mesh *mesh.Mesh, logger log.Interface) *Store {
	return &Store{
		Store: platform, self: self, frontKind: frontKind, mesh: mesh, logger: logger, startTime: time.Now(),
		sharedCopies: map[string]*inform.Informer{}, watchedKinds: map[string]bool{}, backoffUntil: map[string]time.Time{},
	}
}

// SetWatchers sets who watches and where fronts are reached. Until then all watch.
func (s *Store) SetWatchers(watchers func(now time.Time) []string, peerAddress func(front string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = watchers
	s.peerAddress = peerAddress
}

// Share lets other fronts follow the copy of a kind.
func (s *Store) Share(kind string, informer *inform.Informer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharedCopies[kind] = informer
}

// Watch reports the changes of a kind after a version, from the best source at
// this time. It ends with trail.ErrTooOld when another source is to be used.
func (s *Store) Watch(ctx context.Context, kind string, after int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	go func() {
		defer close(w)
		if kind == s.frontKind && time.Since(s.startTime) < registrationDelay {
			s.waitForUptime(ctx, registrationDelay)
			deliver(ctx, sourceChanged("fronts that started together have registered"), w)
			return
		}
		s.waitForUptime(ctx, electionDelay)
		n := s.chooseSource(time.Now())
		if n == "" {
			s.watchPlatform(ctx, kind, after, w)
			return
		}
		s.follow(ctx, kind, n, w)
	}()
	return w, nil
}

// waitForUptime waits until the process has been running for a time.
func (s *Store) waitForUptime(ctx context.Context, uptime time.Duration) {
	sleep(ctx, uptime-time.Since(s.startTime))
}

// chooseSource returns the front that is to be followed, empty for the platform.
func (s *Store) chooseSource(now time.Time) string {
	l := s.currentWatchers(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := ""
	var m uint64
	for _, n := range l {
		if n == s.self {
			return ""
		}
		// Each watcher is followed by a part of the fronts.
		h := xxhash.Sum64String(n + "/" + s.self)
		if now.Before(s.backoffUntil[n]) || b != "" && h <= m {
			continue
		}
		b, m = n, h
	}
	return b
}

func (s *Store) currentWatchers(now time.Time) []string {
	s.mu.Lock()
	w := s.watchers
	s.mu.Unlock()
	if w == nil {
		return nil
	}
	return w(now)
}

// watchPlatform passes on the changes that the platform tells, until this front has not
// been a watcher for a while.
func (s *Store) watchPlatform(c context.Context, kind string, after int64, changes chan<- trail.Change) {
	c, f := context.WithCancel(c)
	defer f()
	x, e := s.Store.Watch(c, kind, after)
	if e != nil {
		deliver(c, trail.NewEnd(e), changes)
		return
	}
	s.setWatching(kind, true)
	defer s.setWatching(kind, false)
	t := time.NewTicker(electionCheckInterval)
	defer t.Stop()
	// When this front was last a watcher.
	b := time.Now()
	for {
		select {
		case y, o := <-x:
			if !o || !deliver(c, y, changes) {
				return
			}
		case n := <-t.C:
			if s.chooseSource(n) == "" {
				b = n
			} else if n.Sub(b) >= demotionDelay {
				s.logger.WithField("kind", kind).Info("fanout: other fronts watch the platform from now on")
				deliver(c, sourceChanged("other fronts watch the platform"), changes)
				return
			}
		case <-c.Done():
			return
		}
	}
}

func (s *Store) setWatching(kind string, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchedKinds[kind] = active
}

// sourceChanged is the end of a watch after which another source is used.
func sourceChanged(message string) trail.Change {
	return trail.NewEnd(trail.WrapError(trail.ErrTooOld, "watch-moved", trail.NotRun, "%s", message))
}

// deliver returns false when c ends first.
func deliver(ctx context.Context, change trail.Change, changes chan<- trail.Change) bool {
	select {
	case changes <- change:
		return true
	case <-ctx.Done():
		return false
	}
}
