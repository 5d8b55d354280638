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

// outcomeForm is one scenario with one policy in JSON. Times are in
// milliseconds.
type outcomeForm struct {
	Deployment string       `json:"deployment"`
	Trace      string       `json:"trace"`
	Scenario   string       `json:"scenario"`
	Policy     string       `json:"policy"`
	Figures    []figureForm `json:"figures"`
	Targets    []targetForm `json:"targets"`
}

type figureForm struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

type targetForm struct {
	Name string `json:"name"`
	// Null when the run gave none.
	Value *float64 `json:"value"`
	Limit float64  `json:"limit"`
	Met   bool     `json:"met"`
}

func (o *outcome) form() outcomeForm {
	f := outcomeForm{Deployment: o.deployment, Trace: o.trace, Scenario: o.scenario, Policy: o.policy, Figures: o.figures()}
	for _, t := range o.targets() {
		x := targetForm{Name: t.name, Limit: t.limit, Met: t.met()}
		if !math.IsNaN(t.value) {
			x.Value = &t.value
		}
		f.Targets = append(f.Targets, x)
	}
	return f
}

// figures lists what the report names beside the targets.
func (o *outcome) figures() []figureForm {
	w, n := o.with, o.without
	if o.scenario == smallOne {
		return []figureForm{
			{"small callers answered, without burst", float64(len(n.smallDone))},
			{"small callers answered", float64(len(w.smallDone))},
			{"first token, without burst, ms", meanMS(n.smallFirst)},
			{"first token, ms", meanMS(w.smallFirst)},
			{"answer, without burst, ms", meanMS(n.smallDone)},
			{"answer, ms", meanMS(w.smallDone)},
		}
	}
	l := []figureForm{
		{"online requests", float64(w.requests)},
		{"answered share", ratio(float64(w.answered), float64(w.requests))},
		{"first token p50 without batch, ms", n.quantile(50)},
		{"first token p50, ms", w.quantile(50)},
		{"first token p99 without batch, ms", n.quantile(99)},
		{"first token p99, ms", w.quantile(99)},
		{"batch items a second", w.itemsPerSecond()},
		{"batch share of idle capacity", w.idleShare()},
		{"batch attempts per item", ratio(float64(w.batchAttempts), float64(w.items))},
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
		l = append(l, figureForm{"goodput at capacity", o.capacity})
	}
	return l
}

func (s *Replay) write(w io.Writer, l []*outcome) error {
	if s.json {
		f := []outcomeForm{}
		for _, o := range l {
			f = append(f, o.form())
		}
		n := json.NewEncoder(w)
		n.SetIndent("", "  ")
		return n.Encode(f)
	}
	// Policies are side by side.
	slices.SortStableFunc(l, func(a, b *outcome) int { return cmp.Compare(a.deployment, b.deployment) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for len(l) > 0 {
		var g, n []*outcome
		for _, o := range l {
			if o.deployment == l[0].deployment && o.scenario == l[0].scenario {
				g = append(g, o)
			} else {
				n = append(n, o)
			}
		}
		l = n
		table(t, g)
	}
	return t.Flush()
}

// table writes one scenario with a column for each policy. The writer keeps
// its first error for Flush.
func table(w io.Writer, l []*outcome) {
	h := []string{l[0].deployment + " " + l[0].scenario}
	for _, o := range l {
		h = append(h, o.policy)
	}
	row(w, h...)
	for i, f := range l[0].figures() {
		c := []string{f.Name}
		for _, o := range l {
			c = append(c, number(o.figures()[i].Value))
		}
		row(w, c...)
	}
	for i, t := range l[0].targets() {
		c := []string{"target: " + t.name + bound(t)}
		for _, o := range l {
			x := o.targets()[i]
			c = append(c, fmt.Sprintf("%s %s", number(x.value), x.verdict()))
		}
		row(w, c...)
	}
	row(w)
}

func bound(t target) string {
	if t.least {
		return " >= " + number(t.limit)
	}
	return " <= " + number(t.limit)
}

func number(f float64) string {
	switch {
	case math.IsNaN(f):
		return "-"
	case f == math.Trunc(f):
		return fmt.Sprintf("%.0f", f)
	case math.Abs(f) >= 20:
		return fmt.Sprintf("%.1f", f)
	}
	return fmt.Sprintf("%.3f", f)
}

func row(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// curveForm is one point of the curve in JSON.
type curveForm struct {
	Deployment string  `json:"deployment"`
	BatchShare int     `json:"batch-share"`
	IdleShare  float64 `json:"idle-share"`
	Items      float64 `json:"items-per-second"`
	P50        float64 `json:"first-token-p50-ms"`
	P99        float64 `json:"first-token-p99-ms"`
	// p99 with batch work against without.
	Ratio float64 `json:"first-token-p99-ratio"`
	// Dispatches per item.
	Attempts float64 `json:"batch-attempts-per-item"`
	Missed   int     `json:"items-past-deadline"`
}

func (s *Replay) writeCurve(w io.Writer, l []curvePoint) error {
	f := []curveForm{}
	for _, p := range l {
		x := p.o.with
		f = append(f, curveForm{
			Deployment: p.o.deployment, BatchShare: p.batchShare, IdleShare: x.idleShare(), Items: x.itemsPerSecond(),
			P50: x.quantile(50), P99: x.quantile(99), Ratio: ratio(x.quantile(99), p.o.without.quantile(99)),
			Attempts: ratio(float64(x.batchAttempts), float64(x.items)), Missed: x.missedItems,
		})
	}
	if s.json {
		n := json.NewEncoder(w)
		n.SetIndent("", "  ")
		return n.Encode(f)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row(t, "deployment", "batch-share", "share of idle", "items/s", "p50 ms", "p99 ms", "p99 / without", "attempts/item", "items late")
	for _, p := range f {
		row(t, p.Deployment, fmt.Sprint(p.BatchShare), number(p.IdleShare), number(p.Items), number(p.P50), number(p.P99),
			number(p.Ratio), number(p.Attempts), fmt.Sprint(p.Missed))
	}
	return t.Flush()
}
