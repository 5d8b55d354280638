package subcmd

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	modeleng "bulrushtrail.example/trail/internal/standin/engine"
)

const (
	// Lets the resets of a crash go out before the process ends.
	crashPause  = 100 * time.Millisecond
	crashStatus = 3
)

const engineHelp = `Runs a model engine stand-in with an OpenAI-compatible API:

  POST /v1/chat/completions   whole or as an event stream
  GET  /v1/models, /health, /metrics, /cache-events?after=N
  POST /v1/load_lora_adapter, /orders/{order}

The answers are made-up text that depends on the messages only. The first line
of the output is "listening on ADDRESS"; port 0 picks a free port.

Tests use the control paths:

  GET  /control/runs, /control/orders   what ran, and which orders took effect
  POST /control/faults                  a JSON object with any of
    {"crash": true}               reset all connections at once
    {"crash-on-text": "poison"}   crash when such a prompt runs; "" ends it
    {"crash-mode": "exit"}        a crash ends the process; "refuse" goes on
                                  resetting connections
    {"restart-after-ms": 2000}    end of a crash in the mode "refuse"
    {"restart": true}             end it now
    {"silence": true}             the connections that are open stop for good
    {"drain": true}               answer new work with 503 and Draining: true
    {"slow": 3.5}                 factor on all times`

// engine is the command that runs a model engine stand-in.
func engine(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("engine", flag.ContinueOnError)
	a := f.String("address", "127.0.0.1:0", "IP and port to listen on")
	m := f.String("model", "model", "name of the model")
	n := f.Int("slots", 16, "requests that run at the same time")
	q := f.Int("queue-length", 4096, "requests that wait; more get 429")
	t := f.Duration("token-time", 20*time.Millisecond, "time of a step, in which every running request gets a token")
	p := f.Duration("token-time-per-request", 200*time.Microsecond, "increase of a step for each running request")
	r := f.Duration("prompt-token-time", 250*time.Microsecond, "time for each prompt token that is not cached")
	b := f.Int("cache-blocks", 4096, "size of the prefix cache, in blocks of 16 tokens")
	l := f.Duration("load-lag", time.Second, "age of the load that /metrics reports")
	v := f.Duration("event-lag", 500*time.Millisecond, "age at which a cache event is shown")
	g := f.Int64("event-gap", 50, "one cache event in so many is never shown; 0 shows all")
	k := f.Bool("checks-fencing", false, "refuse orders with an old fencing token")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "standin engine [flags]", ShortHelp: "run a model engine stand-in",
		LongHelp: engineHelp, FlagSet: f,
		Exec: func(c context.Context, _ []string) error {
			x := modeleng.New(
				c, modeleng.Model(*m), modeleng.Slots(*n, *q), modeleng.Timing(*t, *p, *r), modeleng.CacheBlocks(*b),
				modeleng.ReportLag(*l, *v, *g), modeleng.ChecksFencing(*k), modeleng.OnExit(exitAfterCrash),
			)
			return serveHTTP(c, out, *a, &http.Server{Handler: x, ConnContext: x.ConnContext})
		},
	}
}

func exitAfterCrash() {
	time.Sleep(crashPause)
	os.Exit(crashStatus)
}
