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
	// Uptime after which fronts that have started together are registered.
	registrationDelay = time.Second
	// Uptime after which a front has received datagrams from the others and can
	// decide whether to watch.
	electionDelay = 1600 * time.Millisecond
	// Interval at which a watcher checks whether it is still elected.
	electionCheckInterval = 250 * time.Millisecond
	// A front that is no longer elected keeps its watch for this long, so that
	// fronts that leave and return repeatedly do not move the watches each time.
	demotionDelay = 5 * time.Second
	// A watcher whose stream has failed is not followed for this long.
	failureBackoff = 3 * time.Second
)

// Store is a trail.Store whose watches read from the platform or from another
// front. All other calls go to the platform.
type Store struct {
	trail.Store
	self   string
	mesh   *mesh.Mesh
	logger log.Interface
	// Kind of the objects by which fronts are registered.
	frontKind string
	// Returns the watchers of this data centre, nil if all fronts watch.
	watchers func(now time.Time) []string
	// Returns the peer address of a front, empty if unknown.
	peerAddress func(front string) string
	startTime   time.Time

	mu sync.Mutex
	// Copies that other fronts may follow, by kind.
	sharedCopies map[string]*inform.Informer
	// Kinds with an open watch at the platform.
	watchedKinds map[string]bool
	// Time before which a front is not followed, by name.
	backoffUntil map[string]time.Time
}

// New returns a store of the front self that is backed by the platform. Fronts,
// among which the watchers are elected, are registered as objects of frontKind.
func New(platform trail.Store, self, frontKind string, mesh *mesh.Mesh, logger log.Interface) *Store {
	return &Store{
		Store: platform, self: self, frontKind: frontKind, mesh: mesh, logger: logger, startTime: time.Now(),
		sharedCopies: map[string]*inform.Informer{}, watchedKinds: map[string]bool{}, backoffUntil: map[string]time.Time{},
	}
}

// SetWatchers sets the functions that return the elected watchers and the peer
// address of a front. Until it is called, this front watches the platform.
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

// Watch reports the changes of a kind after a version, from the platform if this
// front is a watcher, and from another front otherwise. It ends with
// trail.ErrTooOld when the source must change, so that the kind is listed again
// first.
func (s *Store) Watch(ctx context.Context, kind string, after int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	go func() {
		defer close(w)
		if kind == s.frontKind && time.Since(s.startTime) < registrationDelay {
			s.waitForUptime(ctx, registrationDelay)
			deliver(ctx, sourceChanged("fronts are listed again after the registration delay"), w)
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

// waitForUptime waits until this process has been running for a given time.
func (s *Store) waitForUptime(ctx context.Context, uptime time.Duration) {
	sleep(ctx, uptime-time.Since(s.startTime))
}

// chooseSource returns the watcher that this front follows. It is empty if this
// front must watch the platform: it is a watcher itself, or none can be followed.
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
		// Rendezvous hashing spreads the followers over the watchers.
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

// watchPlatform delivers the changes that the platform reports until the watch
// ends, or until this front has had another source for demotionDelay.
func (s *Store) watchPlatform(c context.Context, kind string, after int64, changes chan<- trail.Change) {
	c, f := context.WithCancel(c)
	defer f()
	x, e := s.Store.Watch(c, kind, after)
	if e != nil {
		deliver(c, trail.NewWatchEnd(e), changes)
		return
	}
	s.setWatching(kind, true)
	defer s.setWatching(kind, false)
	t := time.NewTicker(electionCheckInterval)
	defer t.Stop()
	// When the platform was last the source for this front.
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
				deliver(c, sourceChanged("watch of the platform moved to other fronts"), changes)
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

// sourceChanged returns the end of a watch that must continue at another source.
func sourceChanged(message string) trail.Change {
	return trail.NewWatchEnd(trail.WrapError(trail.ErrTooOld, "watch-moved", trail.NotRun, "%s", message))
}

// deliver sends a change to the channel of a watch. It returns false if ctx ends
// first.
func deliver(ctx context.Context, change trail.Change, changes chan<- trail.Change) bool {
	select {
	case changes <- change:
		return true
	case <-ctx.Done():
		return false
	}
}
