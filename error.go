package trail

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/state/object"
)

// Error is a failure with a stable code and a verdict. The arguments of its text
// are stored separately by cockroachdb/errors. Its place identifies what the
// error refers to: a JSON pointer, a file and line, or an object.
type Error struct {
	code       string
	verdict    Verdict
	place      string
	retryAfter time.Duration
	// Never nil.
	cause error
}

// NewError returns an error with a kebab-case code. The text is a format string
// for arguments, without a final full stop.
func NewError(code string, verdict Verdict, text string, arguments ...any) *Error {
	return &Error{
		code:    code,
		verdict: verdict,
		cause:   errors.NewWithDepthf(1, text, arguments...),
	}
}

// WrapError returns an error that wraps cause, which errors.Is and errors.As
// find. The verdict replaces that of the cause.
func WrapError(cause error, code string, verdict Verdict, text string, arguments ...any) *Error {
	return &Error{
		code:    code,
		verdict: verdict,
		cause:   errors.WrapWithDepthf(1, cause, text, arguments...),
	}
}

// WithPlace returns a copy of the error with a place.
func (e *Error) WithPlace(place string) *Error {
	d := *e
	d.place = place
	return &d
}

// WithRetryAfter returns a copy of the error with a delay after which the caller
// may retry.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	d := *e
	d.retryAfter = delay
	return &d
}

// Error returns the place and the text.
func (e *Error) Error() string {
	if e.place == "" {
		return e.cause.Error()
	}
	return e.place + ": " + e.cause.Error()
}

// Message returns the text without the place.
func (e *Error) Message() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the stable code.
func (e *Error) Code() string { return e.code }

// Verdict returns whether the failed request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Place returns what the error refers to, or the empty string.
func (e *Error) Place() string { return e.place }

// RetryAfter returns the delay after which the caller may retry, or 0 if it
// should not.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// VerdictOf returns the verdict of the outermost Error in the chain of err. Without
// one it is NotRun for a message that could not be encoded, which has not been sent,
// and MayHaveRun for all other errors. It is Ran for nil.
func VerdictOf(err error) Verdict {
	var t *Error
	switch {
	case err == nil:
		return Ran
	case errors.As(err, &t):
		return t.verdict
	case errors.Is(err, object.ErrNotEncodable):
		return NotRun
	}
	return MayHaveRun
}

// RetryAfterOf returns the delay of the *Error in err after which the caller may
// retry, or 0 if there is none.
func RetryAfterOf(err error) time.Duration {
	var x *Error
	if errors.As(err, &x) {
		return x.RetryAfter()
	}
	return 0
}

// CodeOf returns the code of the outermost Error in the chain of err, or
// "internal".
func CodeOf(err error) string {
	var t *Error
	if errors.As(err, &t) {
		return t.code
	}
	return "internal"
}

// Errors collects all errors of one input, so that they are reported together.
type Errors []*Error

// Error returns one line for each error.
func (e Errors) Error() string {
	l := make([]string, 0, len(e))
	for _, f := range e {
		l = append(l, f.Error())
	}
	return strings.Join(l, "\n")
}

// OrNil returns the collection as an error, or nil if it is empty. An empty
// collection that is returned as an error directly would not equal nil.
func (e Errors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
