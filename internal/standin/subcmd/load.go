package subcmd

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/standin/load"
)

const loadHelp = `Sends a trace of requests to the entries of a deployment and reports the
time to first token, the time between tokens, the total time, the rate of batch
items, and rejected requests by code and verdict.

A trace consists of JSON lines, one for each request, ordered by time:

  {"at-ms":0,"caller":"tienda-001","kind":"online","service":"asistente-lm",
   "prompt-tokens":40,"answer-tokens":32,"stream":true}
  {"at-ms":5,"caller":"tienda-002","kind":"service","service":"pedidos-app",
   "method":"GET","path":"/stock/7"}
  {"at-ms":9,"caller":"supervisor-001","kind":"batch","service":"asistente-lm",
   "items":20,"window":"2h","prompt-tokens":40,"answer-tokens":64}

"prompt" sets the text of the prompt. "prefix" and "prefix-tokens" set a prefix
that requests share. "body", "idempotency-key", "non-idempotent" and
"deadline-ms" apply to calls of services.

Generate a trace, then send it:

  standin load -generate coladores -length 1m -rate 20 > day.jsonl
  standin load -entries 127.0.0.1:8080,127.0.0.1:8081 -trace day.jsonl`

// loadFlags are the flags of the load command.
type loadFlags struct {
	generate                          string
	seed                              uint64
	length                            time.Duration
	rate, speed                       float64
	entries                           string
	trace, keys                       string
	inFlight, resends                 int
	timeout, jobTimeout, pollInterval time.Duration
	json, checkText                   bool
}

// loadCommand returns the command that runs the load generator.
func loadCommand(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	s := &loadFlags{}
	f.StringVar(&s.generate, "generate", "", "write a trace of this deployment and exit: coladores or kowalchuk")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the generated trace; the same seed gives the same trace")
	f.DurationVar(&s.length, "length", time.Minute, "length of the generated trace")
	f.Float64Var(&s.rate, "rate", 10, "average rate of online requests and service calls in the generated trace, per second")
	f.Float64Var(&s.speed, "speed", 1, "factor by which the trace is replayed faster")
	f.StringVar(&s.entries, "entries", "", "addresses of the entries, IP:PORT,IP:PORT...; used in rotation")
	f.StringVar(&s.trace, "trace", "-", "file with the trace; - is the standard input")
	f.StringVar(&s.keys, "keys", "", `file with the callers' keys, {"CALLER":"KEY"}; a caller without one uses its name`)
	f.IntVar(&s.inFlight, "in-flight", 1000, "maximum number of requests in flight, not counting batch jobs")
	f.IntVar(&s.resends, "resends", 0, "maximum number of resends of a request, only when it can't run twice")
	f.DurationVar(&s.timeout, "timeout", 2*time.Minute, "timeout of a request including its resends")
	f.DurationVar(&s.jobTimeout, "job-timeout", time.Hour, "timeout of a batch job")
	f.DurationVar(&s.pollInterval, "poll", time.Second, "interval between polls of a batch job")
	f.BoolVar(&s.json, "json", false, "print the report as JSON")
	f.BoolVar(&s.checkText, "check-text", false, "compare answers with the text that engine stand-ins generate")
	return &ffcli.Command{
		Name: "load", ShortUsage: "standin load [flags]", ShortHelp: "send a trace of requests and report times",
		LongHelp: loadHelp, FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error { return s.run(ctx, os.Stdin, out) },
	}
}

func (s *loadFlags) run(ctx context.Context, in io.Reader, out io.Writer) error {
	if s.generate != "" {
		w := bufio.NewWriter(out)
		e := load.Generate(w, s.generate, s.seed, s.length, s.rate)
		if e != nil {
			return e
		}
		return w.Flush()
	}
	if s.entries == "" || s.speed <= 0 || s.inFlight < 1 || s.resends < 0 || s.pollInterval <= 0 {
		return errors.New("-entries is required, -speed, -in-flight and -poll must be positive, and -resends must not be negative; see -help")
	}
	if s.trace != "-" {
		f, e := os.Open(s.trace)
		if e != nil {
			return e
		}
		defer f.Close()
		in = f
	}
	k, e := readKeys(s.keys)
	if e != nil {
		return e
	}
	t := load.New(
		strings.Split(s.entries, ","), &net.Dialer{}, &log.Logger{Handler: jsonlog.New(os.Stderr), Level: log.InfoLevel},
		load.APIKeys(k), load.MaxInFlight(s.inFlight), load.Timeouts(s.timeout, s.jobTimeout, s.pollInterval),
		load.Speed(s.speed), load.MaxResends(s.resends), load.JSON(s.json), load.CheckText(s.checkText),
	)
	return t.Run(ctx, in, out)
}

func readKeys(path string) (map[string]string, error) {
	if path == "" {
		return map[string]string{}, nil
	}
	b, e := os.ReadFile(path)
	if e != nil {
		return nil, e
	}
	k := map[string]string{}
	return k, errors.Wrapf(json.Unmarshal(b, &k), "keys in %s", path)
}
