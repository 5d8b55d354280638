package subcmd

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/coordination/policy"
	replays "bulrushtrail.example/trail/internal/standin/replay"
)

const replayHelp = `Replays traces through the decision module of a scheduler and a model of its
runners, with each policy, and reports batch throughput, online latency and the
stated targets, each as met or by how much it is missed.

Arguments are trace files in the format of the load command. Without one, the
generated traces of both deployments are replayed.

  standin replay
  standin replay -policy fair -seed 7 -json
  standin replay -curve
  standin replay day.jsonl`

// replayFlags are the flags of the replay command.
type replayFlags struct {
	policy      string
	scenario    string
	seed        uint64
	length      time.Duration
	batchShare  int
	cache       int
	curve, json bool
	// Of batch items.
	prefix, stream bool
}

// replay is the command that measures policies on traces.
func replay(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("replay", flag.ContinueOnError)
	s := &replayFlags{}
	f.StringVar(&s.policy, "policy", "all", "policy to measure: fair, round-robin, least-outstanding, or all")
	f.StringVar(&s.scenario, "scenario", "", "run only this one: day, runner-lost, half-lost, overload or small-caller")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the generated traces")
	f.DurationVar(&s.length, "length", 2*time.Minute, "length of the generated traces, at least 20s")
	f.IntVar(&s.batchShare, "batch-share", -1, "batch share in place of that of the deployment, 0 to 100")
	f.IntVar(&s.cache, "cache", 16<<10, "tokens in the prefix cache of a runner")
	f.BoolVar(&s.prefix, "batch-prefix", false, "let batch items carry the hash of their prefix, which jobs don't")
	f.BoolVar(&s.stream, "batch-stream", true, "let batch items be streams that resume after a preemption, as jobs send them")
	f.BoolVar(&s.curve, "curve", false, "measure the day with batch shares from 0 to 100 instead")
	f.BoolVar(&s.json, "json", false, "print the report as JSON")
	return &ffcli.Command{
		Name: "replay", ShortUsage: "standin replay [flags] [trace...]", ShortHelp: "measure the policies on recorded traces",
		LongHelp: replayHelp, FlagSet: f,
		Exec: func(_ context.Context, files []string) error { return s.run(files, out) },
	}
}

func (s *replayFlags) run(files []string, out io.Writer) error {
	if s.batchShare < -1 || s.batchShare > 100 {
		return errors.Newf("batch share %d is not from 0 to 100", s.batchShare)
	}
	if s.cache < 1 {
		return errors.Newf("cache of %d tokens is empty", s.cache)
	}
	l := []string{s.policy}
	if s.policy == "all" {
		l = []string{policy.RoundRobin, policy.LeastOutstanding, policy.Fair}
	}
	r := replays.New(
		replays.Policies(l...), replays.Generated(s.seed, s.length), replays.BatchShare(s.batchShare),
		replays.BatchItems(s.prefix, s.stream), replays.CacheTokens(s.cache), replays.JSON(s.json),
	)
	if s.scenario != "" {
		replays.Scenarios(s.scenario)(r)
	}
	switch {
	case s.curve:
		return r.RunBatchShareCurve(out)
	case len(files) == 0:
		return r.RunGenerated(out)
	}
	for _, n := range files {
		e := replayFile(r, n, out)
		if e != nil {
			return e
		}
	}
	return nil
}

func replayFile(r *replays.Replay, name string, out io.Writer) error {
	f, e := os.Open(name)
	if e != nil {
		return e
	}
	defer f.Close()
	return r.RunTrace(out, name, f)
}
