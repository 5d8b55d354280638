package tool

import (
	"context"
	"fmt"
	"io"
)

// Run runs one command line without the program name and returns the exit
// status. Cancelling c asks a role to shut down gracefully.
func Run(_ context.Context, _ []string, _, w io.Writer) int {
	_, _ = fmt.Fprintln(w, "bulrushtrail: no command given; -help lists them")
	return 2
}
