package fleet

import (
	"cmp"
	"slices"
)

// candidate is a backend server that a request may go to.
type candidate struct {
	server *server
	rank   rank
}

// keepBest adds a candidate to those that are as good, or puts it in their place.
func keepBest(candidates []candidate, next candidate) []candidate {
	if len(candidates) == 0 {
		return append(candidates, next)
	}
	k := cmp.Or(cmp.Compare(next.rank.tier, candidates[0].rank.tier), cmp.Compare(next.rank.staleness, candidates[0].rank.staleness))
	switch {
	case k < 0:
		return append(candidates[:0], next)
	case k == 0:
		return append(candidates, next)
	}
	return candidates
}

// leastLoaded returns the least loaded candidate.
func leastLoaded(candidates []candidate) candidate { return slices.MinFunc(candidates, compareRank) }

func compareRank(a, b candidate) int {
	if a.rank.before(b.rank) {
		return -1
	}
	return 1
}

// spread chooses among candidates when about n requests, this one among them,
// are placed by the same loads. All at the least loaded server would overfill
// it; so each server is taken as often as it must get requests for all to end
// up with the same load.
//
// The rule is that of basic load interpretation in "Interpreting Stale Load
// Information" (M. Dahlin, 1999).
func spread(candidates []candidate, requests, draw float64) candidate {
	slices.SortFunc(candidates, compareRank)
	// The first m candidates share the requests and reach the load v.
	m := 1
	// Sum of their loads.
	t := float64(candidates[0].rank.load)
	for m < len(candidates) && float64(candidates[m].rank.load)*float64(m)-t < requests {
		t += float64(candidates[m].rank.load)
		m++
	}
	v := (t + requests) / float64(m)
	x := draw * requests
	for _, c := range candidates[:m] {
		x -= v - float64(c.rank.load)
		if x < 0 {
			return c
		}
	}
	return candidates[m-1]
}
