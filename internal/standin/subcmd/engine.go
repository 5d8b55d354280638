package subcmd

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/standin/engine"
)

const (
	// Time for the connection resets of a crash to be sent before the process
	// exits.
	crashDelay    = 100 * time.Millisecond
	crashExitCode = 3
)

const engineHelp = `Runs a model engine stand-in with an OpenAI-compatible API:

  POST /v1/chat/completions   whole or as an event stream
  GET  /v1/models, /health, /metrics, /cache-events?after=N
  POST /v1/load_lora_adapter, /orders/{order}

The answers are synthetic text that depends only on the messages. The first line
of the output is "listening on ADDRESS"; port 0 picks a free port.

Tests use the control paths:

  GET  /control/runs, /control/orders   what ran, and which orders took effect
  POST /control/faults                  a JSON object with any of
    {"crash": true}               reset all connections at once
    {"crash-on-text": "poison"}   crash when a prompt with this text runs; ""
                                  disables this
    {"crash-mode": "exit"}        a crash exits the process; with "refuse" it
                                  keeps resetting connections
    {"restart-after-ms": 2000}    duration of a crash in the mode "refuse"
    {"restart": true}             end the crash now
    {"silence": true}             all open connections stop responding for good
    {"drain": true}               answer new requests with 503 and
                                  Draining: true
    {"slow": 3.5}                 factor by which all times are multiplied
  POST /control/extra                   answers too many, see standin plain -h`

// engineCommand returns the command that runs a model engine stand-in.
func engineCommand(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("engine", flag.ContinueOnError)
	a := f.String("address", "127.0.0.1:0", "IP and port to listen on")
	m := f.String("model", "model", "name of the model")
	n := f.Int("slots", 16, "maximum number of requests that run concurrently")
	q := f.Int("queue-length", 4096, "maximum number of queued requests; further ones get 429")
	t := f.Duration("token-time", 20*time.Millisecond, "duration of a decoding step, which generates a token for each running request")
	p := f.Duration("token-time-per-request", 200*time.Microsecond, "additional duration of a decoding step for each running request")
	r := f.Duration("prompt-token-time", 250*time.Microsecond, "prefill time of each prompt token that is not cached")
	b := f.Int("cache-blocks", 4096, "size of the prefix cache, in blocks of 16 tokens")
	l := f.Duration("load-lag", time.Second, "age of the load that /metrics reports")
	v := f.Duration("event-lag", 500*time.Millisecond, "delay before a cache event is published")
	g := f.Int64("event-gap", 50, "every n-th cache event is lost; 0 loses none")
	k := f.Bool("checks-fencing", false, "reject orders with a stale fencing token")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "standin engine [flags]", ShortHelp: "run a model engine stand-in",
		LongHelp: engineHelp, FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			x := engine.New(
				ctx, engine.Model(*m), engine.Slots(*n, *q), engine.Timing(*t, *p, *r), engine.CacheBlocks(*b),
				engine.ReportLag(*l, *v, *g), engine.ChecksFencing(*k), engine.OnExit(exitAfterCrash),
			)
			return serveBackend(ctx, out, *a, &http.Server{Handler: x, ConnContext: x.ConnContext})
		},
	}
}

func exitAfterCrash() {
	time.Sleep(crashDelay)
	os.Exit(crashExitCode)
}
