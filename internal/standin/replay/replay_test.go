package replay_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/replay"
)

const seed = 1

type outcome struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Targets    []struct {
		Name  string   `json:"name"`
		Value *float64 `json:"value"`
		Limit float64  `json:"limit"`
		Met   bool     `json:"met"`
	} `json:"targets"`
}

// knownMisses are the targets that KNOWN-RED.txt lists as missed. They are
// logged but not checked; the command still prints them.
var knownMisses = map[string]bool{
	"online p99 to first token with batch / without": true,
	"prefix hits / with fixed runners":               true,
}

// Guards against a change of the policy or the decision module that misses a
// stated target met before, in any scenario of either deployment. The trace
// lengths are the shortest at which single requests don't decide the figures.
func TestStatedTargets(t *testing.T) {
	l := []struct {
		scenario string
		length   time.Duration
		// Number of targets checked over both deployments.
		want int
	}{
		{"day", time.Minute, 6},
		{"runner-lost", 40 * time.Second, 2},
		{"half-lost", 40 * time.Second, 2},
		{"overload", 20 * time.Second, 2},
		{"small-caller", time.Minute, 4},
	}
	for _, k := range l {
		t.Run(k.scenario, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			var b bytes.Buffer
			e := replay.New(
				replay.Policies("fair"), replay.Scenarios(k.scenario), replay.Generated(seed, k.length), replay.JSON(true),
			).RunGenerated(&b)
			if e != nil {
				t.Fatal(e)
			}
			if d := cmp.Diff(k.want, check(t, b.Bytes())); d != "" {
				t.Error(d)
			}
		})
	}
}

// check returns the number of targets that were checked.
func check(t *testing.T, report []byte) int {
	t.Helper()
	var l []outcome
	e := json.Unmarshal(report, &l)
	if e != nil {
		t.Fatal(e)
	}
	n := 0
	for _, o := range l {
		for _, x := range o.Targets {
			v := math.NaN()
			if x.Value != nil {
				v = *x.Value
			}
			if knownMisses[x.Name] {
				t.Logf("known red: %s: %s: %.3f, limit %.3f, met %t", o.Deployment, x.Name, v, x.Limit, x.Met)
				continue
			}
			n++
			if !x.Met {
				t.Errorf("%s: %s: %.3f, limit %.3f", o.Deployment, x.Name, v, x.Limit)
			}
		}
	}
	return n
}

// Guards against measuring only part of an invalid trace. The error must name
// the trace, and the line if one is at fault.
func TestInvalidTraceRejected(t *testing.T) {
	q := `{"at-ms":%,"caller":"a","kind":"online","service":"asistente-lm"}`
	l := []struct{ name, text, want string }{
		{"order", strings.ReplaceAll(q, "%", "9") + strings.ReplaceAll(q, "%", "8"), "trace x, line 2: time is before that of the previous line"},
		{"syntax", q, "trace x, line 1: invalid character '%' looking for beginning of value"},
		{"short", strings.ReplaceAll(q, "%", "9"), "trace x is 9ms long, less than 20s"},
		{"empty", "", "trace x has no request of a model service"},
	}
	for _, k := range l {
		e := replay.New().RunTrace(&bytes.Buffer{}, "x", strings.NewReader(k.text))
		if d := cmp.Diff(k.want, e.Error()); d != "" {
			t.Errorf("%s: %s", k.name, d)
		}
	}
}
