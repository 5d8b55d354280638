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
	// Longest time between two messages of a stream.
	heartbeatInterval = 500 * time.Millisecond
	// Changes within this time are sent in one message.
	coalescingWindow = 5 * time.Millisecond
	// A front that is asked for a kind before it has noticed that it is a
	// watcher must start its watch within this time.
	watchStartTimeout = time.Second
	// The stream to a follower that does not accept a message for this long is
	// closed.
	sendTimeout = 2 * time.Second
)

// Serve sends the copy of a kind and its changes to another front, as long as
// this front watches the kind at the platform and the platform is available.
func (s *Store) Serve(c context.Context, stream *frame.Stream, request *wire.Follow) {
	c, f := context.WithCancel(c)
	defer f()
	go func() {
		// A follower sends nothing after its request, so Recv returns when it
		// closes the stream.
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

// awaitWatch waits until this front watches a kind at the platform, and returns
// its copy. It returns nil if the kind is not shared, or if no watch starts
// within watchStartTimeout.
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

// canServe reports whether this front receives the changes of a kind from the
// platform directly and the platform is available.
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

// sentVersions holds the versions of the objects that were sent to a follower,
// by name.
type sentVersions map[string]int64

// nextMessage returns the changes since the last message, and records them as
// sent. The first message holds the whole copy.
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
