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
	// Fraction of the host's memory that is set as the runtime's soft memory
	// limit, near which garbage collection becomes more frequent.
	memoryLimitFraction = 0.7

	metricsPort = "9464"
)

// roleFunc runs a role until ctx is cancelled.
type roleFunc func(ctx context.Context, p *process) error

// Run runs one command line without the program name and returns the exit
// status: 0 for success, 1 for a failure, 2 for an invalid command line or
// invalid settings. Cancelling ctx starts a graceful shutdown. Each value on
// reload makes the process read and check its settings again.
func Run(ctx context.Context, arguments []string, reload <-chan struct{}, stdout, stderr io.Writer) int {
	return usage.Exit("bulrushd", rootCommand(reload, stdout, stderr).ParseAndRun(ctx, arguments), stderr)
}

func rootCommand(reload <-chan struct{}, stdout, stderr io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bulrushd", flag.ContinueOnError)
	f.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "bulrushd",
		ShortUsage: "bulrushd <role> [flags]",
		ShortHelp:  "serve online requests and batch jobs on the users' platform",
		LongHelp: "A role runs until SIGTERM and then shuts down gracefully. SIGHUP reads the\n" +
			"settings again and reports their faults. Logs are JSON lines on standard output.",
		FlagSet: f,
		Subcommands: []*ffcli.Command{
			roleCommand("front", "route online requests, accept and run batch jobs", runFront, reload, stdout, stderr),
			roleCommand("disk", "confirm evacuations of hosts with disks", runDisk, reload, stdout, stderr),
		},
		Exec: func(context.Context, []string) error {
			return usage.New(errors.New("unknown role; bulrushd -help lists the roles"))
		},
	}
}

func roleCommand(name, help string, run roleFunc, reload <-chan struct{}, stdout, stderr io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bulrushd "+name, flag.ContinueOnError)
	f.SetOutput(stderr)
	b := f.String("boot", "", "JSON settings file")
	v := f.String("log-level", "info", "lowest level that is logged: debug, info, warn or error")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bulrushd " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    f,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return usage.New(errors.Newf("unexpected argument %q", arguments[0]))
			}
			n, e := node.Load(*b)
			if e != nil {
				return usage.New(e)
			}
			g, e := log.ParseLevel(*v)
			if e != nil {
				return usage.New(errors.Newf("log-level %q is not debug, info, warn or error", *v))
			}
			return startRole(ctx, name, *b, n, g, run, reload, stdout)
		},
	}
}

// startRole sets up logging and the memory limit, runs the role and logs how it
// ended.
func startRole(ctx context.Context, name, path string, settings *wire.Node, level log.Level, run roleFunc, reload <-chan struct{}, stdout io.Writer) error {
	w := lines.New(stdout)
	defer w.Close()
	l := &log.Logger{Handler: json.New(w), Level: level}
	if m := settings.GetMemoryMb(); m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * memoryLimitFraction))
	}
	p := newProcess(name, settings, l.WithFields(log.Fields{"host": settings.GetName(), "role": name}))
	p.logger.WithFields(log.Fields{"data-centre": settings.GetDataCentre(), "incarnation": p.incarnation}).Info("bulrushd: process started")
	go p.reloadSettings(ctx, path, reload)
	b := time.Now()
	e := run(ctx, p)
	if e != nil {
		p.logger.WithError(e).Error("bulrushd: process failed")
		return e
	}
	p.logger.WithField("ms", time.Since(b).Milliseconds()).Info("bulrushd: process stopped")
	return nil
}
