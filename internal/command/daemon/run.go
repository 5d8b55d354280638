package daemon

import (
	"context"
	"flag"
	"io"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/command/lines"
	"bulrushtrail.example/trail/internal/command/usage"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/node"
)

const (
	envPrefix = "BULRUSHTRAIL"
	// Part of the host's memory above which the runtime collects garbage more
	// eagerly.
	memoryShare = 0.7

	metricsPort = "9464"
)

// role is what a process does until c ends.
type role func(c context.Context, p *process) error

// Run runs one command line without the program name and returns the exit
// status: 0 for success, 1 for a failure, 2 for a fault in the command line or
// the settings. Ending c asks the process to shut down gracefully. A value on
// reload says that the settings may have changed.
func Run(c context.Context, arguments []string, reload <-chan struct{}, out, diagnostics io.Writer) int {
	return usage.Exit("bulrushd", root(reload, out, diagnostics).ParseAndRun(c, arguments), diagnostics)
}

func root(reload <-chan struct{}, out, diagnostics io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bulrushd", flag.ContinueOnError)
	f.SetOutput(diagnostics)
	return &ffcli.Command{
		Name:       "bulrushd",
		ShortUsage: "bulrushd <role> [flags]",
		ShortHelp:  "serve online requests and batch jobs on the users' platform",
		LongHelp: "A role runs until SIGTERM and then shuts down gracefully. SIGHUP reads the\n" +
			"settings again and reports their faults. Logs are JSON lines on standard output.",
		FlagSet: f,
		Subcommands: []*ffcli.Command{
			command("front", "route online requests, accept and run batch jobs", front, reload, out, diagnostics),
			command("disk", "answer requests to evacuate a host with a disk", disk, reload, out, diagnostics),
		},
		Exec: func(context.Context, []string) error {
			return usage.New(errors.New("no such role; bulrushd -help lists them"))
		},
	}
}

func command(name, help string, run role, reload <-chan struct{}, out, diagnostics io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bulrushd "+name, flag.ContinueOnError)
	f.SetOutput(diagnostics)
	b := f.String("boot", "", "JSON file of settings")
	v := f.String("log-level", "info", "lowest level of log lines: debug, info, warn or error")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bulrushd " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    f,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(c context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return usage.New(errors.Newf("unexpected argument %q", arguments[0]))
			}
			n, e := node.Load(*b)
			if e != nil {
				return usage.New(e)
			}
			g, e := log.ParseLevel(*v)
			if e != nil {
				return usage.New(errors.Newf("log-level %q is not a level", *v))
			}
			return start(c, name, *b, n, g, run, reload, out)
		},
	}
}

// start runs a role with its logs.
func start(c context.Context, name, path string, n *wire.Node, v log.Level, run role, reload <-chan struct{}, out io.Writer) error {
	w := lines.New(out)
	defer w.Close()
	l := &log.Logger{Handler: json.New(w), Level: v}
	if m := n.GetMemoryMb(); m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * memoryShare))
	}
	p := newProcess(name, n, l.WithFields(log.Fields{"host": n.GetName(), "role": name}))
	p.l.WithFields(log.Fields{"data-centre": n.GetDataCentre(), "incarnation": p.incarnation}).Info("bulrushd: process started")
	go p.reload(c, path, reload)
	b := time.Now()
	e := run(c, p)
	if e != nil {
		p.l.WithError(e).Error("bulrushd: process failed")
		return e
	}
	p.l.WithField("ms", time.Since(b).Milliseconds()).Info("bulrushd: process stopped")
	return nil
}
