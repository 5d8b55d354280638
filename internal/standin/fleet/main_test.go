package fleet_test

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"bulrushtrail.example/trail/internal/command/tool"
	"bulrushtrail.example/trail/internal/standin/fleet"
	"bulrushtrail.example/trail/internal/standin/subcmd"
)

// Names the program that this test binary runs as, so that the tests need no
// other binary and the race detector watches every process.
const programVariable = "BULRUSHTRAIL_TEST_PROGRAM"

const (
	examples = "../../../examples/"
	// Enough of a report to name both places.
	raceBytes = 3000
)

func TestMain(m *testing.M) {
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer f()
	switch os.Getenv(programVariable) {
	case "bulrushtrail":
		os.Exit(tool.Run(c, os.Args[1:], os.Stdout, os.Stderr))
	case "standin":
		os.Exit(subcmd.Run(c, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func program(name string) (string, []string) {
	return os.Args[0], []string{programVariable + "=" + name}
}

// start runs a deployment of examples/ and puts its services text in force.
func start(t *testing.T, deployment string) *fleet.Fleet {
	t.Helper()
	return startFiles(t, filepath.Join(examples, deployment, "deployment.json"), filepath.Join(examples, deployment, "services.json"))
}

// startSmallKeyed runs a small deployment whose callers have keys. It has few
// processes, because each of them runs under the race detector.
func startSmallKeyed(t *testing.T) *fleet.Fleet {
	t.Helper()
	return startFiles(t, "testdata/small.json", "testdata/services.json")
}

func startFiles(t *testing.T, deployment, services string) *fleet.Fleet {
	t.Helper()
	x, e := fleet.New(deployment, t.TempDir(), program)
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() {
		x.Close()
		races(t, x)
	})
	e = x.Start(t.Context())
	if e != nil {
		t.Fatal(e)
	}
	operate(t, x, "apply", "-f", services)
	return x
}

// operate runs an operator's command against the first entry.
func operate(t *testing.T, x *fleet.Fleet, name string, arguments ...string) {
	t.Helper()
	a := append([]string{name, "-entry", x.EntryURL(1), "-operator-key", x.OperatorKey()}, arguments...)
	s := tool.Run(t.Context(), a, t.Output(), t.Output())
	if s != 0 {
		t.Fatalf("bulrushtrail %s ended with status %d", name, s)
	}
}

// races fails the test for every process in which the race detector fired.
func races(t *testing.T, x *fleet.Fleet) {
	t.Helper()
	for _, n := range x.Names("") {
		l := x.Log(n)
		i := strings.Index(l, "WARNING: DATA RACE")
		if i >= 0 {
			t.Errorf("%s has a data race:\n%s", n, l[i:min(len(l), i+raceBytes)])
		}
	}
}
