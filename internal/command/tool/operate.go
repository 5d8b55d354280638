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

// console is what the operators' commands share.
type console struct {
	out, diagnostics io.Writer
	entry, key       string
}

// CallerKey is not used by operators' calls.
func (o *console) CallerKey(context.Context, oapi.OperationName) (oapi.CallerKey, error) {
	return oapi.CallerKey{}, nil
}

func (o *console) OperatorKey(context.Context, oapi.OperationName) (oapi.OperatorKey, error) {
	return oapi.OperatorKey{APIKey: o.key}, nil
}

func (o *console) client() (*oapi.Client, error) {
	return oapi.NewClient(o.entry, o, oapi.WithClient(&http.Client{Timeout: commandTimeout}))
}

func operators(out, diagnostics io.Writer) []*ffcli.Command {
	o := &console{out: out, diagnostics: diagnostics}
	return []*ffcli.Command{
		o.apply(),
		o.check(),
		o.command("get", "", "print the services text in force", 0, o.get),
		o.command("status", "", "show members, backend servers and load", 0, o.status),
		o.command("jobs", "", "list the batch jobs", 0, o.jobs),
		o.command("cancel", "<job>", "cancel a batch job", 1, o.cancel),
		o.command("drain", "<member>", "shut a process down gracefully", 1, o.drain),
		{
			Name:       "version",
			ShortUsage: "bulrushtrail version",
			ShortHelp:  "print the program's version",
			Exec: func(context.Context, []string) error {
				_, e := fmt.Fprintln(out, "bulrushtrail", programVersion)
				return e
			},
		},
	}
}

func (o *console) command(name, arguments, help string, n int, run func(c context.Context, k *oapi.Client, arguments []string) error) *ffcli.Command {
	f := flag.NewFlagSet("bulrushtrail "+name, flag.ContinueOnError)
	f.SetOutput(o.diagnostics)
	f.StringVar(&o.entry, "entry", "http://127.0.0.1:8080", "URL of an entry")
	f.StringVar(&o.key, "operator-key", "", "key of the operators' API; best set by environment")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bulrushtrail " + name + " [flags] " + arguments,
		ShortHelp:  help,
		FlagSet:    f,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(c context.Context, a []string) error {
			if len(a) != n {
				return usage.New(errors.Newf("%s takes %d arguments, not %d", name, n, len(a)))
			}
			k, e := o.client()
			if e != nil {
				return usage.New(e)
			}
			return explain(run(c, k, a))
		},
	}
}

// explain turns a refusal of the API into its sentence and verdict.
func explain(e error) error {
	var r *oapi.RefusalStatusCodeWithHeaders
	if !errors.As(e, &r) {
		return e
	}
	b := r.Response.Error
	return errors.Newf("%s (%s, verdict %s)", b.Message, b.Code, b.Verdict)
}

func (o *console) apply() *ffcli.Command {
	var p string
	var v int64
	k := o.command("apply", "", "put a services text in force", 0, func(c context.Context, k *oapi.Client, _ []string) error {
		b, e := os.ReadFile(p)
		if e != nil {
			return usage.New(e)
		}
		if v < 0 {
			g, e := k.GetConfig(c)
			if e != nil {
				return e
			}
			v = g.Version
		}
		r, e := k.PutConfig(c, &oapi.Config{Version: v, Text: oapi.Document(b)})
		if e != nil {
			return e
		}
		switch r := r.(type) {
		case *oapi.Config:
			_, e = fmt.Fprintf(o.out, "accepted as version %d\n", r.Version)
			return e
		case *oapi.Faults:
			return o.faults(r)
		case *oapi.Conflict:
			_, _ = fmt.Fprintf(o.out, "yours, made from version %d:\n%s\ncurrent, version %d:\n%s\n", r.Yours.Version, r.Yours.Text, r.Current.Version, r.Current.Text)
			return errors.Newf("%s (%s)", r.Error.Message, r.Error.Code)
		}
		return errors.Newf("unexpected answer %T", r)
	})
	k.FlagSet.StringVar(&p, "f", "services.json", "file with the services text")
	k.FlagSet.Int64Var(&v, "from", -1, "version that the text was made from; -1 takes the current one")
	return k
}

func (o *console) check() *ffcli.Command {
	var p string
	k := o.command("check", "", "check a services text without applying it", 0, func(c context.Context, k *oapi.Client, _ []string) error {
		b, e := os.ReadFile(p)
		if e != nil {
			return usage.New(e)
		}
		r, e := k.CheckConfig(c, oapi.Document(b))
		if e != nil {
			return e
		}
		if len(r.Faults) > 0 {
			return o.faults(r)
		}
		_, e = fmt.Fprintln(o.out, "no faults")
		return e
	})
	k.FlagSet.StringVar(&p, "f", "services.json", "file with the services text")
	return k
}

func (o *console) faults(r *oapi.Faults) error {
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(o.out, "%s: %s\n", f.Place, f.Message)
	}
	return errors.Newf("the text has %d faults; nothing was changed", len(r.Faults))
}

func (o *console) get(c context.Context, k *oapi.Client, _ []string) error {
	g, e := k.GetConfig(c)
	if e != nil {
		return e
	}
	_, _ = fmt.Fprintf(o.diagnostics, "version %d\n", g.Version)
	return o.indented(g.Text)
}

func (o *console) status(c context.Context, k *oapi.Client, _ []string) error {
	s, e := k.GetStatus(c)
	if e != nil {
		return e
	}
	b, e := s.MarshalJSON()
	if e != nil {
		return e
	}
	return o.indented(b)
}

func (o *console) indented(b []byte) error {
	var d any
	e := json.Unmarshal(b, &d)
	if e != nil {
		return e
	}
	b, e = json.MarshalIndent(d, "", "  ")
	if e != nil {
		return e
	}
	_, e = fmt.Fprintln(o.out, string(b))
	return e
}

func (o *console) jobs(c context.Context, k *oapi.Client, _ []string) error {
	l, e := k.ListJobs(c)
	if e != nil {
		return e
	}
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "JOB\tSTATE\tDONE\tFAILED\tITEMS\tDUE")
	for _, j := range l.Data {
		n := j.RequestCounts
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Status, n.Completed, n.Failed, n.Total, time.Unix(j.ExpiresAt, 0).UTC().Format(time.RFC3339))
	}
	return w.Flush()
}

func (o *console) cancel(c context.Context, k *oapi.Client, a []string) error {
	j, e := k.CancelJob(c, oapi.CancelJobParams{BatchID: a[0]})
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(o.out, "%s is %s\n", j.ID, j.Status)
	return e
}

func (o *console) drain(c context.Context, k *oapi.Client, a []string) error {
	_, e := k.DrainMember(c, oapi.DrainMemberParams{MemberID: a[0]})
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(o.out, "%s is shutting down\n", a[0])
	return e
}
