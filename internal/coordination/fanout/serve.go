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
	beat = 500 * time.Millisecond
	// Changes within this time share a message.
	gather = 5 * time.Millisecond
	// A front that has been asked to watch, but does not know it yet, has so
	// long to begin.
	beginTimeout = time.Second
	// A follower that takes no message for so long is given up.
	sendTimeout = 2 * time.Second
)

// Serve tells another front the changes of a kind, as long as this front
// watches the kind and the platform answers it.
func (s *Store) Serve(c context.Context, n *frame.Stream, q *wire.Follow) {
	c, f := context.WithCancel(c)
	defer f()
	go func() {
		// Nothing more is sent; the stream ends when the other front closes it.
		_ = n.Recv(&wire.Follow{})
		f()
	}()
	k := q.GetKind()
	i := s.begun(c, k)
	if i == nil {
		return
	}
	t := told{}
	for s.tells(k, i) {
		w := i.Changed()
		e := n.SetDeadline(time.Now().Add(sendTimeout))
		if e == nil {
			e = n.Send(t.message(i))
		}
		if e != nil {
			s.l.WithError(e).WithField("kind", k).Info("fanout: front that follows was lost")
			return
		}
		select {
		case <-w:
			pause(c, gather)
		case <-time.After(beat):
		case <-c.Done():
			return
		}
	}
	s.l.WithFields(log.Fields{"kind": k}).Info("fanout: fronts that follow are left, this one does not watch any more")
}

// begun waits until this front watches a kind, and returns its copy, or nil if
// it does not begin to.
func (s *Store) begun(c context.Context, kind string) *inform.Informer {
	s.mutex.Lock()
	i := s.shared[kind]
	s.mutex.Unlock()
	if i == nil {
		return nil
	}
	for b := time.Now(); time.Since(b) < beginTimeout && c.Err() == nil; pause(c, checkPause) {
		if s.tells(kind, i) {
			return i
		}
	}
	return nil
}

// tells says whether this front hears of the changes of a kind from the
// platform itself.
func (s *Store) tells(kind string, i *inform.Informer) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watching[kind] && !i.Troubled()
}

func pause(c context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.Done():
	}
}

// told holds the versions of the objects that a follower has been told, by
// name.
type told map[string]int64

// message returns what has changed since the last one.
func (t told) message(i *inform.Informer) *wire.Followed {
	l, v := i.Copy()
	m := wire.Followed_builder{Version: &v}
	h := make(map[string]bool, len(l))
	for _, o := range l {
		h[o.Name()] = true
		if p, k := t[o.Name()]; k && p == o.Version() {
			continue
		}
		t[o.Name()] = o.Version()
		m.Objects = append(m.Objects, stored(o))
	}
	for n, p := range t {
		if !h[n] {
			delete(t, n)
			m.Deleted = append(m.Deleted, stored(object.New("", n, p, nil)))
		}
	}
	return m.Build()
}

func stored(o object.Object) *wire.StoredObject {
	return wire.StoredObject_builder{Name: proto.String(o.Name()), Version: proto.Int64(o.Version()), Value: o.Value()}.Build()
}
