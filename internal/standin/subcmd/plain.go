package subcmd

import (
	"context"
	"flag"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/standin/plain"
)

const plainHelp = `Runs a plain service stand-in. Every request outside /control/ runs, with any
method and path. The response is JSON with the number of requests that ran, the
method, the path and the SHA-256 of the body. The first line of the output is
"listening on ADDRESS"; port 0 picks a free port.

Tests use the control paths:

  GET  /control/runs     number of runs in total, by Idempotency-Key and by
                         X-Request-Id
  POST /control/faults   a JSON object, which replaces all faults:
    {"delay-ms": 500}         delay before each request runs
    {"close-after-run": 1}    number of requests that run but get no response
    {"close-before-run": 1}   number of connections closed before a request runs
    {"refuse": 1}             number of requests that get 503 and do not run`

// plainCommand returns the command that runs a plain service stand-in.
func plainCommand(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("plain", flag.ContinueOnError)
	a := f.String("address", "127.0.0.1:0", "IP and port to listen on")
	return &ffcli.Command{
		Name: "plain", ShortUsage: "standin plain [flags]", ShortHelp: "run a plain service stand-in",
		LongHelp: plainHelp, FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			return serveHTTP(ctx, out, *a, &http.Server{Handler: plain.New()})
		},
	}
}
