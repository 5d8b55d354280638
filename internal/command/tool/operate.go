package tool

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bulrushtrail.example/trail/internal/command/usage"
	"bulrushtrail.example/trail/internal/protocol/oapi"
)

// The program's version, set by the linker for releases.
var programVersion = "devel"

const commandTimeout = 15 * time.Second

// operatorClient holds the flags and outputs that all operator commands share.
type operatorClient struct {
	stdout, stderr        io.Writer
	entryURL, operatorKey string
}

// CallerKey returns an empty key, since operator calls do not need one.
func (o *operatorClient) CallerKey(context.Context, oapi.OperationName) (oapi.CallerKey, error) {
	return oapi.CallerKey{}, nil
}

func (o *operatorClient) OperatorKey(context.Context, oapi.OperationName) (oapi.OperatorKey, error) {
	return oapi.OperatorKey{APIKey: o.operatorKey}, nil
}

func (o *operatorClient) newClient() (*oapi.Client, error) {
	return oapi.NewClient(o.entryURL, o, oapi.WithClient(&http.Client{Timeout: commandTimeout}))
}

func operatorCommands(stdout, stderr io.Writer) []*ffcli.Command {
	o := &operatorClient{stdout: stdout, stderr: stderr}
	return []*ffcli.Command{
		o.apply(),
		o.check(),
		o.newCommand("get", "", "print the services configuration in force", 0, o.get),
		o.newCommand("status", "", "show members, backend servers and load", 0, o.status),
		o.newCommand("jobs", "", "list the batch jobs", 0, o.jobs),
		o.newCommand("cancel", "<job>", "cancel a batch job", 1, o.cancel),
		o.newCommand("drain", "<member>", "shut a process down gracefully", 1, o.drain),
		{
			Name:       "version",
			ShortUsage: "bulrushtrail version",
			ShortHelp:  "print the program's version",
			Exec: func(context.Context, []string) error {
				_, e := fmt.Fprintln(stdout, "bulrushtrail", programVersion)
				return e
			},
		},
	}
}

func (o *operatorClient) newCommand(name, argumentUsage, help string, argumentCount int, run func(ctx context.Context, client *oapi.Client, arguments []string) error) *ffcli.Command {
	f := flag.NewFlagSet("bulrushtrail "+name, flag.ContinueOnError)
	f.SetOutput(o.stderr)
	f.StringVar(&o.entryURL, "entry", "http://127.0.0.1:8080", "URL of an entry")
	f.StringVar(&o.operatorKey, "operator-key", "", "key of the operator API; preferably set by environment variable")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bulrushtrail " + name + " [flags] " + argumentUsage,
		ShortHelp:  help,
		FlagSet:    f,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != argumentCount {
				return usage.New(errors.Newf("%s takes %d arguments, not %d", name, argumentCount, len(arguments)))
			}
			k, e := o.newClient()
			if e != nil {
				return usage.New(e)
			}
			return refusalError(run(ctx, k, arguments))
		},
	}
}

// refusalError converts an error response of the API into an error with its
// message, code and verdict. Other errors are returned unchanged.
func refusalError(err error) error {
	var r *oapi.ErrorResponseStatusCodeWithHeaders
	if !errors.As(err, &r) {
		return err
	}
	b := r.Response.Error
	return errors.Newf("%s (%s, verdict %s)", b.Message, b.Code, b.Verdict)
}

func (o *operatorClient) apply() *ffcli.Command {
	var p string
	var v int64
	k := o.newCommand("apply", "", "apply a services configuration", 0, func(ctx context.Context, client *oapi.Client, _ []string) error {
		b, e := os.ReadFile(p)
		if e != nil {
			return usage.New(e)
		}
		if v < 0 {
			g, e := client.GetConfig(ctx)
			if e != nil {
				return e
			}
			v = g.Version
		}
		r, e := client.PutConfig(ctx, &oapi.Config{Version: v, Text: oapi.RawJSON(b)})
		if e != nil {
			return e
		}
		switch r := r.(type) {
		case *oapi.Config:
			_, e = fmt.Fprintf(o.stdout, "accepted as version %d\n", r.Version)
			return e
		case *oapi.ValidationErrors:
			return o.printValidationErrors(r)
		case *oapi.Conflict:
			_, _ = fmt.Fprintf(o.stdout, "yours, made from version %d:\n%s\ncurrent, version %d:\n%s\n", r.Yours.Version, r.Yours.Text, r.Current.Version, r.Current.Text)
			return errors.Newf("%s (%s)", r.Error.Message, r.Error.Code)
		}
		return errors.Newf("unexpected answer %T", r)
	})
	k.FlagSet.StringVar(&p, "f", "services.json", "services configuration file")
	k.FlagSet.Int64Var(&v, "from", -1, "version that the configuration is based on; -1 for the current one")
	return k
}

func (o *operatorClient) check() *ffcli.Command {
	var p string
	k := o.newCommand("check", "", "check a services configuration without applying it", 0, func(ctx context.Context, client *oapi.Client, _ []string) error {
		b, e := os.ReadFile(p)
		if e != nil {
			return usage.New(e)
		}
		r, e := client.CheckConfig(ctx, oapi.RawJSON(b))
		if e != nil {
			return e
		}
		if len(r.Faults) > 0 {
			return o.printValidationErrors(r)
		}
		_, e = fmt.Fprintln(o.stdout, "no faults")
		return e
	})
	k.FlagSet.StringVar(&p, "f", "services.json", "services configuration file")
	return k
}

func (o *operatorClient) printValidationErrors(faults *oapi.ValidationErrors) error {
	for _, f := range faults.Faults {
		_, _ = fmt.Fprintf(o.stdout, "%s: %s\n", f.Place, f.Message)
	}
	return errors.Newf("configuration has %d faults; nothing was changed", len(faults.Faults))
}

func (o *operatorClient) get(ctx context.Context, client *oapi.Client, _ []string) error {
	g, e := client.GetConfig(ctx)
	if e != nil {
		return e
	}
	_, _ = fmt.Fprintf(o.stderr, "version %d\n", g.Version)
	return o.printIndented(g.Text)
}

func (o *operatorClient) status(ctx context.Context, client *oapi.Client, _ []string) error {
	s, e := client.GetStatus(ctx)
	if e != nil {
		return e
	}
	b, e := s.MarshalJSON()
	if e != nil {
		return e
	}
	return o.printIndented(b)
}

func (o *operatorClient) printIndented(text []byte) error {
	var d any
	e := json.Unmarshal(text, &d)
	if e != nil {
		return e
	}
	text, e = json.MarshalIndent(d, "", "  ")
	if e != nil {
		return e
	}
	_, e = fmt.Fprintln(o.stdout, string(text))
	return e
}

func (o *operatorClient) jobs(ctx context.Context, client *oapi.Client, _ []string) error {
	l, e := client.ListJobs(ctx)
	if e != nil {
		return e
	}
	w := tabwriter.NewWriter(o.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "JOB\tSTATE\tDONE\tFAILED\tITEMS\tDUE")
	for _, j := range l.Data {
		n := j.RequestCounts
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Status, n.Completed, n.Failed, n.Total, time.Unix(j.ExpiresAt, 0).UTC().Format(time.RFC3339))
	}
	return w.Flush()
}

func (o *operatorClient) cancel(ctx context.Context, client *oapi.Client, arguments []string) error {
	j, e := client.CancelJob(ctx, oapi.CancelJobParams{BatchID: arguments[0]})
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(o.stdout, "%s is %s\n", j.ID, j.Status)
	return e
}

func (o *operatorClient) drain(ctx context.Context, client *oapi.Client, arguments []string) error {
	_, e := client.DrainMember(ctx, oapi.DrainMemberParams{MemberID: arguments[0]})
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(o.stdout, "%s is shutting down\n", arguments[0])
	return e
}
