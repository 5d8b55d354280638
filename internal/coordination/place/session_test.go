package place_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/place"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

var update = flag.Bool("update", false, "rewrite the golden sessions")

// Guards against unintended changes of the decisions. Each session in testdata
// covers the rule that its comment states. Its file "events" has one event per
// line: the time in milliseconds, the event, its subject, and its arguments,
// which are numbers or a message in JSON. Its file "decisions" repeats each
// event, followed by the resulting decisions. The file "policy", if there is
// one, names a policy other than "fair".
func TestDecisionsMatchGoldenSessions(t *testing.T) {
	l, e := filepath.Glob("testdata/*.txtar")
	if e != nil {
		t.Fatal(e)
	}
	for _, f := range l {
		t.Run(filepath.Base(f), func(t *testing.T) { checkSession(t, f) })
	}
}

func checkSession(t *testing.T, file string) {
	a, e := txtar.ParseFile(file)
	if e != nil {
		t.Fatal(e)
	}
	n := policy.Fair
	if w := strings.TrimSpace(string(a.Files[0].Data)); a.Files[0].Name == "policy" {
		n = w
		a.Files = append(a.Files[:0:0], a.Files[1:]...)
	}
	y, e := policy.New(n)
	if e != nil {
		t.Fatal(e)
	}
	p := place.New(y, "p")
	var b strings.Builder
	for _, s := range strings.Split(strings.TrimSpace(string(a.Files[0].Data)), "\n") {
		fmt.Fprintln(&b, s)
		for _, d := range applyEvent(t, p, s) {
			fmt.Fprintln(&b, "  "+d.String())
		}
	}
	if *update {
		a, _ = txtar.ParseFile(file)
		a.Files[len(a.Files)-1].Data = []byte(b.String())
		e = os.WriteFile(file, txtar.Format(a), 0o644)
		if e != nil {
			t.Fatal(e)
		}
		return
	}
	if d := cmp.Diff(string(a.Files[1].Data), b.String()); d != "" {
		t.Error(d)
	}
}

// applyEvent applies the event on one line of a session and returns the
// decisions.
func applyEvent(t *testing.T, placer *place.Placer, line string) []decide.Decision {
	t.Helper()
	w := strings.SplitN(line, " ", 4)
	w = append(w, "", "")
	n := time.UnixMilli(parseNumber(t, w[0]))
	switch w[1] {
	case "configured":
		return placer.ServicesConfigured(n, parseMessage(t, w[2], &wire.Text{}))
	case "host":
		h := parseMessage(t, w[3], &wire.Host{})
		h.SetName(w[2])
		if h.GetAddress() == "" {
			h.SetAddress(w[2] + ":1")
		}
		return placer.HostUpdated(n, h)
	case "released":
		return placer.HostReleased(n, w[2])
	case "gone":
		return placer.HostRemoved(n, w[2])
	case "load":
		f := strings.Fields(w[3])
		return placer.LoadReported(n, w[2], int(parseNumber(t, f[0])), int(parseNumber(t, f[1])), int(parseNumber(t, f[2])))
	case "alive":
		return placer.ServerAlive(n, w[2])
	case "arrived":
		r := parseMessage(t, w[3], &wire.Call{})
		r.SetService("lm")
		return placer.CallArrived(n, uint64(parseNumber(t, w[2])), r)
	case "given-up":
		return placer.CallAbandoned(n, uint64(parseNumber(t, w[2])))
	case "seen":
		f := append(strings.Fields(w[3]), w[2]+":1")
		return placer.ProcessSeen(n, w[2], f[1], parseNumber(t, f[0]))
	case "started":
		return placer.AttemptStarted(n, w[2])
	case "identified":
		return placer.AttemptIdentified(n, w[2], parseNumber(t, w[3]), false)
	case "unidentified":
		return placer.AttemptIdentified(n, w[2], 0, true)
	case "first":
		return placer.AnswerStarted(n, w[2])
	case "completed":
		return placer.AttemptCompleted(n, w[2], 1)
	case "refused":
		return placer.ConnectionRefused(n, w[2])
	case "server-draining":
		return placer.ServerDraining(n, w[2])
	case "failed":
		v, c, _ := strings.Cut(w[3], " ")
		return placer.AttemptFailed(n, w[2], trail.ParseVerdict(v), c)
	case "crashed":
		return placer.ServerCrashed(n, w[2])
	case "crashes":
		return placer.CrashesReported(n, []*wire.Crash{parseMessage(t, w[2], &wire.Crash{})})
	case "drain":
		return placer.Drain(n)
	case "tick":
		return placer.Tick(n)
	}
	t.Fatalf("unknown event %q", w[1])
	return nil
}

func parseMessage[M proto.Message](t *testing.T, text string, message M) M {
	t.Helper()
	e := protojson.Unmarshal([]byte(text), message)
	if e != nil {
		t.Fatalf("%s: %v", text, e)
	}
	return message
}

func parseNumber(t *testing.T, text string) int64 {
	t.Helper()
	n, e := strconv.ParseInt(text, 10, 64)
	if e != nil {
		t.Fatal(e)
	}
	return n
}
