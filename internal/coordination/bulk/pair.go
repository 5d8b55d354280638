package bulk

import (
	"slices"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const depotRole = "depot"

// selectDepots returns the depots for a segment, leaving out the excluded ones.
// The first one is in the client's own data centre where possible, the second
// one in another data centre. While depots of several data centres are members,
// two of the same data centre are never selected, even when the others fail.
func (k *Client) selectDepots(id string, excluded map[string]bool) ([]*wire.Member, error) {
	l := owner.Rank(k.views.Latest().GetMembers(), depotRole, id, k.dataCentre)
	// Whether depots of several data centres are members.
	s := slices.ContainsFunc(l, func(m *wire.Member) bool { return m.GetDataCentre() != l[0].GetDataCentre() })
	n := len(l)
	l = slices.DeleteFunc(l, func(m *wire.Member) bool { return excluded[m.GetId()] })
	if len(l) > 0 && k.copies == 1 {
		return l[:1], nil
	}
	for i, a := range l {
		for _, b := range l[i+1:] {
			if !s || a.GetDataCentre() != b.GetDataCentre() {
				return []*wire.Member{a, b}, nil
			}
		}
	}
	return nil, trail.NewError("depots-unavailable", trail.NotRun,
		"no %d depots can take a segment: %d are members, %d failed", k.copies, n, len(excluded)).WithRetryAfter(retryAfter)
}

// readCandidates returns the depots that may have a copy: first those that the
// segment names, with the client's data centre before others, then the rest in
// rendezvous order of the segment id, which is the order in which a depot selects
// the target for a lost second copy. Depots that are leaving still serve reads
// and come last of the rest.
func (k *Client) readCandidates(segment *wire.Segment) []*wire.Member {
	v := k.views.Latest().GetMembers()
	l := owner.Rank(v, depotRole, segment.GetId(), "")
	for _, m := range v {
		if m.GetRole() == depotRole && m.GetLeaving() {
			l = append(l, m)
		}
	}
	// The lower the value, the earlier a depot is tried.
	o := func(m *wire.Member) int {
		switch {
		case !slices.Contains(segment.GetDepots(), m.GetId()):
			return 2
		case m.GetDataCentre() != k.dataCentre:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(l, func(a, b *wire.Member) int { return o(a) - o(b) })
	return l
}
