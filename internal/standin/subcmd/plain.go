package subcmd

import (
	"context"
	"flag"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	plainsrv "bulrushtrail.example/trail/internal/standin/plain"
)

const plainHelp = `Runs a plain service stand-in. Every request outside /control/ runs, with any
method and path, and is answered with JSON: the count of requests that ran, the
method, the path and the SHA-256 of the body. The first line of the output is
"listening on ADDRESS"; port 0 picks a free port.

Tests use the control paths:

  GET  /control/runs     counts in total, by Idempotency-Key and X-Request-Id
  POST /control/faults   a JSON object, which replaces all faults:
    {"delay-ms": 500}         pause before each request runs
    {"close-after-run": 1}    so many requests run and get no answer
    {"close-before-run": 1}   so many connections close before a request runs
    {"refuse": 1}             so many requests get 503 and don't run`

// plain is the command that runs a plain service stand-in.
func plain(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("plain", flag.ContinueOnError)
	a := f.String("address", "127.0.0.1:0", "IP and port to listen on")
	return &ffcli.Command{
		Name: "plain", ShortUsage: "standin plain [flags]", ShortHelp: "run a plain service stand-in",
		LongHelp: plainHelp, FlagSet: f,
		Exec: func(c context.Context, _ []string) error {
			return serveHTTP(c, out, *a, &http.Server{Handler: plainsrv.New()})
		},
	}
}
