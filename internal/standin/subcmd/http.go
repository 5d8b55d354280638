package subcmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout = 10 * time.Second
	// Requests in progress get so long when the process is asked to stop.
	stopTimeout = 5 * time.Second
)

// serveHTTP serves s at address until c ends. The first line of the
// standard output names the address, for tests that ask for port 0.
func serveHTTP(c context.Context, out io.Writer, address string, s *http.Server) error {
	l, e := (&net.ListenConfig{}).Listen(c, "tcp", address)
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(out, "listening on %s\n", l.Addr())
	if e != nil {
		return e
	}
	s.ReadHeaderTimeout = headerTimeout
	f := context.AfterFunc(c, func() {
		d, f := context.WithTimeout(context.WithoutCancel(c), stopTimeout)
		defer f()
		if s.Shutdown(d) != nil {
			_ = s.Close()
		}
	})
	defer f()
	e = s.Serve(l)
	if errors.Is(e, http.ErrServerClosed) {
		return nil
	}
	return e
}
