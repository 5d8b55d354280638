package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/admit"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A priority counts among those that compete for a service if it has asked for a
	// server within this time. It spans a burst and the lull after it.
	priorityMemory = 3 * time.Second
	// Share of a service's slots that the teams divide fairly. Below it there is room
	// for all of them.
	sharedSlots = 0.9
)

// demandOptions is what WithDemand states.
type demandOptions struct {
	service   string
	team      string
	priority  int32
	returning bool
}

// WithDemand states the team of an online request to a service, empty for none, its
// priority, of which 0 is the highest, and whether its caller returns after a refusal.
// Without it, or with an empty service, a request is placed like one of the most urgent
// that is within the share of its team. A request that was acquired with it is released
// with it.
func WithDemand(service, team string, priority int32, returning bool) option {
	return func(p *placement) {
		if service == "" {
			return
		}
		p.demand = &demandOptions{service: service, team: team, priority: priority, returning: returning}
	}
}

// teamKey identifies a team's requests of a priority to a service, by the hashes of the
// names.
type teamKey struct {
	service, team uint64
	priority      int32
}

func (d *demandOptions) key() teamKey { return teamKey{hashOf(d.service), hashOf(d.team), d.priority} }

func keyOf(load *wire.TeamLoad) teamKey {
	return teamKey{load.GetService(), load.GetTeam(), load.GetPriority()}
}

// demandOf returns the demand of a request, and records its priority.
func (f *Fleet) demandOf(now time.Time, service *service, options []option) admit.Demand {
	d := newPlacement(options).demand
	if d == nil {
		return admit.Demand{}
	}
	service.priorities[d.priority] = now
	r := 0
	for p, t := range service.priorities {
		switch {
		case now.Sub(t) > priorityMemory:
			delete(service.priorities, p)
		case p < d.priority:
			r++
		}
	}
	return admit.New(r, f.overShare(service, d), d.returning)
}

// overShare reports whether a team has more than its fair share of a service's slots in
// flight, counting requests that are at least as urgent as its own. No team has while
// there is room for all.
func (f *Fleet) overShare(service *service, demand *demandOptions) bool {
	c, o := 0, 0
	for _, s := range service.servers {
		c += s.slots()
		o += s.totalOnline()
	}
	c = int(sharedSlots * float64(c))
	if o < c {
		return false
	}
	k := demand.key()
	m := f.teamTotals(k)
	l := make([]int, 0, len(m))
	for _, n := range m {
		l = append(l, n)
	}
	return m[k.team] > admit.FairShare(l, c)
}

// leavesReserve reports whether a request that is placed in a tier leaves the slots free
// that are reserved for the next more urgent ones.
func (v *service) leavesReserve(now time.Time, demand admit.Demand, tier int) bool {
	if demand.Class() == 0 {
		return true
	}
	if tier >= tierQueue {
		return demand.MayQueue()
	}
	n, r := 0, 0
	for _, s := range v.servers {
		if s.usable(now) && !s.suspect(now) {
			n += s.slots()
			r += max(s.slots()-s.totalOnline(), 0)
		}
	}
	return r > demand.Reserve(n)
}

// countTeam adds a request that was acquired to the load of its team.
func (f *Fleet) countTeam(options []option) {
	d := newPlacement(options).demand
	if d != nil {
		f.teamLoads[d.key()]++
	}
}

// releaseTeam is the opposite of countTeam.
func (f *Fleet) releaseTeam(options []option) {
	d := newPlacement(options).demand
	if d == nil {
		return
	}
	k := d.key()
	f.teamLoads[k]--
	if f.teamLoads[k] <= 0 {
		delete(f.teamLoads, k)
	}
}

// teamTotals returns the online requests in flight from all fronts at the service of a
// key that are at least as urgent, by the hash of the team's name.
func (f *Fleet) teamTotals(key teamKey) map[uint64]int {
	m := map[uint64]int{}
	a := func(k teamKey, n int) {
		if k.service == key.service && k.priority <= key.priority {
			m[k.team] += max(n, 0)
		}
	}
	for k, n := range f.teamLoads {
		a(k, n)
	}
	for _, p := range f.peers {
		if !f.countedIndividually(p) {
			continue
		}
		for _, x := range p.load.GetTeams() {
			a(keyOf(x), int(x.GetOnline()))
		}
	}
	for _, t := range f.dataCentreLoads {
		for _, x := range t.teams {
			a(keyOf(x), int(x.GetOnline()))
		}
	}
	return m
}

// TeamLoads returns the online requests in flight from this front by team and service.
// It is empty while no requests state their demand.
func (f *Fleet) TeamLoads() []*wire.TeamLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return encodeTeams(f.teamLoads)
}

// ownDataCentreTeams returns the same for all fronts of this data centre together.
func (f *Fleet) ownDataCentreTeams() []*wire.TeamLoad {
	m := map[teamKey]int{}
	for k, n := range f.teamLoads {
		m[k] += n
	}
	for _, p := range f.peers {
		if p.load.GetDataCentre() != f.dataCentre {
			continue
		}
		for _, x := range p.load.GetTeams() {
			m[keyOf(x)] += int(max(x.GetOnline(), 0))
		}
	}
	return encodeTeams(m)
}

func encodeTeams(loads map[teamKey]int) []*wire.TeamLoad {
	var l []*wire.TeamLoad
	for k, n := range loads {
		l = append(l, wire.TeamLoad_builder{
			Service: proto.Uint64(k.service), Team: proto.Uint64(k.team), Priority: &k.priority, Online: proto.Int32(int32(n)),
		}.Build())
	}
	return l
}
