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
	// Limit for opening a stream, and for the first message, before which the
	// other front may have to start its watch.
	openTimeout = 1500 * time.Millisecond
	// A stream without a message for this long has failed. A watcher sends one
	// at least every heartbeatInterval.
	silenceTimeout = 1500 * time.Millisecond
)

// follow delivers the changes that another front sends until its stream ends.
func (s *Store) follow(ctx context.Context, kind, front string, changes chan<- trail.Change) {
	e := s.runStream(ctx, kind, front, changes)
	if ctx.Err() != nil {
		return
	}
	s.logger.WithError(e).WithFields(log.Fields{"kind": kind, "front": front}).Info("fanout: stream of a watching front ended")
	s.mu.Lock()
	s.backoffUntil[front] = time.Now().Add(failureBackoff)
	s.mu.Unlock()
	deliver(ctx, sourceChanged("stream of the watching front ended"), changes)
}

// runStream opens a stream to another front and delivers its copy of the kind
// and then the changes. It returns why the stream has ended.
func (s *Store) runStream(ctx context.Context, kind, front string, changes chan<- trail.Change) error {
	d, f := context.WithTimeout(ctx, openTimeout)
	defer f()
	n, e := s.mesh.Open(d, s.peerAddress(front), wire.Open_builder{Follow: wire.Follow_builder{Kind: &kind}.Build()}.Build())
	if e != nil {
		return e
	}
	defer func() { _ = n.Close() }()
	// Interrupts a read when ctx ends.
	defer context.AfterFunc(ctx, func() { _ = n.SetReadDeadline(time.Now()) })()
	m, e := receive(ctx, n, openTimeout)
	if e != nil {
		return e
	}
	s.logger.WithFields(log.Fields{"kind": kind, "front": front, "objects": len(m.GetObjects()), "version": m.GetVersion()}).Info("fanout: another front is followed")
	o := deliver(ctx, trail.NewListChange(decodeObjects(kind, m.GetObjects()), m.GetVersion()), changes)
	for o {
		m, e = receive(ctx, n, silenceTimeout)
		if e != nil {
			return e
		}
		o = deliverChanges(ctx, kind, m, changes)
	}
	return ctx.Err()
}

// receive reads one message within a timeout.
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

// deliverChanges delivers the changes of a message. It returns false if ctx ends
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
