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
	maxBackoff     = 800 * time.Millisecond
	// Entries lapse after they have not been renewed for some heartbeats, so a
	// shorter outage of the platform removes none.
	minOutage = 2 * time.Second
)

// Informer is a copy of one kind. Its methods may be called from any
// goroutine.
type Informer struct {
	store  trail.Store
	kind   string
	logger log.Interface

	mu      sync.Mutex
	objects map[string]object.Object
	// Highest version deleted under a name, so that a late answer does not
	// revive an object.
	deletedVersions map[string]int64
	synced          bool
	// Version of the newest list. An object with a lower version that the list
	// lacks has been deleted.
	listVersion int64
	// All changes up to this version are known.
	completeVersion int64
	// The present watch is another front's.
	relayed bool
	// A watch is open.
	watching bool
	// Digest of the objects, 0 while it is not computed since the last change.
	digest uint64
	// When the last trouble with the platform began and ended; the end is
	// zero while it lasts.
	unavailableSince time.Time
	recoveredAt      time.Time
	// The copy has all changes that the platform had acknowledged by this time,
	// zero before the first list.
	confirmedAt time.Time
	// The same before the newest change was taken in.
	confirmedBeforeChange time.Time
	// End of the last time of at least minOutage in which nothing was confirmed.
	outageEndedAt time.Time
	// Closed and replaced at each change.
	changed chan struct{}
	// Holds a value while a new list is wanted.
	refreshRequests chan struct{}
	// Lists at the interval of Relist with changes that the watch had not told.
	missedLists uint32
}

// New starts an informer that ends with c.
func New(ctx context.Context, store trail.Store, kind string, logger log.Interface) *Informer {
	s := &Informer{
		store: store, kind: kind, logger: logger.WithField("kind", kind),
		objects: map[string]object.Object{}, deletedVersions: map[string]int64{}, changed: make(chan struct{}),
		refreshRequests: make(chan struct{}, 1),
	}
	go s.run(ctx)
	return s
}

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
		// A platform that wants a new list answers.
		if !errors.Is(e, trail.ErrTooOld) {
			s.markUnavailable(e)
		}
		select {
		case <-time.After(p/2 + rand.N(p)):
		case <-ctx.Done():
			return
		}
		p = min(2*p, maxBackoff)
	}
}

// listAndWatch lists the kind and takes in its changes until the watch ends.
func (s *Informer) listAndWatch(ctx context.Context) error {
	b := time.Now()
	l, v, e := s.store.List(ctx, s.kind)
	if e != nil {
		return e
	}
	s.replaceAll(l, v, false, b)
	w, e := s.store.Watch(ctx, s.kind, v)
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
	return errors.New("watch ended")
}

func (s *Informer) setWatching(open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = open
}

// markUnavailable records the start of trouble with the platform.
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

// replaceAll takes in a list of the platform, or one that another front relays.
// Objects that it lacks are deleted. An older list than the last one tells
// nothing new. The list has all changes up to the time at, which is zero when
// that is not known.
func (s *Informer) replaceAll(objects []object.Object, version int64, relayed bool, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed = relayed
	if version < s.listVersion {
		return
	}
	s.listVersion = version
	s.completeVersion = max(s.completeVersion, version)
	n := make(map[string]object.Object, len(objects))
	for _, o := range objects {
		n[o.Name()] = o
	}
	for k, o := range s.objects {
		if o.Version() > version {
			// Stored by this process after the list was made.
			n[k] = o
		} else if p, a := n[k]; a && p.Version() < o.Version() {
			n[k] = o
		}
	}
	s.objects = n
	s.deletedVersions = map[string]int64{}
	s.synced = true
	if !s.unavailableSince.IsZero() && s.recoveredAt.IsZero() {
		s.recoveredAt = time.Now()
		s.logger.WithField("away", s.recoveredAt.Sub(s.unavailableSince).String()).Info("inform: watch of the platform regained")
	}
	b := s.confirmedAt
	s.confirm(confirmedAt)
	s.notify()
	s.confirmedBeforeChange = b
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

// put keeps an object unless a newer version is known.
func (s *Informer) put(obj object.Object) {
	if obj.Version() <= s.listVersion {
		// The list has it, or something newer.
		return
	}
	if obj.Version() <= s.objects[obj.Name()].Version() || obj.Version() <= s.deletedVersions[obj.Name()] {
		return
	}
	s.objects[obj.Name()] = obj
	s.notify()
}

// notify wakes the waiting readers; the caller holds the lock.
func (s *Informer) notify() {
	s.digest = 0
	s.confirmedBeforeChange = s.confirmedAt
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put takes in an object that this process has just written or read.
func (s *Informer) Put(obj object.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(obj)
}

// Get returns an object, false when it is not there.
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

// Snapshot returns all objects and the version up to which all changes are known.
func (s *Informer) Snapshot() ([]object.Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.objects)), s.completeVersion
}

// Relayed says whether another front tells the changes in place of the
// platform.
func (s *Informer) Relayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed
}

// HasSynced says whether the kind has been listed once.
func (s *Informer) HasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// MissedLists returns how many lists at the interval of Relist have had changes that
// the watch had not told. Lists that Refresh has asked for don't count: fronts
// that follow each other's finds would otherwise ask each other for ever more.
func (s *Informer) MissedLists() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missedLists
}

// Unavailable says whether the platform does not answer now.
func (s *Informer) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.synced || !s.unavailableSince.IsZero() && s.recoveredAt.IsZero()
}

// LastUnavailability returns when the platform was last lost and when it was regained.
// The second time is zero while it is lost; both are zero before any trouble.
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
