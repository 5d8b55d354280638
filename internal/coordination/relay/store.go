package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	// Time for which the platform is not asked directly after it has not
	// answered.
	avoidTime = time.Second
	// Bound of a call through another front.
	callTimeout = 1500 * time.Millisecond
)

// Store is a trail.StaleStore with a way around.
type Store struct {
	own trail.StaleStore
	m   *mesh.Mesh
	// Peer addresses of the fronts that the platform answers.
	peers func() []string
	l     log.Interface
	// Unix nanoseconds until which the platform is not asked directly.
	avoided atomic.Int64
}

var _ trail.StaleStore = (*Store)(nil)

// New returns a store that calls own, and the fronts at peers while own does
// not answer.
func New(own trail.StaleStore, m *mesh.Mesh, peers func() []string, l log.Interface) *Store {
	return &Store{own: own, m: m, peers: peers, l: l}
}

// Get reads one object.
func (s *Store) Get(c context.Context, kind, name string) (object.Object, error) {
	l, _, e := s.call(c, wire.StoreVerb_STORE_VERB_GET, object.New(kind, name, 0, nil))
	return first(l), e
}

// List reads all objects of a kind and the version of the list.
func (s *Store) List(c context.Context, kind string) ([]object.Object, int64, error) {
	return s.call(c, wire.StoreVerb_STORE_VERB_LIST, object.New(kind, "", 0, nil))
}

// GetStale reads one object from a copy that may be seconds old, or from the
// platform through another front if no copy answers.
func (s *Store) GetStale(c context.Context, kind, name string) (object.Object, error) {
	if !s.avoids() {
		o, e := s.own.GetStale(c, kind, name)
		if !away(e) {
			return o, e
		}
		s.avoid()
	}
	return s.Get(c, kind, name)
}

// ListStale does so with all objects of a kind.
func (s *Store) ListStale(c context.Context, kind string) ([]object.Object, int64, error) {
	if !s.avoids() {
		l, v, e := s.own.ListStale(c, kind)
		if !away(e) {
			return l, v, e
		}
		s.avoid()
	}
	return s.List(c, kind)
}

// avoids says whether the platform has not answered lately.
func (s *Store) avoids() bool { return time.Now().UnixNano() < s.avoided.Load() }

func (s *Store) avoid() { s.avoided.Store(time.Now().Add(avoidTime).UnixNano()) }

// away says whether an error means that the platform does not answer.
func away(e error) bool {
	return errors.Is(e, trail.ErrUnavailable) && trail.CodeOf(e) != "object-unreadable"
}

// Create stores a new object and returns it with its version.
func (s *Store) Create(c context.Context, o object.Object) (object.Object, error) {
	l, _, e := s.call(c, wire.StoreVerb_STORE_VERB_CREATE, o)
	return first(l), e
}

// Update replaces the object if the platform's version is still o's. With a
// conflict that the platform itself has told comes the present object.
func (s *Store) Update(c context.Context, o object.Object) (object.Object, error) {
	l, _, e := s.call(c, wire.StoreVerb_STORE_VERB_UPDATE, o)
	return first(l), e
}

// Delete removes the object if the platform's version is still o's.
func (s *Store) Delete(c context.Context, o object.Object) error {
	_, _, e := s.call(c, wire.StoreVerb_STORE_VERB_DELETE, o)
	return e
}

// Watch watches at the platform directly.
func (s *Store) Watch(c context.Context, kind string, after int64) (<-chan trail.Change, error) {
	return s.own.Watch(c, kind, after)
}

func first(l []object.Object) object.Object {
	if len(l) == 0 {
		return object.Object{}
	}
	return l[0]
}

// call makes one call directly, or through another front.
func (s *Store) call(c context.Context, v wire.StoreVerb, o object.Object) ([]object.Object, int64, error) {
	p := s.peers()
	a := len(p) > 0 && s.avoids()
	var e error
	if !a {
		l, n, f := direct(c, s.own, v, o)
		if !away(f) {
			return l, n, f
		}
		s.avoid()
		if trail.VerdictOf(f) != trail.NotRun || c.Err() != nil || len(p) == 0 {
			return nil, 0, f
		}
		e = f
	}
	l, n, f := s.around(c, p[rand.N(len(p))], v, o)
	if f != nil && e != nil && trail.CodeOf(f) == "peer-unreachable" {
		return nil, 0, e
	}
	return l, n, f
}

// direct makes one call at a store.
func direct(c context.Context, s trail.Store, v wire.StoreVerb, o object.Object) ([]object.Object, int64, error) {
	var r object.Object
	var e error
	switch v {
	case wire.StoreVerb_STORE_VERB_LIST:
		return s.List(c, o.Kind())
	case wire.StoreVerb_STORE_VERB_GET:
		r, e = s.Get(c, o.Kind(), o.Name())
	case wire.StoreVerb_STORE_VERB_CREATE:
		r, e = s.Create(c, o)
	case wire.StoreVerb_STORE_VERB_UPDATE:
		r, e = s.Update(c, o)
	case wire.StoreVerb_STORE_VERB_DELETE:
		return nil, 0, s.Delete(c, o)
	default:
		return nil, 0, trail.NewError("invalid-call", trail.NotRun, "no such call to the platform: %d", v)
	}
	if errors.Is(e, trail.ErrConflict) {
		return []object.Object{r}, 0, e
	}
	if e != nil {
		return nil, 0, e
	}
	return []object.Object{r}, 0, nil
}

// around makes one call through the front at address.
func (s *Store) around(c context.Context, address string, v wire.StoreVerb, o object.Object) ([]object.Object, int64, error) {
	c, f := context.WithTimeout(c, callTimeout)
	defer f()
	n, e := s.m.Open(c, address, wire.Open_builder{Store: wire.StoreCall_builder{
		Verb: &v, Kind: proto.String(o.Kind()), Name: proto.String(o.Name()), Version: proto.Int64(o.Version()), Value: o.Value(),
	}.Build()}.Build())
	if e != nil {
		return nil, 0, s.lost(e, address, v)
	}
	defer func() { _ = n.Close() }()
	d, _ := c.Deadline()
	_ = n.SetDeadline(d)
	r := &wire.StoreReply{}
	e = n.Recv(r)
	if e != nil {
		return nil, 0, s.lost(trail.WrapError(e, "peer-lost", trail.MayHaveRun, "no answer from peer %s", address), address, v)
	}
	s.l.WithFields(log.Fields{"peer": address, "verb": v.String(), "kind": o.Kind(), "name": o.Name(), "code": r.GetCode()}).Info("relay: platform called through another front")
	return result(r, o.Kind())
}

// lost is a call through a front that did not answer.
func (s *Store) lost(e error, address string, v wire.StoreVerb) error {
	r := trail.VerdictOf(e)
	if v == wire.StoreVerb_STORE_VERB_GET || v == wire.StoreVerb_STORE_VERB_LIST {
		r = trail.NotRun
	}
	s.l.WithError(e).WithField("peer", address).Warn("relay: platform not called through another front")
	return trail.WrapError(errors.Mark(e, trail.ErrUnavailable), trail.CodeOf(e), r, "platform does not answer, and neither does a peer")
}

func result(r *wire.StoreReply, kind string) ([]object.Object, int64, error) {
	if r.GetCode() != "" {
		return nil, 0, trail.WrapError(errors.Mark(errors.New(r.GetMessage()), sentinel(r.GetFailure())), r.GetCode(), trail.ReadVerdict(r.GetVerdict()), "platform called through another front")
	}
	var l []object.Object
	for _, o := range r.GetObjects() {
		l = append(l, object.New(kind, o.GetName(), o.GetVersion(), o.GetValue()))
	}
	return l, r.GetVersion(), nil
}

var failures = map[wire.StoreFailure]error{
	wire.StoreFailure_STORE_FAILURE_CONFLICT: trail.ErrConflict,
	wire.StoreFailure_STORE_FAILURE_EXISTS:   trail.ErrExists,
	wire.StoreFailure_STORE_FAILURE_MISSING:  trail.ErrNotFound,
}

func sentinel(f wire.StoreFailure) error {
	e, o := failures[f]
	if !o {
		return trail.ErrUnavailable
	}
	return e
}

// ServeCall makes a call for another front. The platform is asked directly.
func (s *Store) ServeCall(c context.Context, n *frame.Stream, o *wire.StoreCall) {
	c, f := context.WithTimeout(c, callTimeout)
	defer f()
	l, v, e := direct(c, s.own, o.GetVerb(), object.New(o.GetKind(), o.GetName(), o.GetVersion(), o.GetValue()))
	r := wire.StoreReply_builder{Version: &v}
	for _, x := range l {
		r.Objects = append(r.Objects, wire.StoredObject_builder{
			Name: proto.String(x.Name()), Version: proto.Int64(x.Version()), Value: x.Value(),
		}.Build())
	}
	if e != nil {
		r.Code = proto.String(trail.CodeOf(e))
		r.Message = proto.String(e.Error())
		r.Verdict = trail.VerdictOf(e).Message().Enum()
		r.Failure = failure(e).Enum()
	}
	e = n.Send(r.Build())
	if e != nil {
		s.l.WithError(e).Warn("relay: answer of the platform not passed on")
	}
}

func failure(e error) wire.StoreFailure {
	for f, x := range failures {
		if errors.Is(e, x) {
			return f
		}
	}
	return wire.StoreFailure_STORE_FAILURE_UNAVAILABLE
}
