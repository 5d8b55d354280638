package replay

import (
	"slices"
	"time"
)

// Names of the scenarios.
const (
	scenarioDay         = "day"
	scenarioOverload    = "overload"
	scenarioRunnerLost  = "runner-lost"
	scenarioHalfLost    = "half-lost"
	scenarioSmallCaller = "small-caller"
)

const (
	// Average online load on an ordinary day as a share of the capacity. Bursts
	// of four times the load of the other hours then nearly fill it.
	dayLoadShare = 0.35
	// Average online load in the small-caller scenario as a share of the
	// capacity.
	smallCallerLoadShare = 0.9
	// Requests in the burst, and callers that send one request each.
	burstRequests = 10000
	smallCallers  = 20
	// The queue must hold the 10,000 requests of the burst.
	burstQueueLength = 20000
	// Fractions of the trace length at which runners are lost and restarted.
	outageStartFraction, outageEndFraction = 0.4, 0.8
	lostRunner                             = 7
	// Deadline of online requests in an overload: customers in a shop give up
	// after this time.
	overloadDeadline = 10 * time.Second
)

// outcome holds the results of one scenario with one policy.
type outcome struct {
	deployment, trace, scenario, policy string
	// Figures without and with batch work; in the small-caller scenario, without
	// and with the burst.
	without, with *figures
	// Goodput at capacity; set in the overload scenario only.
	capacity float64
}

// runScenarios runs all scenarios on generated traces of a deployment.
func (s *Replay) runScenarios(deployment *modelDeployment, policy string) ([]*outcome, error) {
	t, e := generateTrace(scenarioDay, deployment, s.seed, s.length, dayLoadShare)
	if e != nil {
		return nil, e
	}
	l, e := s.runTraceScenarios(t, policy)
	if e != nil {
		return nil, e
	}
	if s.selects(scenarioOverload) {
		o, e := s.runOverload(deployment, policy)
		if e != nil {
			return nil, e
		}
		l = append(l, o)
	}
	if s.selects(scenarioSmallCaller) {
		o, e := s.runSmallCaller(deployment, policy)
		if e != nil {
			return nil, e
		}
		l = append(l, o)
	}
	return l, nil
}

func (s *Replay) selects(scenario string) bool {
	return len(s.selected) == 0 || slices.Contains(s.selected, scenario)
}

// runTraceScenarios runs the scenarios that apply to any trace: without a fault,
// with one runner lost, and with half of the runners lost.
func (s *Replay) runTraceScenarios(trace *serviceTrace, policy string) ([]*outcome, error) {
	a := time.Duration(outageStartFraction * float64(trace.length))
	b := max(time.Duration(outageEndFraction*float64(trace.length)), a+2*hostListLag)
	n := []runnerFault{{start: a, end: b, from: lostRunner, to: lostRunner + 1}}
	h := []runnerFault{{start: a, end: b, from: 0, to: trace.deployment.runners / 2, unresponsive: true}}
	var l []*outcome
	for _, k := range []struct {
		name   string
		faults []runnerFault
	}{{scenarioDay, nil}, {scenarioRunnerLost, n}, {scenarioHalfLost, h}} {
		if !s.selects(k.name) {
			continue
		}
		o, e := s.runWithAndWithoutBatch(k.name, runConfig{trace: trace, policy: policy, faults: k.faults, queueLength: queueLength, cache: s.cache})
		if e != nil {
			return nil, e
		}
		l = append(l, o)
	}
	return l, nil
}

// runWithAndWithoutBatch runs a scenario once with and once without batch work.
func (s *Replay) runWithAndWithoutBatch(name string, config runConfig) (*outcome, error) {
	o := &outcome{deployment: config.trace.deployment.name, trace: config.trace.name, scenario: name, policy: config.policy}
	var e error
	o.with, e = runTrace(s.withBatch(config))
	if e != nil {
		return nil, e
	}
	o.without, e = runTrace(config)
	return o, e
}

// withBatch returns the configuration with batch work as set by the options.
func (s *Replay) withBatch(config runConfig) runConfig {
	config.batch = true
	config.batchShare = config.trace.deployment.batchShare
	if s.batchShare >= 0 {
		config.batchShare = int32(s.batchShare)
	}
	config.batchPrefix, config.batchStream = s.batchPrefix, s.batchStream
	return config
}

// runOverload measures an offered load of twice the capacity. The goodput at
// capacity is the highest of several runs with an offered load near it, because
// prefix cache hits make the real capacity larger than the calculated one.
func (s *Replay) runOverload(deployment *modelDeployment, policy string) (*outcome, error) {
	var o *outcome
	g := 0.0
	for _, a := range []float64{1, 1.2, 1.4, 2} {
		t, e := generateTrace(scenarioOverload, deployment, s.seed, s.length, a)
		if e != nil {
			return nil, e
		}
		for _, x := range t.lines {
			x.DeadlineMS = overloadDeadline.Milliseconds()
		}
		k := runConfig{trace: t, policy: policy, queueLength: queueLength, cache: s.cache}
		if a < 2 {
			f, e := runTrace(s.withBatch(k))
			if e != nil {
				return nil, e
			}
			g = max(g, f.goodput())
			continue
		}
		o, e = s.runWithAndWithoutBatch(scenarioOverload, k)
		if e != nil {
			return nil, e
		}
	}
	o.capacity = g
	return o, nil
}

// runSmallCaller runs once without and once with the burst, both with batch work.
func (s *Replay) runSmallCaller(deployment *modelDeployment, policy string) (*outcome, error) {
	t, e := generateTrace(scenarioSmallCaller, deployment, s.seed, s.length, smallCallerLoadShare)
	if e != nil {
		return nil, e
	}
	o := &outcome{deployment: deployment.name, trace: t.name, scenario: scenarioSmallCaller, policy: policy}
	k := s.withBatch(runConfig{trace: t, policy: policy, queueLength: burstQueueLength, cache: s.cache, smallCallers: smallCallers})
	o.without, e = runTrace(k)
	if e != nil {
		return nil, e
	}
	k.burstRequests = burstRequests
	o.with, e = runTrace(k)
	return o, e
}
