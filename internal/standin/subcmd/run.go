package subcmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// commands returns the subcommands.
func commands(out io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		platformCommand(out),
		engineCommand(out),
		plainCommand(out),
		loadCommand(out),
		replayCommand(out),
	}
}

// Run runs a command line without the program name and returns the exit code: 0
// for success, 1 for a failure, 2 for an invalid command line. Command output is
// written to out; logs, as JSON lines, and usage texts to errOut. A server stops
// when ctx is done.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	log.SetHandler(json.New(errOut))
	s := flag.NewFlagSet("standin", flag.ContinueOnError)
	s.SetOutput(errOut)
	r := &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <command> [flags]",
		FlagSet:     s,
		Subcommands: commands(out),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, k := range r.Subcommands {
		k.FlagSet.SetOutput(errOut)
	}
	e := r.Parse(arguments)
	if errors.Is(e, flag.ErrHelp) {
		return 0
	}
	if e != nil {
		_, _ = fmt.Fprintln(errOut, e)
		return 2
	}
	e = r.Run(ctx)
	if errors.Is(e, flag.ErrHelp) {
		return 2
	}
	if e != nil {
		_, _ = fmt.Fprintln(errOut, e)
		return 1
	}
	return 0
}
