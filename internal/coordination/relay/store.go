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
	// Time without direct calls after the platform has not answered one.
	directBackoff = time.Second
	// Limit of a call through another front.
	peerCallTimeout = 1500 * time.Millisecond
)

// Store is a trail.StaleStore that falls back to calls through other fronts.
type Store struct {
	platform trail.StaleStore
	mesh     *mesh.Mesh
	// Returns the peer addresses of the fronts that the platform answers.
	peers func() []string
	// Called when the platform has not answered a direct call.
	onNoAnswer func()
	logger     log.Interface
	// End of the backoff of direct calls, in Unix nanoseconds.
	backoffUntil atomic.Int64
}

var _ trail.StaleStore = (*Store)(nil)

// New returns a store that calls the platform, and the fronts at the addresses
// that peers returns while the platform does not answer. It calls onNoAnswer each
// time when the platform has not answered.
func New(platform trail.StaleStore, mesh *mesh.Mesh, peers func() []string, onNoAnswer func(), logger log.Interface) *Store {
	return &Store{platform: platform, mesh: mesh, peers: peers, onNoAnswer: onNoAnswer, logger: logger}
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind, name string) (object.Object, error) {
	l, _, e := s.call(ctx, wire.StoreVerb_STORE_VERB_GET, object.New(kind, name, 0, nil))
	return firstOrEmpty(l), e
}

// List reads all objects of a kind and the version of the list.
func (s *Store) List(ctx context.Context, kind string) ([]object.Object, int64, error) {
	return s.call(ctx, wire.StoreVerb_STORE_VERB_LIST, object.New(kind, "", 0, nil))
}

// GetStale reads one object from a copy that may be seconds old, or as Get does
// if no copy answers.
func (s *Store) GetStale(ctx context.Context, kind, name string) (object.Object, error) {
	if !s.inBackoff() {
		o, e := s.platform.GetStale(ctx, kind, name)
		if !isUnavailable(e) {
			return o, e
		}
		s.startBackoff()
	}
	return s.Get(ctx, kind, name)
}

// ListStale reads all objects of a kind from a copy that may be seconds old, or
// as List does if no copy answers.
func (s *Store) ListStale(ctx context.Context, kind string) ([]object.Object, int64, error) {
	if !s.inBackoff() {
		l, v, e := s.platform.ListStale(ctx, kind)
		if !isUnavailable(e) {
			return l, v, e
		}
		s.startBackoff()
	}
	return s.List(ctx, kind)
}

// inBackoff reports whether direct calls are suspended because the platform has
// not answered one shortly before.
func (s *Store) inBackoff() bool { return time.Now().UnixNano() < s.backoffUntil.Load() }

func (s *Store) startBackoff() {
	s.backoffUntil.Store(time.Now().Add(directBackoff).UnixNano())
	s.onNoAnswer()
}

// isUnavailable reports whether an error means that the platform does not
// answer. An object that can't be decoded is an answer.
func isUnavailable(err error) bool {
	return errors.Is(err, trail.ErrUnavailable) && trail.CodeOf(err) != "object-unreadable"
}

// Create stores a new object and returns it with its version.
func (s *Store) Create(ctx context.Context, obj object.Object) (object.Object, error) {
	l, _, e := s.call(ctx, wire.StoreVerb_STORE_VERB_CREATE, obj)
	return firstOrEmpty(l), e
}

// Update replaces the object if its version at the platform is still that of
// obj. On a conflict reported by the platform directly, it also returns the
// current object.
func (s *Store) Update(ctx context.Context, obj object.Object) (object.Object, error) {
	l, _, e := s.call(ctx, wire.StoreVerb_STORE_VERB_UPDATE, obj)
	return firstOrEmpty(l), e
}

// Delete removes the object if its version at the platform is still that of obj.
func (s *Store) Delete(ctx context.Context, obj object.Object) error {
	_, _, e := s.call(ctx, wire.StoreVerb_STORE_VERB_DELETE, obj)
	return e
}

// Watch watches a kind at the platform directly, never through another front.
func (s *Store) Watch(ctx context.Context, kind string, after int64) (<-chan trail.Change, error) {
	return s.platform.Watch(ctx, kind, after)
}

func firstOrEmpty(objects []object.Object) object.Object {
	if len(objects) == 0 {
		return object.Object{}
	}
	return objects[0]
}

// call makes one call directly, or through a random peer if the platform does
// not answer or direct calls are suspended. A direct call that may have run is
// not repeated.
func (s *Store) call(ctx context.Context, verb wire.StoreVerb, obj object.Object) ([]object.Object, int64, error) {
	p := s.peers()
	a := len(p) > 0 && s.inBackoff()
	var e error
	if !a {
		l, n, f := callStore(ctx, s.platform, verb, obj)
		if !isUnavailable(f) {
			return l, n, f
		}
		s.startBackoff()
		if trail.VerdictOf(f) != trail.NotRun || ctx.Err() != nil || len(p) == 0 {
			return nil, 0, f
		}
		e = f
	}
	l, n, f := s.callPeer(ctx, p[rand.N(len(p))], verb, obj)
	if f != nil && e != nil && trail.CodeOf(f) == "peer-unreachable" {
		return nil, 0, e
	}
	return l, n, f
}

// callStore makes one call to a store.
func callStore(ctx context.Context, store trail.Store, verb wire.StoreVerb, obj object.Object) ([]object.Object, int64, error) {
	var r object.Object
	var e error
	switch verb {
	case wire.StoreVerb_STORE_VERB_LIST:
		return store.List(ctx, obj.Kind())
	case wire.StoreVerb_STORE_VERB_GET:
		r, e = store.Get(ctx, obj.Kind(), obj.Name())
	case wire.StoreVerb_STORE_VERB_CREATE:
		r, e = store.Create(ctx, obj)
	case wire.StoreVerb_STORE_VERB_UPDATE:
		r, e = store.Update(ctx, obj)
	case wire.StoreVerb_STORE_VERB_DELETE:
		return nil, 0, store.Delete(ctx, obj)
	default:
		return nil, 0, trail.NewError("invalid-call", trail.NotRun, "no such call to the platform: %d", verb)
	}
	if errors.Is(e, trail.ErrConflict) {
		return []object.Object{r}, 0, e
	}
	if e != nil {
		return nil, 0, e
	}
	return []object.Object{r}, 0, nil
}

// callPeer makes one call through the front at an address.
func (s *Store) callPeer(c context.Context, address string, verb wire.StoreVerb, obj object.Object) ([]object.Object, int64, error) {
	c, f := context.WithTimeout(c, peerCallTimeout)
	defer f()
	n, e := s.mesh.Open(c, address, wire.Open_builder{Store: wire.StoreCall_builder{
		Verb: &verb, Kind: proto.String(obj.Kind()), Name: proto.String(obj.Name()), Version: proto.Int64(obj.Version()), Value: obj.Value(),
	}.Build()}.Build())
	if e != nil {
		return nil, 0, s.peerCallError(e, address, verb)
	}
	defer func() { _ = n.Close() }()
	d, _ := c.Deadline()
	_ = n.SetDeadline(d)
	r := &wire.StoreReply{}
	e = n.Recv(r)
	if e != nil {
		return nil, 0, s.peerCallError(trail.WrapError(e, "peer-lost", trail.MayHaveRun, "no answer from peer %s", address), address, verb)
	}
	s.logger.WithFields(log.Fields{"peer": address, "verb": verb.String(), "kind": obj.Kind(), "name": obj.Name(), "code": r.GetCode()}).Info("relay: platform called through another front")
	return decodeReply(r, obj.Kind())
}

// peerCallError logs and returns the error of a call through a front that did
// not answer. A read can be repeated safely, so its verdict is NotRun.
func (s *Store) peerCallError(err error, address string, verb wire.StoreVerb) error {
	r := trail.VerdictOf(err)
	if verb == wire.StoreVerb_STORE_VERB_GET || verb == wire.StoreVerb_STORE_VERB_LIST {
		r = trail.NotRun
	}
	s.logger.WithError(err).WithField("peer", address).Warn("relay: platform not called through another front")
	return trail.WrapError(errors.Mark(err, trail.ErrUnavailable), trail.CodeOf(err), r, "platform does not answer, and neither does a peer")
}

func decodeReply(reply *wire.StoreReply, kind string) ([]object.Object, int64, error) {
	if reply.GetCode() != "" {
		return nil, 0, trail.WrapError(errors.Mark(errors.New(reply.GetMessage()), sentinelError(reply.GetFailure())), reply.GetCode(), trail.VerdictFromProto(reply.GetVerdict()), "platform called through another front")
	}
	var l []object.Object
	for _, o := range reply.GetObjects() {
		l = append(l, object.New(kind, o.GetName(), o.GetVersion(), o.GetValue()))
	}
	return l, reply.GetVersion(), nil
}

var failureErrors = map[wire.StoreFailure]error{
	wire.StoreFailure_STORE_FAILURE_CONFLICT: trail.ErrConflict,
	wire.StoreFailure_STORE_FAILURE_EXISTS:   trail.ErrExists,
	wire.StoreFailure_STORE_FAILURE_MISSING:  trail.ErrNotFound,
}

func sentinelError(failure wire.StoreFailure) error {
	e, o := failureErrors[failure]
	if !o {
		return trail.ErrUnavailable
	}
	return e
}

// ServeCall makes a call for another front, directly at the platform.
func (s *Store) ServeCall(c context.Context, stream *frame.Stream, request *wire.StoreCall) {
	c, f := context.WithTimeout(c, peerCallTimeout)
	defer f()
	l, v, e := callStore(c, s.platform, request.GetVerb(), object.New(request.GetKind(), request.GetName(), request.GetVersion(), request.GetValue()))
	r := wire.StoreReply_builder{Version: &v}
	for _, x := range l {
		r.Objects = append(r.Objects, wire.StoredObject_builder{
			Name: proto.String(x.Name()), Version: proto.Int64(x.Version()), Value: x.Value(),
		}.Build())
	}
	if e != nil {
		r.Code = proto.String(trail.CodeOf(e))
		r.Message = proto.String(e.Error())
		r.Verdict = trail.VerdictOf(e).Proto().Enum()
		r.Failure = failureOf(e).Enum()
	}
	e = stream.Send(r.Build())
	if e != nil {
		s.logger.WithError(e).Warn("relay: reply of the platform not sent to the calling front")
	}
}

func failureOf(err error) wire.StoreFailure {
	for f, x := range failureErrors {
		if errors.Is(err, x) {
			return f
		}
	}
	return wire.StoreFailure_STORE_FAILURE_UNAVAILABLE
}
