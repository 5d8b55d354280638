package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Rank returns the members of a role that are not leaving, in rendezvous order
// for the key. Members of the data centre come first when it is not empty.
func Rank(members []*wire.Member, role, key, dataCentre string) []*wire.Member {
	type scored struct {
		m     *wire.Member
		score uint64
	}
	l := make([]scored, 0, len(members))
	for _, m := range members {
		if m.GetRole() != role || m.GetLeaving() {
			continue
		}
		l = append(l, scored{m, xxhash.Sum64String(key + "\x00" + m.GetId())})
	}
	slices.SortFunc(l, func(a, b scored) int {
		if dataCentre != "" {
			x, y := a.m.GetDataCentre() == dataCentre, b.m.GetDataCentre() == dataCentre
			if x != y {
				if x {
					return -1
				}
				return 1
			}
		}
		// The id breaks ties, so that all processes agree.
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.m.GetId(), b.m.GetId()))
	})
	r := make([]*wire.Member, len(l))
	for i, s := range l {
		r[i] = s.m
	}
	return r
}

// First returns the preferred member, nil when there is none.
func First(members []*wire.Member, role, key, dataCentre string) *wire.Member {
	r := Rank(members, role, key, dataCentre)
	if len(r) == 0 {
		return nil
	}
	return r[0]
}
