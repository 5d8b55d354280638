package invoke

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Codes of failed calls.
const (
	codeUnreachable = "backend-unreachable"
	codeLeaving     = "backend-leaving"
	codeBusy        = "backend-busy"
	codeLost        = "backend-lost"
	codeSilent      = "backend-silent"
	codeProtocol    = "backend-protocol"
	codeIncomplete  = "answer-incomplete"
	codeMismatch    = "answer-mismatch"
	codeInvalid     = "invalid-call"
	codeCancelled   = "cancelled"
	codeDeadline    = "deadline-exceeded"
)

// failure is the reason why a call failed.
type failure struct {
	code    string
	message string
	// Whether the connection was reset or closed early.
	crashed bool
}

// classify derives the failure of a call from an error of the transport or of
// the response body, and from the cause of the call's context.
func classify(monitor *callMonitor, err error) failure {
	k := context.Cause(monitor.ctx)
	w := monitor.mayBeWritten()
	switch {
	case errors.Is(k, errStalled):
		return failure{code: codeSilent, message: errStalled.Error()}
	case errors.Is(k, errDeadlineExceeded) || errors.Is(k, context.DeadlineExceeded):
		return failure{code: codeDeadline, message: errDeadlineExceeded.Error()}
	case k != nil:
		return failure{code: codeCancelled, message: errCancelled.Error()}
	// If something was written before a dial, the dial is part of the
	// transport's own retry, which means that the first connection was lost.
	case isConnectionLost(err) || w && errors.HasType(err, dialError{}):
		return failure{code: codeLost, message: "backend server closed the connection early", crashed: true}
	case w:
		return failure{code: codeProtocol, message: "backend server gave an invalid answer"}
	}
	return failure{code: codeUnreachable, message: "backend server could not be reached"}
}

// isConnectionLost reports whether the error means that the connection ended
// before the response did.
func isConnectionLost(err error) bool {
	for _, t := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED} {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

// end returns the End of a failed call that may have run.
func (s failure) end(tokens int64) *wire.End {
	o := &wire.End{}
	o.SetVerdict(wire.Verdict_VERDICT_MAY_HAVE_RUN)
	o.SetCode(s.code)
	o.SetMessage(s.message)
	o.SetTokens(tokens)
	o.SetCrashed(s.crashed)
	return o
}

// rejection returns an error if the backend server rejected the request with a
// status of 429 or 503, and nil for any other response. A rejection is valid
// only if its body is complete.
func rejection(monitor *callMonitor, response *http.Response) *trail.Error {
	if response.StatusCode != http.StatusTooManyRequests && response.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if !isDelimited(response) {
		return nil
	}
	monitor.resetTimer(monitor.readTimeout)
	n, e := io.Copy(io.Discard, io.LimitReader(response.Body, maxRejectionBytes))
	_ = response.Body.Close()
	if e != nil || n == maxRejectionBytes {
		response.Body = io.NopCloser(failingReader{e})
		return nil
	}
	w := parseRetryAfter(response.Header)
	if response.Header.Get(drainingHeader) == "true" {
		return trail.NewError(codeLeaving, trail.NotRun, "backend server is leaving").WithRetryAfter(w)
	}
	return trail.NewError(codeBusy, trail.NotRun, "backend server refused the request with status %d", response.StatusCode).WithRetryAfter(w)
}

// failingReader replaces the body of an incomplete rejection. A nil err stands
// for a body of maxRejectionBytes or more.
type failingReader struct{ err error }

func (s failingReader) Read([]byte) (int, error) {
	if s.err == nil {
		return 0, errors.New("body of the rejection is too long")
	}
	return 0, s.err
}

// isDelimited reports whether the end of the body can be distinguished from a
// lost connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

// parseRetryAfter returns the delay of the Retry-After header, which is given in
// seconds or as a date (RFC 9110, section 10.2.3).
func parseRetryAfter(header http.Header) time.Duration {
	v := header.Get("Retry-After")
	n, e := strconv.Atoi(v)
	if e == nil && n >= 0 {
		return time.Duration(n) * time.Second
	}
	t, e := http.ParseTime(v)
	if e == nil && time.Until(t) > 0 {
		return time.Until(t)
	}
	return defaultRetryAfter
}
