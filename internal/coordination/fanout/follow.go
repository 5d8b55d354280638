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
	silenceTimeout = 1500 * time.Millisecond
)

// follow passes on the changes that another front tells, until its stream ends.
func (s *Store) follow(ctx context.Context, kind, front string, changes chan<- trail.Change) {
	e := s.runStream(ctx, kind, front, changes)
	if ctx.Err() != nil {
		return
	}
	s.logger.WithError(e).WithFields(log.Fields{"kind": kind, "front": front}).Info("fanout: stream of a watching front ended")
	s.mu.Lock()
	s.backoffUntil[front] = time.Now().Add(failureBackoff)
	s.mu.Unlock()
	deliver(ctx, sourceChanged("watching front does not tell the changes any more"), changes)
}

// runStream returns why the stream has ended.
func (s *Store) runStream(ctx context.Context, kind, front string, changes chan<- trail.Change) error {
	d, f := context.WithTimeout(ctx, openTimeout)
	defer f()
	n, e := s.mesh.Open(d, s.peerAddress(front), wire.Open_builder{Follow: wire.Follow_builder{Kind: &kind}.Build()}.Build())
	if e != nil {
		return e
	}
	defer func() { _ = n.Close() }()
	// Ends a read when c ends.
	defer context.AfterFunc(ctx, func() { _ = n.SetReadDeadline(time.Now()) })()
	m, e := receive(ctx, n, openTimeout)
	if e != nil {
		return e
	}
	s.logger.WithFields(log.Fields{"kind": kind, "front": front, "objects": len(m.GetObjects()), "version": m.GetVersion()}).Info("fanout: another front is followed")
	o := deliver(ctx, trail.NewList(decodeObjects(kind, m.GetObjects()), m.GetVersion()), changes)
	for o {
		m, e = receive(ctx, n, silenceTimeout)
		if e != nil {
			return e
		}
		o = deliverChanges(ctx, kind, m, changes)
	}
	return ctx.Err()
}

// receive reads a message within a time.
func receive(ctx context.Context, stream *frame.Stream, timeout time.Duration) (*wire.Followed, error) {
	e := stream.SetReadDeadline(time.Now().Add(timeout))
	if e != nil {
		return nil, e
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	m := &wire.Followed{}
	return m, stream.Recv(m)
}

func decodeObjects(kind string, stored []*wire.StoredObject) []object.Object {
	r := make([]object.Object, 0, len(stored))
	for _, o := range stored {
		r = append(r, object.New(kind, o.GetName(), o.GetVersion(), o.GetValue()))
	}
	return r
}

// deliverChanges passes on the changes of a message. It returns false when c ends
// first.
func deliverChanges(ctx context.Context, kind string, message *wire.Followed, changes chan<- trail.Change) bool {
	for _, o := range decodeObjects(kind, message.GetDeleted()) {
		if !deliver(ctx, trail.NewChange(o, true), changes) {
			return false
		}
	}
	for _, o := range decodeObjects(kind, message.GetObjects()) {
		if !deliver(ctx, trail.NewChange(o, false), changes) {
			return false
		}
	}
	return true
}
