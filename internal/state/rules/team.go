package rules

import (
	"crypto/sha256"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// indexTeams indexes the teams of the configuration by name and by the digests of
// their keys.
func (s *Table) indexTeams() {
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
				delete(s.teamsByDigest, d)
				continue
			}
			s.teamsByDigest[d] = t
		}
	}
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
