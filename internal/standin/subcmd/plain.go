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
    {"refuse": 1}             number of requests that get 503 and do not run
  GET  /control/extra    the faults below, and the answers too many by kind
  POST /control/extra    a JSON object, which replaces all of these faults:
    {"kinds": ["refusal", "cut"]}   copies of earlier answers of the connection,
                              written one after the other: refusal, failure,
                              success, cut (half of a success), unnamed (a
                              refusal without its id)
    {"place": "due"}          before the next answer; "joined" in one segment with
                              it; "after" right after an answer
    {"every": 2}              at every second request of a connection
    {"split": true}           byte by byte
    {"ids": "named"}          answers name their X-Request-Id; "omitted" none does
    {"refuse-every": 5}       every fifth request gets 503 and does not run
    {"fail-every": 7}         every seventh request runs and gets 500`

// plainCommand returns the command that runs a plain service stand-in.
func plainCommand(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("plain", flag.ContinueOnError)
	a := f.String("address", "127.0.0.1:0", "IP and port to listen on")
	r := f.String("runs-file", "", "file that keeps the runs by Idempotency-Key over restarts")
	return &ffcli.Command{
		Name: "plain", ShortUsage: "standin plain [flags]", ShortHelp: "run a plain service stand-in",
		LongHelp: plainHelp, FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			s := plain.New()
			if *r != "" {
				e := s.KeepRuns(*r)
				if e != nil {
					return e
				}
			}
			return serveBackend(ctx, out, *a, &http.Server{Handler: s})
		},
	}
}
