package replay

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/coordination/policy"
)

// defaultCache is the tokens in the prefix cache of a runner, shared prefixes
// and the rests of prompts alike. It is a quarter of that of the engine
// stand-in, which could hold the prefixes of all callers at each runner.
const defaultCache = 16 << 10

// minLength leaves some time between the warm-up and the end of the trace.
const minLength = 2 * warmUp

// Replay measures policies on traces.
type Replay struct {
	policies []string
	// Scenarios to run, all when it is empty.
	only   []string
	seed   uint64
	length time.Duration
	// Of the services text, 0 to 100; -1 for that of the deployment.
	batchShare int
	// Whether batch items carry a prefix hash and are streams.
	batchPrefix, batchStream bool
	// Tokens in the prefix cache of a runner.
	cache int
	json  bool
}

// New returns a replay with all policies, seed 1, generated traces of 2
// minutes, the batch share of each deployment, and a report as text.
func New(options ...func(*Replay)) *Replay {
	s := &Replay{
		policies: []string{policy.RoundRobin, policy.LeastOutstanding, policy.Fair},
		seed:     1, length: 2 * time.Minute, batchShare: -1, cache: defaultCache,
		batchStream: true,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Policies names the policies to measure, of package policy.
func Policies(names ...string) func(*Replay) {
	return func(s *Replay) { s.policies = names }
}

// Only names the scenarios to run: day, runner-lost, half-lost, overload and
// small-caller. Without a name all run.
func Only(scenarios ...string) func(*Replay) {
	return func(s *Replay) { s.only = scenarios }
}

// Generated sets the seed and the length of the generated traces, at least 20
// seconds.
func Generated(seed uint64, length time.Duration) func(*Replay) {
	return func(s *Replay) { s.seed, s.length = seed, length }
}

// BatchShare replaces the batch share of the services texts, 0 to 100.
func BatchShare(n int) func(*Replay) {
	return func(s *Replay) { s.batchShare = n }
}

// BatchItems lets batch items carry the hash of their prefix, and be streams,
// which resume after a preemption. Package jobs sends streams without hashes,
// which is the default.
func BatchItems(prefix, stream bool) func(*Replay) {
	return func(s *Replay) { s.batchPrefix, s.batchStream = prefix, stream }
}

// Cache sets the tokens that the prefix cache of a runner holds.
func Cache(tokens int) func(*Replay) {
	return func(s *Replay) { s.cache = tokens }
}

// JSON writes the report as JSON.
func JSON(on bool) func(*Replay) {
	return func(s *Replay) { s.json = on }
}

// Built measures the generated traces of both deployments and writes the
// report to w. The error tells of an unknown policy, a trace that is too
// short, or w.
func (s *Replay) Built(w io.Writer) error {
	if s.length < minLength {
		return errors.Newf("trace is %s long, less than %s", s.length, minLength)
	}
	var l []*outcome
	for _, d := range deployments {
		for _, p := range s.policies {
			o, e := s.scenarios(d, p)
			if e != nil {
				return e
			}
			l = append(l, o...)
		}
	}
	return s.write(w, l)
}

// Trace measures one trace in the format of package load and writes the report
// to w. The error tells of an unknown policy, of a fault of the trace, or w.
func (s *Replay) Trace(w io.Writer, name string, r io.Reader) error {
	t, e := read(name, r)
	if e != nil {
		return e
	}
	if t.length < minLength {
		return errors.Newf("trace %s is %s long, less than %s", name, t.length, minLength)
	}
	var l []*outcome
	for _, p := range s.policies {
		o, e := s.onTrace(t, p)
		if e != nil {
			return e
		}
		l = append(l, o...)
	}
	return s.write(w, l)
}

// Curve measures the day of both deployments with the batch shares 0, 25, 50,
// 75 and 100, and writes a table to w. The errors are those of Built.
func (s *Replay) Curve(w io.Writer) error {
	if s.length < minLength {
		return errors.Newf("trace is %s long, less than %s", s.length, minLength)
	}
	var l []curvePoint
	for _, d := range deployments {
		t, e := generated(day, d, s.seed, s.length, dayShare)
		if e != nil {
			return e
		}
		for _, b := range []int{0, 25, 50, 75, 100} {
			k := *s
			k.batchShare = b
			o, e := k.pair(day, setup{t: t, policy: policy.Fair, queue: queueLength, cache: s.cache})
			if e != nil {
				return e
			}
			l = append(l, curvePoint{b, o})
		}
	}
	return s.writeCurve(w, l)
}

// curvePoint is the day with one batch share.
type curvePoint struct {
	batchShare int
	o          *outcome
}
