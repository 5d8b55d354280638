package rules

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Decoder is the revision of the decoder of the operators' text that this build has.
const Decoder = 1

// CheckDecoder returns an error for a configuration that an earlier build has decoded.
// It lacks the teams and their keys, and would let every request pass.
func CheckDecoder(config *wire.RouteTable) error {
	if config.GetDecoder() >= Decoder {
		return nil
	}
	return errors.Newf("configuration %d was decoded by revision %d, %d is needed", config.GetVersion(), config.GetDecoder(), Decoder)
}

// indexTeams indexes the teams of the configuration by name and by the digests of
// their keys.
func (s *Table) indexTeams() {
	s.sharingTeams = map[string]bool{}
	s.teams = map[string]*wire.TeamRule{}
	s.teamsByDigest = map[[sha256.Size]byte]*wire.TeamRule{}
	// Digests of keys that several teams hold.
	m := map[[sha256.Size]byte]bool{}
	for _, t := range s.config.GetTeams() {
		s.teams[t.GetName()] = t
		for _, b := range t.GetKeyDigests() {
			if len(b) != sha256.Size {
				continue
			}
			d := [sha256.Size]byte(b)
			o := s.teamsByDigest[d]
			if o != nil && o != t || m[d] {
				m[d] = true
				s.noteSharedKey(o, t)
				delete(s.teamsByDigest, d)
				continue
			}
			s.teamsByDigest[d] = t
		}
	}
}

// noteSharedKey records that teams hold the same key; first is nil if an earlier team
// was recorded for that key.
func (s *Table) noteSharedKey(first, second *wire.TeamRule) {
	if first != nil {
		s.sharingTeams[first.GetName()] = true
	}
	s.sharingTeams[second.GetName()] = true
}

// SharingTeams returns the sorted names of the teams that hold a key which another team
// holds too. Such a key is valid for none of them.
func (s *Table) SharingTeams() []string { return slices.Sorted(maps.Keys(s.sharingTeams)) }

// HasAnonymousJobs reports whether the configuration has routes of host that accept
// batch jobs without a key.
func (s *Table) HasAnonymousJobs(host string) bool {
	return slices.ContainsFunc(s.routesByHost[hostKey(host)], func(r *wire.RouteRule) bool { return r.GetBatch() && r.GetAnonymous() })
}

// Keyed reports whether requests need the key of a team, unless their route is
// anonymous.
func (s *Table) Keyed() bool { return s.config.GetKeyed() }

// Team returns the configuration of a team, or nil if there is none.
func (s *Table) Team(name string) *wire.TeamRule { return s.teams[name] }

// TeamOfKey returns the team that holds a key, or nil if none does. The lookup uses
// the digest of the key, so its duration tells nothing of the keys in force.
func (s *Table) TeamOfKey(key string) *wire.TeamRule {
	return s.teamsByDigest[sha256.Sum256([]byte(key))]
}

// PriorityOf returns the priority of a team's requests on a route: that of the team,
// or that of the route if the team has none or there is no team. 0 is the highest.
func PriorityOf(route *wire.RouteRule, team *wire.TeamRule) int32 {
	if team.HasPriority() {
		return team.GetPriority()
	}
	return route.GetPriority()
}
