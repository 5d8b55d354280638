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
	errConnectTimeout   = errors.New("backend server did not accept a connection in time")
	errStalled          = errors.New("backend server made no progress in time")
	errDeadlineExceeded = errors.New("deadline of the call has passed")
	errCancelled        = errors.New("call was given up")
)

// dialError marks errors of the dialer.
type dialError struct{ error }

func (s dialError) Unwrap() error { return s.error }

// countingConn notes that something was written to it.
type countingConn struct {
	net.Conn
	writeCount atomic.Int64
}

// Write counts the attempt before the bytes leave, so that no byte is ever
// sent uncounted.
func (s *countingConn) Write(b []byte) (int, error) {
	s.writeCount.Add(1)
	return s.Conn.Write(b)
}

// callMonitor cuts a call that makes no progress, and knows whether any of its
// request was written.
type callMonitor struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// Releases the timer of the deadline.
	cancelDeadline context.CancelFunc
	timer          *time.Timer
	// Time allowed until the first byte, and between the reads of an answer
	// that is not an event stream.
	readTimeout time.Duration
	// The connection in use and its count of writes before this call. The
	// transport may change it when it repeats a request.
	conn        atomic.Pointer[countingConn]
	priorWrites atomic.Int64
	// Set when a connection was asked for, which net/http does only for a
	// valid request.
	connRequested atomic.Bool
	// Set when an earlier connection was written to.
	assumeWritten atomic.Bool
}

// newCallMonitor returns the context of one call, which ends with c, at the
// call's deadline or when progress stops.
func newCallMonitor(ctx context.Context, call *wire.Call) (context.Context, *callMonitor) {
	m := &callMonitor{readTimeout: firstByteTimeout, cancelDeadline: func() {}}
	if call.GetClass() == wire.Class_CLASS_BATCH {
		m.readTimeout = batchFirstByteTimeout
	}
	if call.GetModel() != "" && !call.GetStream() {
		// A whole answer comes when its last token is made.
		m.readTimeout += time.Duration(call.GetCostTokens()) * unstreamedTimePerToken
	}
	if d := call.GetDeadlineUnixMs(); d > 0 {
		ctx, m.cancelDeadline = context.WithDeadlineCause(ctx, time.UnixMilli(d), errDeadlineExceeded)
	}
	ctx, m.cancel = context.WithCancelCause(ctx)
	m.ctx = ctx
	// The connect timeout has run out before, unless the dialer ignores it.
	m.timer = time.AfterFunc(connectTimeout+m.readTimeout, func() { m.cancel(errStalled) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { m.connRequested.Store(true) },
		GotConn: m.gotConn,
	}), m
}

// gotConn notes the connection that the request is about to be written to.
func (s *callMonitor) gotConn(info httptrace.GotConnInfo) {
	if s.mayBeWritten() {
		s.assumeWritten.Store(true)
	}
	n, y := info.Conn.(*countingConn)
	if !y {
		s.assumeWritten.Store(true)
		return
	}
	s.priorWrites.Store(n.writeCount.Load())
	s.conn.Store(n)
	s.resetTimer(s.readTimeout)
}

// mayBeWritten reports whether any part of the request may have been written. After
// the transport has given up the connection the result doesn't change, because
// the connection is closed by then.
func (s *callMonitor) mayBeWritten() bool {
	n := s.conn.Load()
	return s.assumeWritten.Load() || n != nil && n.writeCount.Load() > s.priorWrites.Load()
}

// resetTimer cuts the call unless progress is made within d.
func (s *callMonitor) resetTimer(timeout time.Duration) { s.timer.Reset(timeout) }

// stopTimer stops the clock while the receiver of the replies is at work.
func (s *callMonitor) stopTimer() { s.timer.Stop() }

// stop ends the call.
func (s *callMonitor) stop() {
	s.timer.Stop()
	s.cancel(errCancelled)
	s.cancelDeadline()
}
