package depot

import (
	"slices"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// placement lists the candidate depots for a second copy.
type placement struct {
	self *wire.Member
	// Depots whose copy counts as the second one, in the order of queries.
	holders []*wire.Member
	// Depots that accept a copy.
	targets []*wire.Member
}

// placementFor returns the other depots in rendezvous order of the key: those
// in other data centres, or all if there is only one data centre. A leaving
// depot counts as a holder but does not accept copies.
func placementFor(members []*wire.Member, self, key string) placement {
	l := owner.Rank(members, role, key, "")
	n := len(l)
	p := placement{}
	for _, m := range members {
		if m.GetRole() == role && m.GetId() == self {
			p.self = m
		}
		if m.GetRole() == role && m.GetLeaving() {
			l = append(l, m)
		}
	}
	f := slices.ContainsFunc(l[:n], func(m *wire.Member) bool { return m.GetDataCentre() != p.self.GetDataCentre() })
	for i, m := range l {
		if m.GetId() == self || f && m.GetDataCentre() == p.self.GetDataCentre() {
			continue
		}
		p.holders = append(p.holders, m)
		if i < n {
			p.targets = append(p.targets, m)
		}
	}
	return p
}
