package conf_test

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/peterbourgon/ff/v3"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/conf"
)

func faultPlaces(err error) []string {
	var l trail.Errors
	_ = errors.As(err, &l)
	var p []string
	for _, f := range l {
		p = append(p, f.Place())
	}
	slices.Sort(p)
	return p
}

// Guards against a process that starts with only some of its settings valid, and
// against a check that reports only the first invalid one.
func TestAllFaultsAreReported(t *testing.T) {
	f := flag.NewFlagSet("entry", flag.ContinueOnError)
	s := conf.New(f, "entry")
	e := ff.Parse(f, []string{"-peer-address", "localhost:1", "-copies", "3", "-drain-delay", "120s", "-log-level", "loud"})
	if e != nil {
		t.Fatal(e)
	}
	w := []string{"admin-address", "callers-file", "copies", "data-centre", "drain-delay", "http-address", "log-level", "member-id", "operator-key", "peer-address", "platform-url"}
	if d := cmp.Diff(w, faultPlaces(s.Check())); d != "" {
		t.Error(d)
	}
}

// Guards against a settings file whose misspelt keys are ignored: the default
// would be used unnoticed.
func TestUnknownKeysAreRejected(t *testing.T) {
	p := filepath.Join(t.TempDir(), "settings.json")
	e := os.WriteFile(p, []byte(`{"member-id":"entry-1","data-center":"regina","copies":"many","peers":["a"]}`), 0o600)
	if e != nil {
		t.Fatal(e)
	}
	f := flag.NewFlagSet("entry", flag.ContinueOnError)
	s := conf.New(f, "entry")
	f.String("config", "", "")
	e = ff.Parse(f, []string{"-config", p}, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(conf.ParseFile))
	if d := cmp.Diff([]string{"copies", "data-center", "peers"}, faultPlaces(e)); d != "" {
		t.Error(d, e)
	}
	if d := cmp.Diff("entry-1", s.MemberID()); d != "" {
		t.Error(d)
	}
}
