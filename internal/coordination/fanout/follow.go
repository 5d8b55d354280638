package fanout

import (
	"context"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// Bound of the opening of a stream and of the first message, for which the
	// other front may have to become a watcher first.
	openTimeout = 1500 * time.Millisecond
	// A stream without a message for so long has gone silent. Messages come
	// each beat.
	silence = 1500 * time.Millisecond
)

// follow passes on the changes that another front tells, until its stream ends.
func (s *Store) follow(c context.Context, kind, front string, w chan<- trail.Change) {
	e := s.stream(c, kind, front, w)
	if c.Err() != nil {
		return
	}
	s.l.WithError(e).WithFields(log.Fields{"kind": kind, "front": front}).Info("fanout: stream of a watching front ended")
	s.mutex.Lock()
	s.failed[front] = time.Now().Add(failedRest)
	s.mutex.Unlock()
	deliver(c, otherSource("watching front does not tell the changes any more"), w)
}

// stream returns why the stream has ended.
func (s *Store) stream(c context.Context, kind, front string, w chan<- trail.Change) error {
	d, f := context.WithTimeout(c, openTimeout)
	defer f()
	n, e := s.m.Open(d, s.address(front), wire.Open_builder{Follow: wire.Follow_builder{Kind: &kind}.Build()}.Build())
	if e != nil {
		return e
	}
	defer func() { _ = n.Close() }()
	// Ends a read when c ends.
	defer context.AfterFunc(c, func() { _ = n.SetReadDeadline(time.Now()) })()
	m, e := next(c, n, openTimeout)
	if e != nil {
		return e
	}
	s.l.WithFields(log.Fields{"kind": kind, "front": front, "objects": len(m.GetObjects()), "version": m.GetVersion()}).Info("fanout: another front is followed")
	o := deliver(c, trail.NewList(objects(kind, m.GetObjects()), m.GetVersion()), w)
	for o {
		m, e = next(c, n, silence)
		if e != nil {
			return e
		}
		o = changes(c, kind, m, w)
	}
	return c.Err()
}

// next reads a message within a time.
func next(c context.Context, n *frame.Stream, timeout time.Duration) (*wire.Followed, error) {
	e := n.SetReadDeadline(time.Now().Add(timeout))
	if e != nil {
		return nil, e
	}
	if c.Err() != nil {
		return nil, c.Err()
	}
	m := &wire.Followed{}
	return m, n.Recv(m)
}

func objects(kind string, l []*wire.StoredObject) []object.Object {
	r := make([]object.Object, 0, len(l))
	for _, o := range l {
		r = append(r, object.New(kind, o.GetName(), o.GetVersion(), o.GetValue()))
	}
	return r
}

// changes passes on the changes of a message. It returns false when c ends
// first.
func changes(c context.Context, kind string, m *wire.Followed, w chan<- trail.Change) bool {
	for _, o := range objects(kind, m.GetDeleted()) {
		if !deliver(c, trail.NewChange(o, true), w) {
			return false
		}
	}
	for _, o := range objects(kind, m.GetObjects()) {
		if !deliver(c, trail.NewChange(o, false), w) {
			return false
		}
	}
	return true
}
