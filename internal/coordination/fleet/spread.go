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

// keepBest adds next to the candidates if it has the same tier and staleness,
// replaces them if it is better, and drops it if it is worse.
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

// bestRanked returns the candidate with the best rank.
func bestRanked(candidates []candidate) candidate { return slices.MinFunc(candidates, compareRank) }

func compareRank(a, b candidate) int {
	if a.rank.before(b.rank) {
		return -1
	}
	return 1
}

// spread chooses a candidate when about as many requests as given, including
// this one, are placed by the same load information. If all went to the least
// loaded server, they would overload it. Instead each server is chosen with the
// probability that equalises the loads after all of them are placed.
//
// This is the Basic Load Interpretation algorithm of "Interpreting Stale Load
// Information" (M. Dahlin, 1999).
func spread(candidates []candidate, requests, draw float64) candidate {
	slices.SortFunc(candidates, compareRank)
	// The first m candidates share the requests and end up with the load v.
	m := 1
	// Sum of their loads.
	t := candidates[0].rank.load
	for m < len(candidates) && candidates[m].rank.load*float64(m)-t < requests {
		t += candidates[m].rank.load
		m++
	}
	v := (t + requests) / float64(m)
	x := draw * requests
	for _, c := range candidates[:m] {
		x -= v - c.rank.load
		if x < 0 {
			return c
		}
	}
	return candidates[m-1]
}
