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
	"bulrushtrail.example/trail/internal/standin/replay"
)

const replayHelp = `Replays traces with each policy through the decision code of a scheduler and a
simulation of its runners. Reports batch throughput, online latency, and for each
target whether it is met or by how much it is missed.

Arguments are trace files in the format of the load command. By default,
generated traces of both deployments are replayed.

  standin replay
  standin replay -policy fair -seed 7 -json
  standin replay -curve
  standin replay day.jsonl`

// replayFlags are the flags of the replay command.
type replayFlags struct {
	policy                   string
	scenario                 string
	seed                     uint64
	length                   time.Duration
	batchShare               int
	cacheTokens              int
	curve, json              bool
	batchPrefix, batchStream bool
}

// replayCommand returns the command that measures policies on traces.
func replayCommand(out io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("replay", flag.ContinueOnError)
	s := &replayFlags{}
	f.StringVar(&s.policy, "policy", "all", "policy to measure: fair, round-robin, least-outstanding, or all")
	f.StringVar(&s.scenario, "scenario", "", "scenario to run instead of all: day, runner-lost, half-lost, overload or small-caller")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the generated traces")
	f.DurationVar(&s.length, "length", 2*time.Minute, "length of the generated traces, at least 20s")
	f.IntVar(&s.batchShare, "batch-share", -1, "batch share that overrides that of the deployment, 0 to 100; -1 keeps it")
	f.IntVar(&s.cacheTokens, "cache", 16<<10, "size of the prefix cache of a runner, in tokens")
	f.BoolVar(&s.batchPrefix, "batch-prefix", false, "send batch items with the hash of their prefix, unlike real jobs")
	f.BoolVar(&s.batchStream, "batch-stream", true, "send batch items as streams that resume after a preemption, like real jobs")
	f.BoolVar(&s.curve, "curve", false, "measure the scenario day with batch shares from 0 to 100 instead")
	f.BoolVar(&s.json, "json", false, "print the report as JSON")
	return &ffcli.Command{
		Name: "replay", ShortUsage: "standin replay [flags] [trace...]", ShortHelp: "measure the policies on recorded traces",
		LongHelp: replayHelp, FlagSet: f,
		Exec: func(_ context.Context, files []string) error { return s.run(files, out) },
	}
}

func (s *replayFlags) run(files []string, out io.Writer) error {
	if s.batchShare < -1 || s.batchShare > 100 {
		return errors.Newf("batch share %d is not in the range from 0 to 100", s.batchShare)
	}
	if s.cacheTokens < 1 {
		return errors.Newf("cache size of %d tokens is not positive", s.cacheTokens)
	}
	l := []string{s.policy}
	if s.policy == "all" {
		l = []string{policy.RoundRobin, policy.LeastOutstanding, policy.Fair}
	}
	r := replay.New(
		replay.Policies(l...), replay.Generated(s.seed, s.length), replay.BatchShare(s.batchShare),
		replay.BatchItems(s.batchPrefix, s.batchStream), replay.CacheTokens(s.cacheTokens), replay.JSON(s.json),
	)
	if s.scenario != "" {
		replay.Scenarios(s.scenario)(r)
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

func replayFile(tool *replay.Replay, name string, out io.Writer) error {
	f, e := os.Open(name)
	if e != nil {
		return e
	}
	defer f.Close()
	return tool.RunTrace(out, name, f)
}
