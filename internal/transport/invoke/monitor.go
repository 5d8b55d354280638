package invoke

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Causes of the cancellation of the context of a call or of its dial, as
// returned by context.Cause.
var (
	errConnectTimeout   = errors.New("backend server did not accept a connection in time")
	errStalled          = errors.New("backend server made no progress in time")
	errDeadlineExceeded = errors.New("deadline of the call has passed")
	errCancelled        = errors.New("call was given up")
)

// dialError marks errors of the dialer, to distinguish them from errors of a
// connection.
type dialError struct{ error }

func (s dialError) Unwrap() error { return s.error }

// callMonitor cancels a call that makes no progress, and tracks whether any part
// of its request was written.
type callMonitor struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// Releases the resources of the deadline's context.
	cancelDeadline context.CancelFunc
	timer          *time.Timer
	// Limits the time until the first byte, and each read of a response that is
	// not an event stream.
	readTimeout time.Duration
	// The connection in use and its count of writes before this call. Another
	// connection is used if the transport repeats the request.
	conn        atomic.Pointer[countingConn]
	priorWrites atomic.Int64
	// What the connection in use had carried before this call.
	carried atomic.Int32
	// Whether the answer named the id of this call. Set before the replies exist.
	confirmed bool
	// Set once net/http has requested a connection, which it does only if the
	// request is valid.
	connRequested atomic.Bool
	// Set if an earlier connection was written to, or if the connection in use
	// does not count its writes.
	assumeWritten atomic.Bool
}

// newCallMonitor returns the context of one call and its monitor. The context is
// cancelled with ctx, at the deadline of the call, or if the call makes no
// progress.
func newCallMonitor(ctx context.Context, call *wire.Call) (context.Context, *callMonitor) {
	m := &callMonitor{readTimeout: firstByteTimeout, cancelDeadline: func() {}}
	if call.GetClass() == wire.Class_CLASS_BATCH {
		m.readTimeout = batchFirstByteTimeout
	}
	if call.GetModel() != "" && !call.GetStream() {
		// A response that is not streamed arrives only after its last token has
		// been generated.
		m.readTimeout += time.Duration(call.GetCostTokens()) * unstreamedTimePerToken
	}
	if d := call.GetDeadlineUnixMs(); d > 0 {
		ctx, m.cancelDeadline = context.WithDeadlineCause(ctx, time.UnixMilli(d), errDeadlineExceeded)
	}
	ctx, m.cancel = context.WithCancelCause(ctx)
	m.ctx = ctx
	// This fires after the connect timeout, and so limits the dial only if the
	// dialer ignores its context.
	m.timer = time.AfterFunc(connectTimeout+m.readTimeout, func() { m.cancel(errStalled) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { m.connRequested.Store(true) },
		GotConn: m.gotConn,
	}), m
}

// gotConn records the connection that the request is about to be written to, and
// restarts the timer.
func (s *callMonitor) gotConn(info httptrace.GotConnInfo) {
	if s.mayBeWritten() {
		s.assumeWritten.Store(true)
	}
	n, y := info.Conn.(*countingConn)
	if !y {
		s.assumeWritten.Store(true)
		return
	}
	s.carried.Store(n.beginCall())
	s.priorWrites.Store(n.writeCount.Load())
	s.conn.Store(n)
	s.resetTimer(s.readTimeout)
}

// process returns the process at the other end of the connection in use, nil if it was
// not asked.
func (s *callMonitor) process() *process {
	n := s.conn.Load()
	if n == nil {
		return nil
	}
	return n.process
}

// ownsAnswer reports whether a response is the answer to this call: it names the id of
// the call, or does not name a call where no other answer can be expected. A plain service
// may use the header for ids of its own. It is asked before anything else in the response
// counts, a rejection included.
func (s *callMonitor) ownsAnswer(call *wire.Call, response *http.Response) bool {
	i := response.Header.Get(requestIDHeader)
	if i != call.GetAttemptId() && (i == "" || call.GetModel() == "") {
		switch s.carried.Load() {
		case carriedNothing:
			return true
		case carriedQuestion:
			// Another answer to the question may come late, but is no event stream.
			return response.StatusCode == http.StatusOK && isEventStream(response)
		}
		return false
	}
	if i != call.GetAttemptId() {
		return false
	}
	s.confirmed = true
	if n := s.conn.Load(); n != nil {
		n.carried.Store(carriedConfirmed)
	}
	return true
}

// closeUnconfirmedConn closes the connection in use after an answer that named no id.
func (s *callMonitor) closeUnconfirmedConn() {
	if !s.confirmed {
		s.closeConn()
	}
}

// closeConn closes the connection in use. net/http may hold it for idle already, as it
// does after a response without a body.
func (s *callMonitor) closeConn() {
	if n := s.conn.Load(); n != nil {
		_ = n.Close()
	}
}

// mayBeWritten reports whether any part of the request may have been written.
// Once the transport has abandoned the connection, the result no longer changes,
// because the connection is closed.
func (s *callMonitor) mayBeWritten() bool {
	n := s.conn.Load()
	return s.assumeWritten.Load() || n != nil && n.writeCount.Load() > s.priorWrites.Load()
}

// resetTimer cancels the call after timeout, unless the timer is reset or
// stopped before.
func (s *callMonitor) resetTimer(timeout time.Duration) { s.timer.Reset(timeout) }

// stopTimer stops the timer while the consumer of the replies processes one.
func (s *callMonitor) stopTimer() { s.timer.Stop() }

// stop cancels the context of the call and releases its timers.
func (s *callMonitor) stop() {
	s.timer.Stop()
	s.cancel(errCancelled)
	s.cancelDeadline()
}
