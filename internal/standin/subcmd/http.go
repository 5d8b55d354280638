package subcmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/standin/extra"
)

const (
	headerTimeout = 10 * time.Second
	// Time for requests in flight to complete when the process is stopped.
	shutdownTimeout = 5 * time.Second
)

// serveBackend runs a backend server like serveHTTP, with the fault of answers too many.
func serveBackend(ctx context.Context, out io.Writer, address string, server *http.Server) error {
	return serve(ctx, out, address, server, func(l net.Listener) net.Listener { return extra.New().Attach(server, l) })
}

// serveHTTP runs server at address until ctx is done. The first line that it
// writes to out gives the address, for tests that use port 0.
func serveHTTP(ctx context.Context, out io.Writer, address string, server *http.Server) error {
	return serve(ctx, out, address, server, func(l net.Listener) net.Listener { return l })
}

func serve(ctx context.Context, out io.Writer, address string, server *http.Server, wrap func(net.Listener) net.Listener) error {
	l, e := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(out, "listening on %s\n", l.Addr())
	if e != nil {
		return e
	}
	server.ReadHeaderTimeout = headerTimeout
	f := context.AfterFunc(ctx, func() {
		d, f := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer f()
		if server.Shutdown(d) != nil {
			_ = server.Close()
		}
	})
	defer f()
	e = server.Serve(wrap(l))
	if errors.Is(e, http.ErrServerClosed) {
		return nil
	}
	return e
}
