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

	loadtool "bulrushtrail.example/trail/internal/standin/load"
)

const loadHelp = `Sends a trace of requests to the entries of a deployment and reports times to
first token, between tokens and in total, batch items a second, and the refusals
by code and verdict.

A trace is JSON lines in order of time, one request each:

  {"at-ms":0,"caller":"tienda-001","kind":"online","service":"asistente-lm",
   "prompt-tokens":40,"answer-tokens":32,"stream":true}
  {"at-ms":5,"caller":"tienda-002","kind":"service","service":"pedidos-app",
   "method":"GET","path":"/stock/7"}
  {"at-ms":9,"caller":"supervisor-001","kind":"batch","service":"asistente-lm",
   "items":20,"window":"2h","prompt-tokens":40,"answer-tokens":64}

"prompt" gives the text itself; "prefix" with "prefix-tokens" gives a beginning
that requests share; "body", "idempotency-key", "non-idempotent" and
"deadline-ms" are for calls of services.

Write a trace, then send it:

  standin load -generate coladores -length 1m -rate 20 > day.jsonl
  standin load -entries 127.0.0.1:8080,127.0.0.1:8081 -trace day.jsonl`

// loadFlags are the flags of the load command.
type loadFlags struct {
	generate           string
	seed               uint64
	length             time.Duration
	rate, speed        float64
	entries            string
	trace, keys        string
	inFlight, resends  int
	timeout, job, poll time.Duration
	json, checkText    bool
}

// load is the command that runs the load tool.
func load(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	s := &loadFlags{}
	f.StringVar(&s.generate, "generate", "", "write a trace of this deployment instead: coladores or kowalchuk")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the generated trace; the same seed gives the same trace")
	f.DurationVar(&s.length, "length", time.Minute, "length of the generated trace")
	f.Float64Var(&s.rate, "rate", 10, "questions and calls a second on average in the generated trace")
	f.Float64Var(&s.speed, "speed", 1, "divides the times of the trace")
	f.StringVar(&s.entries, "entries", "", "addresses of the entries, IP:PORT,IP:PORT...; taken in turn")
	f.StringVar(&s.trace, "trace", "-", "file with the trace; - is the standard input")
	f.StringVar(&s.keys, "keys", "", `file with the callers' keys, {"CALLER":"KEY"}; a caller without one uses its name`)
	f.IntVar(&s.inFlight, "in-flight", 1000, "requests in flight at most, without batch jobs")
	f.IntVar(&s.resends, "resends", 0, "times that a request is sent again, when it can't run twice")
	f.DurationVar(&s.timeout, "timeout", 2*time.Minute, "time for a request with its resends")
	f.DurationVar(&s.job, "job-timeout", time.Hour, "time for a batch job")
	f.DurationVar(&s.poll, "poll", time.Second, "time between questions after a batch job")
	f.BoolVar(&s.json, "json", false, "print the report as JSON")
	f.BoolVar(&s.checkText, "check-text", false, "compare answers with the text that engine stand-ins give")
	return &ffcli.Command{
		Name: "load", ShortUsage: "standin load [flags]", ShortHelp: "send a trace of requests and report times",
		LongHelp: loadHelp, FlagSet: f,
		Exec: func(c context.Context, _ []string) error { return s.run(c, os.Stdin, out) },
	}
}

func (s *loadFlags) run(c context.Context, in io.Reader, out io.Writer) error {
	if s.generate != "" {
		w := bufio.NewWriter(out)
		e := loadtool.Generate(w, s.generate, s.seed, s.length, s.rate)
		if e != nil {
			return e
		}
		return w.Flush()
	}
	if s.entries == "" || s.speed <= 0 || s.inFlight < 1 || s.resends < 0 || s.poll <= 0 {
		return errors.New("give -entries, and -speed, -in-flight and -poll above 0; -help explains them")
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
	t := loadtool.New(
		strings.Split(s.entries, ","), &net.Dialer{}, &log.Logger{Handler: jsonlog.New(os.Stderr), Level: log.InfoLevel},
		loadtool.APIKeys(k), loadtool.MaxInFlight(s.inFlight), loadtool.Timeouts(s.timeout, s.job, s.poll),
		loadtool.Speed(s.speed), loadtool.MaxResends(s.resends), loadtool.JSON(s.json), loadtool.CheckText(s.checkText),
	)
	return t.Run(c, in, out)
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
