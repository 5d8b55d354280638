package inform

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// Entries lapse after several missed renewals, so no entry lapses in a
	// shorter outage of the platform.
	minOutage = 2 * time.Second
)

// Informer is a copy of all objects of one kind. It is safe for concurrent use.
type Informer struct {
	store  trail.Store
	kind   string
	logger log.Interface
	// Store through which Refresh lists while the platform is unavailable, nil for none.
	fallback trail.Store
	// Returns an error for an object that must not be taken from a list through another
	// store; nil for no check.
	check func(obj object.Object) error

	mu      sync.Mutex
	objects map[string]object.Object
	// Highest deleted version by name, so that a delayed response does not
	// restore a deleted object.
	deletedVersions map[string]int64
	// The kind has been listed at least once.
	synced bool
	// Version of the newest list. An object with a lower version that the list
	// lacks has been deleted.
	listVersion int64
	// The copy has all changes up to this version.
	completeVersion int64
	// The current watch is replicated from another front.
	relayed bool
	// A watch is open.
	watching bool
	// Digest of the objects, 0 if not computed since the last change.
	digest uint64
	// Start and end of the last unavailability of the platform. The end is zero
	// while it lasts.
	unavailableSince time.Time
	recoveredAt      time.Time
	// The copy has all changes that the platform had acknowledged by this time.
	// Zero before the first list.
	confirmedAt time.Time
	// Value of confirmedAt before the latest change was applied.
	confirmedBeforeChange time.Time
	// End of the last period of at least minOutage without a confirmation.
	outageEndedAt time.Time
	// Time that the last answered list took.
	listDuration time.Duration
	// Closed and replaced at each change.
	changed chan struct{}
	// Holds a value while a refresh is pending.
	refreshRequests chan struct{}
	// Number of periodic lists with changes that the watch had not delivered.
	missedLists uint32
}

// New starts an informer that runs until ctx ends.
func New(ctx context.Context, store trail.Store, kind string, logger log.Interface) *Informer {
	s := &Informer{
		store: store, kind: kind, logger: logger.WithField("kind", kind),
		objects: map[string]object.Object{}, deletedVersions: map[string]int64{}, changed: make(chan struct{}),
		refreshRequests: make(chan struct{}, 1),
	}
	go s.run(ctx)
	return s
}

// SetFallback sets the store through which Refresh lists while the platform does not
// answer this process, such as one that calls it through other fronts. It must be
// called before Relist.
func (s *Informer) SetFallback(store trail.Store) { s.fallback = store }

// SetCheck sets what is asked about each object of a list through another store. A list
// with an object for which check returns an error is not used: the store may have passed
// it through a process of an earlier build, which drops what it does not know. SetCheck
// must be called before Relist.
func (s *Informer) SetCheck(check func(obj object.Object) error) { s.check = check }

func (s *Informer) run(ctx context.Context) {
	p := initialBackoff
	for ctx.Err() == nil {
		b := time.Now()
		e := s.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(b) > maxBackoff {
			p = initialBackoff
		}
		s.noteListError(ctx, e)
		select {
		case <-time.After(p/2 + rand.N(p)):
		case <-ctx.Done():
			return
		}
		p = min(2*p, maxBackoff)
	}
}

// listAndWatch lists the kind and applies its changes until the watch ends. It
// returns why it ended.
func (s *Informer) listAndWatch(ctx context.Context) error {
	a := s.list(ctx)
	if a.err != nil {
		return a.err
	}
	s.replaceAll(a.objects, a.version, false, a.sentAt)
	w, e := s.store.Watch(ctx, s.kind, a.version)
	if e != nil {
		return e
	}
	s.setWatching(true)
	defer s.setWatching(false)
	for x := range w {
		if x.Cause() != nil {
			return x.Cause()
		}
		if l, v, o := x.List(); o {
			s.replaceAll(l, v, true, time.Time{})
			continue
		}
		s.apply(x)
	}
	return errors.New("watch closed without a cause")
}

func (s *Informer) setWatching(open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = open
}

// markUnavailable records the start of an unavailability of the platform, unless
// one lasts already.
func (s *Informer) markUnavailable(cause error) {
	s.mu.Lock()
	f := s.unavailableSince.IsZero() || !s.recoveredAt.IsZero()
	if f {
		s.unavailableSince = time.Now()
		s.recoveredAt = time.Time{}
	}
	s.mu.Unlock()
	if f {
		s.logger.WithError(cause).Warn("inform: watch of the platform lost")
	}
}

// replaceAll replaces the copy by a list of the platform, or by one replicated
// from another front, which ends an unavailability. The list has all changes up to
// confirmedAt, which is zero if unknown.
func (s *Informer) replaceAll(objects []object.Object, version int64, relayed bool, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed = relayed
	if !s.merge(objects, version, confirmedAt) {
		return
	}
	if !s.unavailableSince.IsZero() && s.recoveredAt.IsZero() {
		s.recoveredAt = time.Now()
		s.logger.WithField("away", s.recoveredAt.Sub(s.unavailableSince).String()).Info("inform: watch of the platform regained")
	}
}

// merge replaces the copy by a list with all changes up to confirmedAt, which is zero
// if unknown. Objects that the list lacks are deleted. It returns false and does
// nothing if the list is older than the last one. The caller holds the lock.
func (s *Informer) merge(objects []object.Object, version int64, confirmedAt time.Time) bool {
	if version < s.listVersion {
		return false
	}
	s.listVersion = version
	s.completeVersion = max(s.completeVersion, version)
	n := make(map[string]object.Object, len(objects))
	for _, o := range objects {
		n[o.Name()] = o
	}
	for k, o := range s.objects {
		if o.Version() > version {
			// Written after the list was made.
			n[k] = o
		} else if p, a := n[k]; a && p.Version() < o.Version() {
			n[k] = o
		}
	}
	s.objects = n
	s.deletedVersions = map[string]int64{}
	s.synced = true
	b := s.confirmedAt
	s.confirm(confirmedAt)
	s.notify()
	s.confirmedBeforeChange = b
	return true
}

func (s *Informer) apply(change trail.Change) {
	o := change.Object()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeVersion = max(s.completeVersion, o.Version())
	if change.Deleted() {
		s.deletedVersions[o.Name()] = max(s.deletedVersions[o.Name()], o.Version())
		if h, k := s.objects[o.Name()]; k && h.Version() <= o.Version() {
			delete(s.objects, o.Name())
			s.notify()
		}
		return
	}
	s.put(o)
}

// put stores an object unless a newer version is known. The caller holds the
// lock.
func (s *Informer) put(obj object.Object) {
	if obj.Version() <= s.listVersion {
		// The list holds this version, a newer one or its deletion.
		return
	}
	if obj.Version() <= s.objects[obj.Name()].Version() || obj.Version() <= s.deletedVersions[obj.Name()] {
		return
	}
	s.objects[obj.Name()] = obj
	s.notify()
}

// notify wakes the readers that wait for a change. The caller holds the lock.
func (s *Informer) notify() {
	s.digest = 0
	s.confirmedBeforeChange = s.confirmedAt
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores an object that this process has just written to the platform or
// read from it, before the watch delivers it.
func (s *Informer) Put(obj object.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(obj)
}

// Get returns an object, and false if the copy has none with this name.
func (s *Informer) Get(name string) (object.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, k := s.objects[name]
	return o, k
}

// All returns all objects by name.
func (s *Informer) All() map[string]object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

// Snapshot returns all objects and the version up to which the copy has all
// changes.
func (s *Informer) Snapshot() ([]object.Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.objects)), s.completeVersion
}

// Relayed reports whether the copy is replicated from another front instead of
// the platform.
func (s *Informer) Relayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed
}

// HasSynced reports whether the kind has been listed at least once.
func (s *Informer) HasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// MissedLists returns the number of periodic lists of Relist with changes that
// the watch had not delivered. Lists that Refresh requests don't count: a front
// refreshes when this counter of another front grows, so fronts would otherwise
// make each other refresh endlessly.
func (s *Informer) MissedLists() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missedLists
}

// Unavailable reports whether the platform does not answer at present, or the
// kind has not been listed yet.
func (s *Informer) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.synced || !s.unavailableSince.IsZero() && s.recoveredAt.IsZero()
}

// LastUnavailability returns the start and end of the last period in which the
// platform did not answer. The end is zero while it lasts, and both are zero if
// there was none.
func (s *Informer) LastUnavailability() (start, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailableSince, s.recoveredAt
}

// Changed returns a channel that is closed at the next change.
func (s *Informer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
