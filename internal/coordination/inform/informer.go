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
	firstPause = 50 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// Entries lapse after they have not been renewed for some heartbeats, so a
	// shorter outage of the platform removes none.
	minOutage = 2 * time.Second
)

// Informer is a copy of one kind. Its methods may be called from any
// goroutine.
type Informer struct {
	store trail.Store
	kind  string
	l     log.Interface

	m       sync.Mutex
	objects map[string]object.Object
	// Highest version deleted under a name, so that a late answer does not
	// revive an object.
	deleted map[string]int64
	known   bool
	// Version of the newest list. An object with a lower version that the list
	// lacks has been deleted.
	listed int64
	// All changes up to this version are known.
	complete int64
	// The present watch is another front's.
	relayed bool
	// A watch is open.
	watching bool
	// Digest of the objects, 0 while it is not computed since the last change.
	digest uint64
	// When the last trouble with the platform began and ended; the end is
	// zero while it lasts.
	failed    time.Time
	recovered time.Time
	// The copy has all changes that the platform had acknowledged by this time,
	// zero before the first list.
	confirmed time.Time
	// The same before the newest change was taken in.
	before time.Time
	// End of the last time of at least minOutage in which nothing was confirmed.
	outageEnd time.Time
	// Closed and replaced at each change.
	changed chan struct{}
	// Holds a value while a new list is wanted.
	refresh chan struct{}
	// Lists at the interval of Verify with changes that the watch had not told.
	missed uint32
}

// New starts an informer that ends with c.
func New(c context.Context, store trail.Store, kind string, l log.Interface) *Informer {
	s := &Informer{
		store: store, kind: kind, l: l.WithField("kind", kind),
		objects: map[string]object.Object{}, deleted: map[string]int64{}, changed: make(chan struct{}),
		refresh: make(chan struct{}, 1),
	}
	go s.run(c)
	return s
}

func (s *Informer) run(c context.Context) {
	p := firstPause
	for c.Err() == nil {
		b := time.Now()
		e := s.follow(c)
		if c.Err() != nil {
			return
		}
		if time.Since(b) > maxPause {
			p = firstPause
		}
		// A platform that wants a new list answers.
		if !errors.Is(e, trail.ErrTooOld) {
			s.lost(e)
		}
		select {
		case <-time.After(p/2 + rand.N(p)):
		case <-c.Done():
			return
		}
		p = min(2*p, maxPause)
	}
}

// follow lists the kind and takes in its changes until the watch ends.
func (s *Informer) follow(c context.Context) error {
	b := time.Now()
	l, v, e := s.store.List(c, s.kind)
	if e != nil {
		return e
	}
	s.replace(l, v, false, b)
	w, e := s.store.Watch(c, s.kind, v)
	if e != nil {
		return e
	}
	s.watches(true)
	defer s.watches(false)
	for x := range w {
		if x.Cause() != nil {
			return x.Cause()
		}
		if l, v, o := x.List(); o {
			s.replace(l, v, true, time.Time{})
			continue
		}
		s.apply(x)
	}
	return errors.New("watch ended")
}

func (s *Informer) watches(open bool) {
	s.m.Lock()
	defer s.m.Unlock()
	s.watching = open
}

// lost records the start of trouble with the platform.
func (s *Informer) lost(cause error) {
	s.m.Lock()
	f := s.failed.IsZero() || !s.recovered.IsZero()
	if f {
		s.failed = time.Now()
		s.recovered = time.Time{}
	}
	s.m.Unlock()
	if f {
		s.l.WithError(cause).Warn("inform: watch of the platform lost")
	}
}

// replace takes in a list of the platform, or one that another front relays.
// Objects that it lacks are deleted. An older list than the last one tells
// nothing new. The list has all changes up to the time at, which is zero when
// that is not known.
func (s *Informer) replace(l []object.Object, version int64, relayed bool, at time.Time) {
	s.m.Lock()
	defer s.m.Unlock()
	s.relayed = relayed
	if version < s.listed {
		return
	}
	s.listed = version
	s.complete = max(s.complete, version)
	n := make(map[string]object.Object, len(l))
	for _, o := range l {
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
	s.deleted = map[string]int64{}
	s.known = true
	if !s.failed.IsZero() && s.recovered.IsZero() {
		s.recovered = time.Now()
		s.l.WithField("away", s.recovered.Sub(s.failed).String()).Info("inform: watch of the platform regained")
	}
	b := s.confirmed
	s.confirm(at)
	s.notify()
	s.before = b
}

func (s *Informer) apply(x trail.Change) {
	o := x.Object()
	s.m.Lock()
	defer s.m.Unlock()
	s.complete = max(s.complete, o.Version())
	if x.Deleted() {
		s.deleted[o.Name()] = max(s.deleted[o.Name()], o.Version())
		if h, k := s.objects[o.Name()]; k && h.Version() <= o.Version() {
			delete(s.objects, o.Name())
			s.notify()
		}
		return
	}
	s.put(o)
}

// put keeps an object unless a newer version is known.
func (s *Informer) put(o object.Object) {
	if o.Version() <= s.listed {
		// The list has it, or something newer.
		return
	}
	if o.Version() <= s.objects[o.Name()].Version() || o.Version() <= s.deleted[o.Name()] {
		return
	}
	s.objects[o.Name()] = o
	s.notify()
}

// notify wakes the waiting readers; the caller holds the lock.
func (s *Informer) notify() {
	s.digest = 0
	s.before = s.confirmed
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put takes in an object that this process has just written or read.
func (s *Informer) Put(o object.Object) {
	s.m.Lock()
	defer s.m.Unlock()
	s.put(o)
}

// Get returns an object, false when it is not there.
func (s *Informer) Get(name string) (object.Object, bool) {
	s.m.Lock()
	defer s.m.Unlock()
	o, k := s.objects[name]
	return o, k
}

// All returns all objects by name.
func (s *Informer) All() map[string]object.Object {
	s.m.Lock()
	defer s.m.Unlock()
	return maps.Clone(s.objects)
}

// Copy returns all objects and the version up to which all changes are known.
func (s *Informer) Copy() ([]object.Object, int64) {
	s.m.Lock()
	defer s.m.Unlock()
	return slices.Collect(maps.Values(s.objects)), s.complete
}

// Relayed says whether another front tells the changes in place of the
// platform.
func (s *Informer) Relayed() bool {
	s.m.Lock()
	defer s.m.Unlock()
	return s.relayed
}

// Known says whether the kind has been listed once.
func (s *Informer) Known() bool {
	s.m.Lock()
	defer s.m.Unlock()
	return s.known
}

// Missed returns how many lists at the interval of Verify have had changes that
// the watch had not told. Lists that Refresh has asked for don't count: fronts
// that follow each other's finds would otherwise ask each other for ever more.
func (s *Informer) Missed() uint32 {
	s.m.Lock()
	defer s.m.Unlock()
	return s.missed
}

// Troubled says whether the platform does not answer now.
func (s *Informer) Troubled() bool {
	s.m.Lock()
	defer s.m.Unlock()
	return !s.known || !s.failed.IsZero() && s.recovered.IsZero()
}

// Trouble returns when the platform was last lost and when it was regained.
// The second time is zero while it is lost; both are zero before any trouble.
func (s *Informer) Trouble() (lost, regained time.Time) {
	s.m.Lock()
	defer s.m.Unlock()
	return s.failed, s.recovered
}

// Changed returns a channel that is closed at the next change.
func (s *Informer) Changed() <-chan struct{} {
	s.m.Lock()
	defer s.m.Unlock()
	return s.changed
}
