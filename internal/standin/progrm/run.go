package progrm

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	readHeaderTimeout = 5 * time.Second
	// Time for calls in progress after a signal.
	shutdownTimeout = 5 * time.Second
)

// commands lists the subcommands, each in a file of its own.
func commands() []*ffcli.Command {
	return []*ffcli.Command{
		platform(),
	}
}

// Run runs one command line without the program name and returns the exit
// status: 0, 1 for a failure or 2 for a wrong command line. Logs go to w as
// JSON lines. Cancelling c stops a server.
func Run(c context.Context, arguments []string, w io.Writer) int {
	log.SetHandler(json.New(w))
	s := flag.NewFlagSet("standin", flag.ContinueOnError)
	s.SetOutput(w)
	r := &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <command> [flags]",
		FlagSet:     s,
		Subcommands: commands(),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, k := range r.Subcommands {
		k.FlagSet.SetOutput(w)
	}
	e := r.Parse(arguments)
	if errors.Is(e, flag.ErrHelp) {
		return 0
	}
	if e != nil {
		_, _ = fmt.Fprintln(w, e)
		return 2
	}
	e = r.Run(c)
	if errors.Is(e, flag.ErrHelp) {
		return 2
	}
	if e != nil {
		_, _ = fmt.Fprintln(w, e)
		return 1
	}
	return 0
}

// serve runs an HTTP server on a TCP address until c ends. It logs the
// address, which names the port when the one asked for was 0.
func serve(c context.Context, name, address string, h http.Handler) error {
	l, e := net.Listen("tcp", address)
	if e != nil {
		return e
	}
	log.WithField("address", l.Addr().String()).Info(name + ": listening")
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	d := make(chan error, 1)
	f := context.AfterFunc(c, func() {
		o, g := context.WithTimeout(context.WithoutCancel(c), shutdownTimeout)
		defer g()
		d <- s.Shutdown(o)
	})
	defer f()
	e = s.Serve(l)
	if !errors.Is(e, http.ErrServerClosed) {
		return e
	}
	return <-d
}
