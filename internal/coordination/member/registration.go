package member

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Kind is the kind of the platform objects of fronts.
const Kind = "fronts"

const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Registration is the entry of this front.
type Registration struct {
	store trail.Store
	f     *wire.Front
	l     log.Interface
	// Holds the stored entry once there is one.
	stored chan object.Object
}

// New starts to register the front and tries until it is done or c ends.
func New(c context.Context, store trail.Store, f *wire.Front, l log.Interface) *Registration {
	s := &Registration{store: store, f: f, l: l, stored: make(chan object.Object, 1)}
	go s.run(c)
	return s
}

func (s *Registration) run(c context.Context) {
	p := firstPause
	for {
		o, e := s.register(c)
		if e == nil {
			s.l.WithField("version", o.Version()).Info("member: front registered")
			s.stored <- o
			return
		}
		s.l.WithError(e).Warn("member: front not registered yet")
		select {
		case <-time.After(p):
		case <-c.Done():
			return
		}
		p = min(2*p, maxPause)
	}
}

// register creates the entry, or replaces the one that an earlier process of
// the same name has left.
func (s *Registration) register(c context.Context) (object.Object, error) {
	n, e := object.Encode(Kind, s.f.GetName(), 0, s.f)
	if e != nil {
		return object.Object{}, e
	}
	o, e := s.store.Create(c, n)
	if !errors.Is(e, trail.ErrExists) {
		return o, e
	}
	h, e := s.store.Get(c, Kind, s.f.GetName())
	if e != nil {
		return object.Object{}, e
	}
	var f wire.Front
	e = h.Decode(&f)
	if e == nil && f.GetIncarnation() == s.f.GetIncarnation() {
		// An earlier try was carried out though its answer was lost.
		return h, nil
	}
	return s.store.Update(c, object.New(Kind, s.f.GetName(), h.Version(), n.Value()))
}

// Remove deletes the entry if this process has stored it.
func (s *Registration) Remove(c context.Context) {
	select {
	case o := <-s.stored:
		e := s.store.Delete(c, o)
		if e != nil {
			s.l.WithError(e).Warn("member: entry of the front stays behind")
		}
	default:
	}
}
