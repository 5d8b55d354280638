package invoke

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Causes for which a call is cut, found with context.Cause.
var (
	errConnect  = errors.New("backend server did not accept a connection in time")
	errSilent   = errors.New("backend server made no progress in time")
	errDeadline = errors.New("deadline of the call has passed")
	errClosed   = errors.New("call was given up")
)

// dialError marks errors of the dialer.
type dialError struct{ error }

func (s dialError) Unwrap() error { return s.error }

// connection notes that something was written to it.
type connection struct {
	net.Conn
	writes atomic.Int64
}

// Write counts the attempt before the bytes leave, so that no byte is ever
// sent uncounted.
func (s *connection) Write(b []byte) (int, error) {
	s.writes.Add(1)
	return s.Conn.Write(b)
}

// progress cuts a call that makes no progress, and knows whether any of its
// request was written.
type progress struct {
	c      context.Context
	cancel context.CancelCauseFunc
	// Releases the timer of the deadline.
	release context.CancelFunc
	t       *time.Timer
	// Time allowed until the first byte, and between the reads of an answer
	// that is not an event stream.
	first time.Duration
	// The connection in use and its count of writes before this call. The
	// transport may change it when it repeats a request.
	n      atomic.Pointer[connection]
	before atomic.Int64
	// Set when a connection was asked for, which net/http does only for a
	// valid request.
	sought atomic.Bool
	// Set when an earlier connection was written to.
	wrote atomic.Bool
}

// newProgress returns the context of one call, which ends with c, at the
// call's deadline or when progress stops.
func newProgress(c context.Context, r *wire.Call) (context.Context, *progress) {
	p := &progress{first: firstByteTimeout, release: func() {}}
	if r.GetClass() == wire.Class_CLASS_BATCH {
		p.first = batchFirstByteTimeout
	}
	if r.GetModel() != "" && !r.GetStream() {
		// A whole answer comes when its last token is made.
		p.first += time.Duration(r.GetCostTokens()) * wholeTokenTime
	}
	if d := r.GetDeadlineUnixMs(); d > 0 {
		c, p.release = context.WithDeadlineCause(c, time.UnixMilli(d), errDeadline)
	}
	c, p.cancel = context.WithCancelCause(c)
	p.c = c
	// The connect timeout has run out before, unless the dialer ignores it.
	p.t = time.AfterFunc(connectTimeout+p.first, func() { p.cancel(errSilent) })
	return httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GetConn: func(string) { p.sought.Store(true) },
		GotConn: p.connected,
	}), p
}

// connected notes the connection that the request is about to be written to.
func (s *progress) connected(i httptrace.GotConnInfo) {
	if s.written() {
		s.wrote.Store(true)
	}
	n, y := i.Conn.(*connection)
	if !y {
		s.wrote.Store(true)
		return
	}
	s.before.Store(n.writes.Load())
	s.n.Store(n)
	s.allow(s.first)
}

// written reports whether any part of the request may have been written. After
// the transport has given up the connection the result doesn't change, because
// the connection is closed by then.
func (s *progress) written() bool {
	n := s.n.Load()
	return s.wrote.Load() || n != nil && n.writes.Load() > s.before.Load()
}

// allow cuts the call unless progress is made within d.
func (s *progress) allow(d time.Duration) { s.t.Reset(d) }

// pause stops the clock while the receiver of the replies is at work.
func (s *progress) pause() { s.t.Stop() }

// stop ends the call.
func (s *progress) stop() {
	s.t.Stop()
	s.cancel(errClosed)
	s.release()
}
