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

// Codes of calls that end without an answer.
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

// failure says why a call ended.
type failure struct {
	code    string
	message string
	// The connection was reset or closed early.
	crashed bool
}

// classify names the fault behind an error of the connection.
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
	// A dial after something was written is the transport's own repetition
	// and means that the first connection was lost.
	case isConnectionLost(err) || w && errors.HasType(err, dialError{}):
		return failure{code: codeLost, message: "backend server closed the connection early", crashed: true}
	case w:
		return failure{code: codeProtocol, message: "backend server gave an invalid answer"}
	}
	return failure{code: codeUnreachable, message: "backend server could not be reached"}
}

// isConnectionLost reports whether the connection ended before the answer did.
func isConnectionLost(err error) bool {
	for _, t := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED} {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

// end returns the last reply of a call that may have run.
func (s failure) end(tokens int64) *wire.End {
	o := &wire.End{}
	o.SetVerdict(wire.Verdict_VERDICT_MAY_HAVE_RUN)
	o.SetCode(s.code)
	o.SetMessage(s.message)
	o.SetTokens(tokens)
	o.SetCrashed(s.crashed)
	return o
}

// rejection returns the error for an answer by which the backend server refused
// the request, or nil. A refusal counts only when its body is complete.
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
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(drainingHeader) == "true" {
		return trail.NewError(codeLeaving, trail.NotRun, "backend server is leaving").WithRetryAfter(w)
	}
	return trail.NewError(codeBusy, trail.NotRun, "backend server refused the request with status %d", response.StatusCode).WithRetryAfter(w)
}

// failingReader is the rest of a refusal that was not complete.
type failingReader struct{ err error }

func (s failingReader) Read([]byte) (int, error) {
	if s.err == nil {
		return 0, errors.New("refusal is too long")
	}
	return 0, s.err
}

// isDelimited reports whether the end of the body can be told from a lost
// connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

// parseRetryAfter reads the header of that name, in seconds or as a date (RFC 9110,
// section 10.2.3).
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
