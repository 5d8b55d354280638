package usage

import (
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

// Error marks its cause as an invalid command line or invalid settings.
type Error struct{ cause error }

// New wraps cause in an Error.
func New(cause error) Error { return Error{cause: cause} }

// Error returns the text of the cause.
func (e Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e Error) Unwrap() error { return e.cause }

// Exit writes err to stderr and returns the exit status of the program: 0 for
// success and for a request for help, 1 for a failure, 2 for an invalid command
// line or invalid settings.
func Exit(program string, err error, stderr io.Writer) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	var u Error
	if errors.As(err, &u) {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, u)
		return statusUsage
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
	return statusFailed
}
