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

// fault says why a call ended.
type fault struct {
	code    string
	message string
	// The connection was reset or closed early.
	crashed bool
}

// classify names the fault behind an error of the connection.
func classify(p *progress, e error) fault {
	k := context.Cause(p.c)
	w := p.written()
	switch {
	case errors.Is(k, errSilent):
		return fault{code: codeSilent, message: errSilent.Error()}
	case errors.Is(k, errDeadline) || errors.Is(k, context.DeadlineExceeded):
		return fault{code: codeDeadline, message: errDeadline.Error()}
	case k != nil:
		return fault{code: codeCancelled, message: errClosed.Error()}
	// A dial after something was written is the transport's own repetition
	// and means that the first connection was lost.
	case lost(e) || w && errors.HasType(e, dialError{}):
		return fault{code: codeLost, message: "backend server closed the connection early", crashed: true}
	case w:
		return fault{code: codeProtocol, message: "backend server gave an invalid answer"}
	}
	return fault{code: codeUnreachable, message: "backend server could not be reached"}
}

// lost reports whether the connection ended before the answer did.
func lost(e error) bool {
	for _, t := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED} {
		if errors.Is(e, t) {
			return true
		}
	}
	return false
}

// end returns the last reply of a call that may have run.
func (s fault) end(tokens int64) *wire.End {
	o := &wire.End{}
	o.SetVerdict(wire.Verdict_VERDICT_MAY_HAVE_RUN)
	o.SetCode(s.code)
	o.SetMessage(s.message)
	o.SetTokens(tokens)
	o.SetCrashed(s.crashed)
	return o
}

// refusal returns the error for an answer by which the backend server refused
// the request, or nil. A refusal counts only when its body is complete.
func refusal(p *progress, a *http.Response) *trail.Error {
	if a.StatusCode != http.StatusTooManyRequests && a.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if !bounded(a) {
		return nil
	}
	p.allow(p.first)
	n, e := io.Copy(io.Discard, io.LimitReader(a.Body, maxRefusalBytes))
	_ = a.Body.Close()
	if e != nil || n == maxRefusalBytes {
		a.Body = io.NopCloser(failed{e})
		return nil
	}
	w := retryAfter(a.Header)
	if a.StatusCode == http.StatusServiceUnavailable && a.Header.Get(drainingHeader) == "true" {
		return trail.NewError(codeLeaving, trail.NotRun, "backend server is leaving").WithRetryAfter(w)
	}
	return trail.NewError(codeBusy, trail.NotRun, "backend server refused the request with status %d", a.StatusCode).WithRetryAfter(w)
}

// failed is the rest of a refusal that was not complete.
type failed struct{ e error }

func (s failed) Read([]byte) (int, error) {
	if s.e == nil {
		return 0, errors.New("refusal is too long")
	}
	return 0, s.e
}

// bounded reports whether the end of the body can be told from a lost
// connection.
func bounded(a *http.Response) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || a.Request.Method == http.MethodHead
}

// retryAfter reads the header of that name, in seconds or as a date (RFC 9110,
// section 10.2.3).
func retryAfter(h http.Header) time.Duration {
	v := h.Get("Retry-After")
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
