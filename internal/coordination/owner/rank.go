package owner

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Rank returns the members of a role that are not leaving, in rendezvous order
// for the key. If dataCentre is not empty, its members come first.
func Rank(members []*wire.Member, role, key, dataCentre string) []*wire.Member {
	h := xxhash.Sum64String(key)
	l := make([]scored, 0, len(members))
	for _, m := range members {
		if eligible(m, role) {
			l = append(l, score(m, h, dataCentre))
		}
	}
	slices.SortFunc(l, func(a, b scored) int { return a.compare(b) })
	r := make([]*wire.Member, len(l))
	for i, s := range l {
		r[i] = s.member
	}
	return r
}

// First returns the first member of Rank, or nil if there is none. It does not
// sort: when a member changes, a scheduler calls it for each of up to 2,500
// backend servers.
func First(members []*wire.Member, role, key, dataCentre string) *wire.Member {
	h := xxhash.Sum64String(key)
	var b scored
	for _, m := range members {
		if !eligible(m, role) {
			continue
		}
		s := score(m, h, dataCentre)
		if b.member == nil || s.compare(b) < 0 {
			b = s
		}
	}
	return b.member
}

// scored is a member with its sort key in the order for one key.
type scored struct {
	member *wire.Member
	// Whether the member is in the preferred data centre.
	local bool
	score uint64
}

func eligible(member *wire.Member, role string) bool {
	return member.GetRole() == role && !member.GetLeaving()
}

func score(member *wire.Member, key uint64, dataCentre string) scored {
	return scored{member, dataCentre != "" && member.GetDataCentre() == dataCentre, mix(key ^ bits.RotateLeft64(xxhash.Sum64String(member.GetId()), rotation))}
}

// rotation prevents the hashes of a key and a member id with the same text from
// cancelling out in the XOR.
const rotation = 23

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable
// Pseudorandom Number Generators, 2014). Flipping one bit of x flips half of
// the bits of the result on average.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (s scored) compare(other scored) int {
	if s.local != other.local {
		if s.local {
			return -1
		}
		return 1
	}
	// Ties are broken by id, so that all processes compute the same order.
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.member.GetId(), other.member.GetId()))
}
