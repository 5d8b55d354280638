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

// Kind is the kind of the platform objects that represent fronts.
const Kind = "fronts"

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Registration is the platform object of this front.
type Registration struct {
	store  trail.Store
	front  *wire.Front
	logger log.Interface
	// Buffered; receives the stored object once registration succeeds.
	stored chan object.Object
}

// New registers the front in the background. Failed attempts are retried with
// exponential backoff until one succeeds or ctx is done.
func New(ctx context.Context, store trail.Store, front *wire.Front, logger log.Interface) *Registration {
	s := &Registration{store: store, front: front, logger: logger, stored: make(chan object.Object, 1)}
	go s.run(ctx)
	return s
}

func (s *Registration) run(ctx context.Context) {
	p := minBackoff
	for {
		o, e := s.register(ctx)
		if e == nil {
			s.logger.WithField("version", o.Version()).Info("member: front registered")
			s.stored <- o
			return
		}
		s.logger.WithError(e).Warn("member: registration of this front failed, retrying after backoff")
		select {
		case <-time.After(p):
		case <-ctx.Done():
			return
		}
		p = min(2*p, maxBackoff)
	}
}

// register creates the object, or replaces the one that an earlier process of
// the same name did not delete.
func (s *Registration) register(ctx context.Context) (object.Object, error) {
	n, e := object.Encode(Kind, s.front.GetName(), 0, s.front)
	if e != nil {
		return object.Object{}, e
	}
	o, e := s.store.Create(ctx, n)
	if !errors.Is(e, trail.ErrExists) {
		return o, e
	}
	h, e := s.store.Get(ctx, Kind, s.front.GetName())
	if e != nil {
		return object.Object{}, e
	}
	var f wire.Front
	e = h.Decode(&f)
	if e == nil && f.GetIncarnation() == s.front.GetIncarnation() {
		// An earlier attempt created the object, but its response was lost.
		return h, nil
	}
	return s.store.Update(ctx, object.New(Kind, s.front.GetName(), h.Version(), n.Value()))
}

// Remove deletes the object if this process has stored it.
func (s *Registration) Remove(ctx context.Context) {
	select {
	case o := <-s.stored:
		e := s.store.Delete(ctx, o)
		if e != nil {
			s.logger.WithError(e).Warn("member: object of this front was not deleted from the platform")
		}
	default:
	}
}
