package fleet

import (
	"cmp"
	"slices"
)

// candidate is a backend server that a request may go to.
type candidate struct {
	s *server
	p place
}

// best adds a candidate to those that are as good, or puts it in their place.
func best(l []candidate, c candidate) []candidate {
	if len(l) == 0 {
		return append(l, c)
	}
	k := cmp.Or(cmp.Compare(c.p.tier, l[0].p.tier), cmp.Compare(c.p.group, l[0].p.group))
	switch {
	case k < 0:
		return append(l[:0], c)
	case k == 0:
		return append(l, c)
	}
	return l
}

// first returns the least loaded candidate.
func first(l []candidate) candidate { return slices.MinFunc(l, compare) }

func compare(a, b candidate) int {
	if a.p.before(b.p) {
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
func spread(l []candidate, n, draw float64) candidate {
	slices.SortFunc(l, compare)
	// The first m candidates share the requests and reach the load v.
	m := 1
	// Sum of their loads.
	t := float64(l[0].p.load)
	for m < len(l) && float64(l[m].p.load)*float64(m)-t < n {
		t += float64(l[m].p.load)
		m++
	}
	v := (t + n) / float64(m)
	x := draw * n
	for _, c := range l[:m] {
		x -= v - float64(c.p.load)
		if x < 0 {
			return c
		}
	}
	return l[m-1]
}
