package tool

import (
	"context"
	"flag"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/command/usage"
	"bulrushtrail.example/trail/internal/state/conf"
)

const (
	envPrefix = "BULRUSHTRAIL"
)

// Run runs one command line without the program name and returns the exit
// status: 0 for success, 1 for a failure, 2 for an invalid command line or
// invalid settings. Cancelling ctx starts the graceful shutdown of a role.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	r := rootCommand(stdout, stderr)
	e := r.Parse(arguments)
	if e != nil {
		return usage.Exit("bulrushtrail", usage.New(e), stderr)
	}
	return usage.Exit("bulrushtrail", r.Run(ctx), stderr)
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bulrushtrail", flag.ContinueOnError)
	f.SetOutput(stderr)
	s := []*ffcli.Command{
		roleCommand("entry", "serve the HTTP API for callers and operators", stderr),
		roleCommand("sched", "schedule calls on backend servers, process claims and run batch jobs", stderr),
		roleCommand("depot", "store bulk data on this host's disk", stderr),
	}
	s = append(s, operatorCommands(stdout, stderr)...)
	return &ffcli.Command{
		Name:       "bulrushtrail",
		ShortUsage: "bulrushtrail <command> [flags]",
		ShortHelp:  "serve online requests and batch jobs from one fleet",
		LongHelp: "The roles entry, sched and depot run until SIGTERM and then shut down gracefully.\n" +
			"All other commands talk to an entry and are for operators.\n" +
			"Each flag can also be set by an environment variable (" + envPrefix + "_MEMBER_ID for\n" +
			"-member-id) and, for the roles, in the JSON file that -config names.",
		FlagSet:     f,
		Subcommands: s,
		Exec: func(context.Context, []string) error {
			return usage.New(errors.New("no such command; bulrushtrail -help lists them"))
		},
	}
}

func roleCommand(name, help string, stderr io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bulrushtrail "+name, flag.ContinueOnError)
	f.SetOutput(stderr)
	f.String("config", "", "JSON settings file; its keys are the names of these flags")
	s := conf.New(f, name)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bulrushtrail " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    f,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix),
			ff.WithConfigFileFlag("config"),
			ff.WithConfigFileParser(conf.ParseFile),
		},
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return usage.New(errors.Newf("unexpected argument %q", arguments[0]))
			}
			e := s.Check()
			if e != nil {
				return usage.New(errors.Newf("invalid settings:\n%v", e))
			}
			return runRole(ctx, s, stderr)
		},
	}
}
