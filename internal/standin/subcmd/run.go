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

// commands lists the subcommands, each in a file of its own.
func commands(out io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		platform(out),
		engine(out),
		plain(out),
		load(out),
		replay(out),
	}
}

// Run runs one command line without the program name and returns the exit
// status: 0, 1 for a failure or 2 for a wrong command line. Output of a command goes to out, and logs go to w as
// JSON lines. Cancelling c stops a server.
func Run(c context.Context, arguments []string, out, w io.Writer) int {
	log.SetHandler(json.New(w))
	s := flag.NewFlagSet("standin", flag.ContinueOnError)
	s.SetOutput(w)
	r := &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <command> [flags]",
		FlagSet:     s,
		Subcommands: commands(out),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, k := range r.Subcommands {
		k.FlagSet.SetOutput(w)
	}
	e := r.Parse(arguments)
	if errors.Is(e, flag.ErrHelp) {
		return 0
	}
	if e != nil {
		_, _ = fmt.Fprintln(w, e)
		return 2
	}
	e = r.Run(c)
	if errors.Is(e, flag.ErrHelp) {
		return 2
	}
	if e != nil {
		_, _ = fmt.Fprintln(w, e)
		return 1
	}
	return 0
}
