package fanout

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// Longest time between the messages of a stream.
	heartbeatInterval = 500 * time.Millisecond
	// Changes within this time share a message.
	coalescingWindow = 5 * time.Millisecond
	// A front that has been asked to watch, but does not know it yet, has so
	// long to begin.
	watchStartTimeout = time.Second
	// A follower that takes no message for so long is given up.
	sendTimeout = 2 * time.Second
)

// Serve tells another front the changes of a kind, as long as this front
// watches the kind and the platform answers it.
func (s *Store) Serve(c context.Context, stream *frame.Stream, request *wire.Follow) {
	c, f := context.WithCancel(c)
	defer f()
	go func() {
		// Nothing more is sent; the stream ends when the other front closes it.
		_ = stream.Recv(&wire.Follow{})
		f()
	}()
	k := request.GetKind()
	i := s.awaitWatch(c, k)
	if i == nil {
		return
	}
	t := sentVersions{}
	for s.canServe(k, i) {
		w := i.Changed()
		e := stream.SetDeadline(time.Now().Add(sendTimeout))
		if e == nil {
			e = stream.Send(t.nextMessage(i))
		}
		if e != nil {
			s.logger.WithError(e).WithField("kind", k).Info("fanout: front that follows was lost")
			return
		}
		select {
		case <-w:
			sleep(c, coalescingWindow)
		case <-time.After(heartbeatInterval):
		case <-c.Done():
			return
		}
	}
	s.logger.WithFields(log.Fields{"kind": k}).Info("fanout: fronts that follow are left, this one does not watch any more")
}

// awaitWatch waits until this front watches a kind, and returns its copy, or nil if
// it does not begin to.
func (s *Store) awaitWatch(ctx context.Context, kind string) *inform.Informer {
	s.mu.Lock()
	i := s.sharedCopies[kind]
	s.mu.Unlock()
	if i == nil {
		return nil
	}
	for b := time.Now(); time.Since(b) < watchStartTimeout && ctx.Err() == nil; sleep(ctx, electionCheckInterval) {
		if s.canServe(kind, i) {
			return i
		}
	}
	return nil
}

// canServe says whether this front hears of the changes of a kind from the
// platform itself.
func (s *Store) canServe(kind string, informer *inform.Informer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchedKinds[kind] && !informer.Unavailable()
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// sentVersions holds the versions of the objects that a follower has been told, by
// name.
type sentVersions map[string]int64

// nextMessage returns what has changed since the last one.
func (t sentVersions) nextMessage(informer *inform.Informer) *wire.Followed {
	l, v := informer.Snapshot()
	m := wire.Followed_builder{Version: &v}
	h := make(map[string]bool, len(l))
	for _, o := range l {
		h[o.Name()] = true
		if p, k := t[o.Name()]; k && p == o.Version() {
			continue
		}
		t[o.Name()] = o.Version()
		m.Objects = append(m.Objects, encodeObject(o))
	}
	for n, p := range t {
		if !h[n] {
			delete(t, n)
			m.Deleted = append(m.Deleted, encodeObject(object.New("", n, p, nil)))
		}
	}
	return m.Build()
}

func encodeObject(obj object.Object) *wire.StoredObject {
	return wire.StoredObject_builder{Name: proto.String(obj.Name()), Version: proto.Int64(obj.Version()), Value: obj.Value()}.Build()
}
