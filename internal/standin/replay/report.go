package replay

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// outcomeJSON is the JSON form of an outcome. Times are in milliseconds.
type outcomeJSON struct {
	Deployment string       `json:"deployment"`
	Trace      string       `json:"trace"`
	Scenario   string       `json:"scenario"`
	Policy     string       `json:"policy"`
	Figures    []figureJSON `json:"figures"`
	Targets    []targetJSON `json:"targets"`
}

type figureJSON struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

type targetJSON struct {
	Name string `json:"name"`
	// Null if the run gave no value.
	Value *float64 `json:"value"`
	Limit float64  `json:"limit"`
	Met   bool     `json:"met"`
}

func (o *outcome) toJSON() outcomeJSON {
	f := outcomeJSON{Deployment: o.deployment, Trace: o.trace, Scenario: o.scenario, Policy: o.policy, Figures: o.figures()}
	for _, t := range o.targets() {
		x := targetJSON{Name: t.name, Limit: t.limit, Met: t.met()}
		if !math.IsNaN(t.value) {
			x.Value = &t.value
		}
		f.Targets = append(f.Targets, x)
	}
	return f
}

// figures returns the figures that the report lists besides the targets.
func (o *outcome) figures() []figureJSON {
	w, n := o.with, o.without
	if o.scenario == scenarioSmallCaller {
		return []figureJSON{
			{"small callers answered, without burst", float64(len(n.smallCallerAnswer))},
			{"small callers answered", float64(len(w.smallCallerAnswer))},
			{"first token, without burst, ms", meanMS(n.smallCallerFirstToken)},
			{"first token, ms", meanMS(w.smallCallerFirstToken)},
			{"answer, without burst, ms", meanMS(n.smallCallerAnswer)},
			{"answer, ms", meanMS(w.smallCallerAnswer)},
		}
	}
	l := []figureJSON{
		{"online requests", float64(w.requests)},
		{"answered share", ratio(float64(w.answered), float64(w.requests))},
		{"first token p50 without batch, ms", n.quantile(50)},
		{"first token p50, ms", w.quantile(50)},
		{"first token p99 without batch, ms", n.quantile(99)},
		{"first token p99, ms", w.quantile(99)},
		{"batch items a second", w.itemsPerSecond()},
		{"batch share of idle capacity", w.idleShare()},
		{"batch attempts per item", ratio(float64(w.batchAttempts), float64(w.batchItems))},
		{"batch items past their deadline", float64(w.missedItems)},
		{"batch jobs past their deadline", float64(w.missedJobs)},
		{"goodput, online tokens a second", w.goodput()},
		{"attempts per online request", w.attemptsPerRequest()},
		{"prefix hits without batch", ratio(float64(n.hits), float64(n.lookups))},
		{"prefix hits", ratio(float64(w.hits), float64(w.lookups))},
		{"prefix hits with fixed runners", ratio(float64(w.fixedHits), float64(w.lookups))},
		{"peak load per runner / mean", w.peakLoad()},
	}
	if o.capacity > 0 {
		l = append(l, figureJSON{"goodput at capacity", o.capacity})
	}
	return l
}

func (s *Replay) write(writer io.Writer, outcomes []*outcome) error {
	if s.json {
		f := []outcomeJSON{}
		for _, o := range outcomes {
			f = append(f, o.toJSON())
		}
		n := json.NewEncoder(writer)
		n.SetIndent("", "  ")
		return n.Encode(f)
	}
	// Group by deployment, so that a table shows the policies side by side.
	slices.SortStableFunc(outcomes, func(a, b *outcome) int { return cmp.Compare(a.deployment, b.deployment) })
	t := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	for len(outcomes) > 0 {
		var g, n []*outcome
		for _, o := range outcomes {
			if o.deployment == outcomes[0].deployment && o.scenario == outcomes[0].scenario {
				g = append(g, o)
			} else {
				n = append(n, o)
			}
		}
		outcomes = n
		writeTable(t, g)
	}
	return t.Flush()
}

// writeTable writes one scenario with a column for each policy. Write errors
// are ignored here because the tabwriter reports them from Flush.
func writeTable(writer io.Writer, outcomes []*outcome) {
	h := []string{outcomes[0].deployment + " " + outcomes[0].scenario}
	for _, o := range outcomes {
		h = append(h, o.policy)
	}
	writeRow(writer, h...)
	for i, f := range outcomes[0].figures() {
		c := []string{f.Name}
		for _, o := range outcomes {
			c = append(c, formatNumber(o.figures()[i].Value))
		}
		writeRow(writer, c...)
	}
	for i, t := range outcomes[0].targets() {
		c := []string{"target: " + t.name + formatLimit(t)}
		for _, o := range outcomes {
			x := o.targets()[i]
			c = append(c, fmt.Sprintf("%s %s", formatNumber(x.value), x.verdict()))
		}
		writeRow(writer, c...)
	}
	writeRow(writer)
}

func formatLimit(target statedTarget) string {
	if target.minimum {
		return " >= " + formatNumber(target.limit)
	}
	return " <= " + formatNumber(target.limit)
}

func formatNumber(value float64) string {
	switch {
	case math.IsNaN(value):
		return "-"
	case value == math.Trunc(value):
		return fmt.Sprintf("%.0f", value)
	case math.Abs(value) >= 20:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.3f", value)
}

func writeRow(writer io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(writer, strings.Join(cells, "\t"))
}

// curveJSON is the JSON form of a curvePoint.
type curveJSON struct {
	Deployment string  `json:"deployment"`
	BatchShare int     `json:"batch-share"`
	IdleShare  float64 `json:"idle-share"`
	Items      float64 `json:"items-per-second"`
	P50        float64 `json:"first-token-p50-ms"`
	P99        float64 `json:"first-token-p99-ms"`
	// p99 with batch work divided by p99 without.
	Ratio float64 `json:"first-token-p99-ratio"`
	// Dispatches per item.
	Attempts float64 `json:"batch-attempts-per-item"`
	Missed   int     `json:"items-past-deadline"`
}

func (s *Replay) writeCurve(writer io.Writer, points []curvePoint) error {
	f := []curveJSON{}
	for _, p := range points {
		x := p.outcome.with
		f = append(f, curveJSON{
			Deployment: p.outcome.deployment, BatchShare: p.batchShare, IdleShare: x.idleShare(), Items: x.itemsPerSecond(),
			P50: x.quantile(50), P99: x.quantile(99), Ratio: ratio(x.quantile(99), p.outcome.without.quantile(99)),
			Attempts: ratio(float64(x.batchAttempts), float64(x.batchItems)), Missed: x.missedItems,
		})
	}
	if s.json {
		n := json.NewEncoder(writer)
		n.SetIndent("", "  ")
		return n.Encode(f)
	}
	t := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	writeRow(t, "deployment", "batch-share", "share of idle", "items/s", "p50 ms", "p99 ms", "p99 / without", "attempts/item", "items late")
	for _, p := range f {
		writeRow(t, p.Deployment, fmt.Sprint(p.BatchShare), formatNumber(p.IdleShare), formatNumber(p.Items), formatNumber(p.P50), formatNumber(p.P99),
			formatNumber(p.Ratio), formatNumber(p.Attempts), fmt.Sprint(p.Missed))
	}
	return t.Flush()
}
