package replay

import (
	"slices"
	"time"
)

// Names of the scenarios.
const (
	day      = "day"
	overload = "overload"
	oneLost  = "runner-lost"
	halfLost = "half-lost"
	smallOne = "small-caller"
)

const (
	// Share of the capacity that online requests take on average on an
	// ordinary day; bursts of four times the other hours then nearly fill it.
	dayShare = 0.35
	// Share of the capacity while the small callers come.
	busyShare = 0.9
	// Requests of the one caller and of the others, one each.
	manyRequests = 10000
	smallCallers = 20
	// The queue must hold the 10,000 requests.
	longQueue = 20000
	// Part of the trace at which runners are lost and come back.
	lostAt, backAt = 0.4, 0.8
	lostRunner     = 7
	// Callers give up after this time in an overload, as in a shop.
	patience = 10 * time.Second
)

// outcome is the runs of one scenario with one policy.
type outcome struct {
	deployment, trace, scenario, policy string
	// Without batch work and with it. For the scenario of the small callers
	// without and with the burst.
	without, with *figures
	// Goodput at capacity, for the scenario of the overload.
	capacity float64
}

// scenarios runs all scenarios on generated traces of a deployment.
func (s *Replay) scenarios(d *deployment, policy string) ([]*outcome, error) {
	t, e := generated(day, d, s.seed, s.length, dayShare)
	if e != nil {
		return nil, e
	}
	l, e := s.onTrace(t, policy)
	if e != nil {
		return nil, e
	}
	if s.wants(overload) {
		o, e := s.overload(d, policy)
		if e != nil {
			return nil, e
		}
		l = append(l, o)
	}
	if s.wants(smallOne) {
		o, e := s.smallCaller(d, policy)
		if e != nil {
			return nil, e
		}
		l = append(l, o)
	}
	return l, nil
}

func (s *Replay) wants(scenario string) bool {
	return len(s.only) == 0 || slices.Contains(s.only, scenario)
}

// onTrace runs the scenarios that any trace allows: as it is, with one runner
// lost, and with half of them.
func (s *Replay) onTrace(t *trace, policy string) ([]*outcome, error) {
	a := time.Duration(lostAt * float64(t.length))
	b := max(time.Duration(backAt*float64(t.length)), a+2*hostLag)
	n := []fault{{at: a, until: b, from: lostRunner, to: lostRunner + 1}}
	h := []fault{{at: a, until: b, from: 0, to: t.d.runners / 2, silent: true}}
	var l []*outcome
	for _, k := range []struct {
		name   string
		faults []fault
	}{{day, nil}, {oneLost, n}, {halfLost, h}} {
		if !s.wants(k.name) {
			continue
		}
		o, e := s.pair(k.name, setup{t: t, policy: policy, faults: k.faults, queue: queueLength, cache: s.cache})
		if e != nil {
			return nil, e
		}
		l = append(l, o)
	}
	return l, nil
}

// pair runs without and with batch work.
func (s *Replay) pair(name string, k setup) (*outcome, error) {
	o := &outcome{deployment: k.t.d.name, trace: k.t.name, scenario: name, policy: k.policy}
	var e error
	o.with, e = replay(s.withBatch(k))
	if e != nil {
		return nil, e
	}
	o.without, e = replay(k)
	return o, e
}

// withBatch returns the setup with batch work as the options have it.
func (s *Replay) withBatch(k setup) setup {
	k.batch = true
	k.batchShare = k.t.d.batchShare
	if s.batchShare >= 0 {
		k.batchShare = int32(s.batchShare)
	}
	k.batchPrefix, k.batchStream = s.batchPrefix, s.batchStream
	return k
}

// overload runs at twice the capacity. The goodput at capacity is the largest
// with an offered load near it, because hits in the prefix cache make the real
// capacity larger than the calculated one.
func (s *Replay) overload(d *deployment, policy string) (*outcome, error) {
	var o *outcome
	g := 0.0
	for _, a := range []float64{1, 1.2, 1.4, 2} {
		t, e := generated(overload, d, s.seed, s.length, a)
		if e != nil {
			return nil, e
		}
		for _, x := range t.lines {
			x.DeadlineMS = patience.Milliseconds()
		}
		k := setup{t: t, policy: policy, queue: queueLength, cache: s.cache}
		if a < 2 {
			f, e := replay(s.withBatch(k))
			if e != nil {
				return nil, e
			}
			g = max(g, f.goodput())
			continue
		}
		o, e = s.pair(overload, k)
		if e != nil {
			return nil, e
		}
	}
	o.capacity = g
	return o, nil
}

// smallCaller runs without and with the burst, both with batch work.
func (s *Replay) smallCaller(d *deployment, policy string) (*outcome, error) {
	t, e := generated(smallOne, d, s.seed, s.length, busyShare)
	if e != nil {
		return nil, e
	}
	o := &outcome{deployment: d.name, trace: t.name, scenario: smallOne, policy: policy}
	k := s.withBatch(setup{t: t, policy: policy, queue: longQueue, cache: s.cache, small: smallCallers})
	o.without, e = replay(k)
	if e != nil {
		return nil, e
	}
	k.burst = manyRequests
	o.with, e = replay(k)
	return o, e
}
