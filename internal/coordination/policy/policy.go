package policy

import (
	"math"

	"github.com/cespare/xxhash/v2"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Names of the policies.
const (
	Fair             = "fair"
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding"
)

// A runner whose load would exceed this multiple of the mean gets no call for
// its cached prefix. It is the target for the peak load per runner.
const maxLoadRatio = 1.25

// New returns the policy of a name. The error's verdict is NotRun.
func New(name string) (trail.Policy, error) {
	switch name {
	case Fair:
		return fair{}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastOutstanding:
		return least{}, nil
	}
	return nil, trail.NewError("unknown-policy", trail.NotRun, "policy %q is not known", name)
}

type fair struct{}

func (fair) Name() string { return Fair }

func (fair) Queue(class wire.Class) trail.Queue { return newFairQueue(class) }

// Choose prefers the longest cached prefix among the runners within the load
// bound, also where batch work has to yield: with batch work always waiting,
// almost every runner is full, and the prefix cache would be lost otherwise.
// Then it prefers a free slot, and the least load.
func (fair) Choose(r *wire.Call, candidates []trail.Candidate, mean float64) (int, string) {
	b := math.Ceil(maxLoadRatio * mean)
	m := -1
	for i, a := range candidates {
		if a.Matched() == 0 || float64(a.Load()+1) > b {
			continue
		}
		if m < 0 || better(a, candidates[m]) {
			m = i
		}
	}
	if m >= 0 {
		return m, "prefix-affinity"
	}
	return leastLoaded(r, candidates), "least-loaded"
}

// better prefers the longer match, then the smaller load.
func better(a, b trail.Candidate) bool {
	if a.Matched() != b.Matched() {
		return a.Matched() > b.Matched()
	}
	if a.Preempts() != b.Preempts() {
		return b.Preempts()
	}
	return a.Load() < b.Load()
}

// unpreempted returns whether a goes before b because only b has no free slot,
// and whether they are alike in that.
func unpreempted(a, b trail.Candidate) (bool, bool) {
	return !a.Preempts() && b.Preempts(), a.Preempts() == b.Preempts()
}

// leastLoaded breaks ties by rendezvous hashing of the shortest prefix, so
// that calls with a common prefix meet on one runner also before any has run.
func leastLoaded(r *wire.Call, candidates []trail.Candidate) int {
	k := r.GetCaller()
	if l := r.GetPrefixHashes(); len(l) > 0 {
		k = string(hashBytes(l[0]))
	}
	m := 0
	for i, a := range candidates {
		b := candidates[m]
		f, s := unpreempted(a, b)
		if f || s && (a.Load() < b.Load() || a.Load() == b.Load() && score(k, a) > score(k, b)) {
			m = i
		}
	}
	return m
}

func hashBytes(h uint64) []byte {
	b := make([]byte, 0, 8)
	for range 8 {
		b = append(b, byte(h))
		h >>= 8
	}
	return b
}

func score(key string, a trail.Candidate) uint64 {
	return xxhash.Sum64String(key + "\x00" + a.Name())
}

type roundRobin struct{ last string }

func (*roundRobin) Name() string { return RoundRobin }

func (*roundRobin) Queue(wire.Class) trail.Queue { return newArrivalQueue() }

// Choose returns the first candidate after the last one in the order of names.
// It preempts only where no slot is free.
func (p *roundRobin) Choose(_ *wire.Call, candidates []trail.Candidate, _ float64) (int, string) {
	m := 0
	for i, a := range candidates {
		b := candidates[m]
		f, s := unpreempted(a, b)
		if f || s && p.turn(a.Name(), b.Name()) {
			m = i
		}
	}
	p.last = candidates[m].Name()
	return m, RoundRobin
}

// turn returns whether a comes before b in the round after the last one.
func (p *roundRobin) turn(a, b string) bool {
	x, y := a > p.last, b > p.last
	if x != y {
		return x
	}
	return a < b
}

type least struct{}

func (least) Name() string { return LeastOutstanding }

func (least) Queue(wire.Class) trail.Queue { return newArrivalQueue() }

func (least) Choose(_ *wire.Call, candidates []trail.Candidate, _ float64) (int, string) {
	m := 0
	for i, a := range candidates {
		f, s := unpreempted(a, candidates[m])
		if f || s && a.Load() < candidates[m].Load() {
			m = i
		}
	}
	return m, LeastOutstanding
}
