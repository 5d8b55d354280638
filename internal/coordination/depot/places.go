package depot

import (
	"slices"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// places are the depots for a second copy.
type places struct {
	self *wire.Member
	// Depots whose copy counts, in the order in which they are asked.
	holders []*wire.Member
	// Depots that can take a copy.
	targets []*wire.Member
}

// placesFor returns the other depots in rendezvous order of the key. Those of
// other data centres count, or all when there is only one data centre. A
// leaving depot keeps its copies but takes none.
func placesFor(members []*wire.Member, self, key string) places {
	l := owner.Rank(members, role, key, "")
	n := len(l)
	p := places{}
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
