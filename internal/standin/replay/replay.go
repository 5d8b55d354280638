package replay

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/coordination/policy"
)

// defaultCacheTokens is the capacity of a runner's prefix cache, which holds both
// shared prefixes and the rest of each prompt. It is a quarter of the engine
// stand-in's capacity, with which each runner could hold the prefixes of all
// callers.
const defaultCacheTokens = 16 << 10

// minLength leaves time to measure between the warm-up and the end of the trace.
const minLength = 2 * warmUp

// Replay measures policies on traces.
type Replay struct {
	policies []string
	// Scenarios to run; all if empty.
	selected []string
	seed     uint64
	length   time.Duration
	// Batch share of the services text, 0 to 100; -1 for the deployment's own.
	batchShare int
	// Whether batch items carry a prefix hash, and whether they are streams.
	batchPrefix, batchStream bool
	// Capacity of a runner's prefix cache in tokens.
	cache int
	json  bool
}

// New returns a replay with all policies, seed 1, generated traces of 2
// minutes, the batch share of each deployment, and a report as text.
func New(options ...func(*Replay)) *Replay {
	s := &Replay{
		policies: []string{policy.RoundRobin, policy.LeastOutstanding, policy.Fair},
		seed:     1, length: 2 * time.Minute, batchShare: -1, cache: defaultCacheTokens,
		batchStream: true,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Policies selects the policies to measure by their names in package policy.
func Policies(names ...string) func(*Replay) {
	return func(s *Replay) { s.policies = names }
}

// Scenarios selects the scenarios to run: day, runner-lost, half-lost, overload
// and small-caller. Without a name all are run.
func Scenarios(scenarios ...string) func(*Replay) {
	return func(s *Replay) { s.selected = scenarios }
}

// Generated sets the seed and the length of the generated traces, at least 20
// seconds.
func Generated(seed uint64, length time.Duration) func(*Replay) {
	return func(s *Replay) { s.seed, s.length = seed, length }
}

// BatchShare replaces the batch share of the services texts, 0 to 100.
func BatchShare(percent int) func(*Replay) {
	return func(s *Replay) { s.batchShare = percent }
}

// BatchItems sets whether batch items carry the hash of their prefix, and whether
// they are streams, which resume after a preemption. The default is streams
// without hashes, as package jobs sends them.
func BatchItems(prefix, stream bool) func(*Replay) {
	return func(s *Replay) { s.batchPrefix, s.batchStream = prefix, stream }
}

// CacheTokens sets the capacity of a runner's prefix cache in tokens.
func CacheTokens(tokens int) func(*Replay) {
	return func(s *Replay) { s.cache = tokens }
}

// JSON sets whether the report is written as JSON instead of text.
func JSON(on bool) func(*Replay) {
	return func(s *Replay) { s.json = on }
}

// RunGenerated measures the generated traces of both deployments and writes the
// report. It fails if a policy is unknown, the trace is too short or the writer
// fails.
func (s *Replay) RunGenerated(writer io.Writer) error {
	if s.length < minLength {
		return errors.Newf("trace is %s long, less than %s", s.length, minLength)
	}
	var l []*outcome
	for _, d := range deployments {
		for _, p := range s.policies {
			o, e := s.runScenarios(d, p)
			if e != nil {
				return e
			}
			l = append(l, o...)
		}
	}
	return s.write(writer, l)
}

// RunTrace measures one trace in the format of package load and writes the
// report. It fails if a policy is unknown, the trace is invalid or the writer
// fails.
func (s *Replay) RunTrace(writer io.Writer, name string, reader io.Reader) error {
	t, e := readTrace(name, reader)
	if e != nil {
		return e
	}
	if t.length < minLength {
		return errors.Newf("trace %s is %s long, less than %s", name, t.length, minLength)
	}
	var l []*outcome
	for _, p := range s.policies {
		o, e := s.runTraceScenarios(t, p)
		if e != nil {
			return e
		}
		l = append(l, o...)
	}
	return s.write(writer, l)
}

// RunBatchShareCurve measures the day scenario of both deployments with the batch
// shares 0, 25, 50, 75 and 100, and writes a table. Its errors are those of
// RunGenerated.
func (s *Replay) RunBatchShareCurve(writer io.Writer) error {
	if s.length < minLength {
		return errors.Newf("trace is %s long, less than %s", s.length, minLength)
	}
	var l []curvePoint
	for _, d := range deployments {
		t, e := generateTrace(scenarioDay, d, s.seed, s.length, dayLoadShare)
		if e != nil {
			return e
		}
		for _, b := range []int{0, 25, 50, 75, 100} {
			k := *s
			k.batchShare = b
			o, e := k.runWithAndWithoutBatch(scenarioDay, runConfig{trace: t, policy: policy.Fair, queueLength: queueLength, cache: s.cache})
			if e != nil {
				return e
			}
			l = append(l, curvePoint{b, o})
		}
	}
	return s.writeCurve(writer, l)
}

// curvePoint is the outcome of the day scenario with one batch share.
type curvePoint struct {
	batchShare int
	outcome    *outcome
}
