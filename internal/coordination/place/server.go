package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Consecutive failures that eject a backend server. The first one may be
	// an old connection; the second has used a new one.
	failuresToEject = 2
	// First ejection; each one that follows lasts twice as long.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// How long the drain mark of a backend server counts without a new one.
	// The host list confirms it before that.
	drainMarkLifetime = 30 * time.Second
	// A report of other schedulers' load counts so long without a new one.
	externalLoadLifetime = 5 * time.Second
	// Long enough that chance does not show in a backend server's part of the
	// work, short enough to follow a change of load.
	recentCostDecay = 30 * time.Second
	// Periods between load reports by which a report may lag.
	reportLagPeriods = 3
)

// server is one backend server.
type server struct {
	name    string
	address string
	service *service
	ready   bool
	leaving bool
	// Whether another scheduler owns it; it is forgotten once it is idle.
	released bool
	// The time until which its own drain mark stops new work.
	drainUntil time.Time
	// Attempts in flight; online and batch count them by class.
	inFlight       map[string]*attempt
	onlineInFlight int
	batchInFlight  int
	// Calls that it reports beyond those of this scheduler.
	externalLoad   int
	externalLoadAt time.Time
	// Most attempts in flight in the time before each of the last load
	// reports, and since the last one at index 0.
	peakInFlight [reportLagPeriods]int
	// Slots that it reports, 0 when it does not.
	reportedSlots int
	adaptiveLimit adaptiveLimit
	// Consecutive failures.
	failures int
	// Consecutive ejections, 0 when it is in full service.
	ejections    int
	ejectedUntil time.Time
	// Calls that it may run after an ejection, 0 in full service. It grows by
	// one with each completed call.
	rampLimit int
	// Whether it was lost and has shown no life since. A suspect must not test
	// it: a connection that a dead backend server resets would count against
	// the request. Only model engines, which report their load, are marked.
	lost bool
	// The suspect that waits for it to become idle, or nil.
	reservedFor *call
	prefixes    prefixHistory
	// Cost of the online calls dispatched, each with a weight that falls to
	// 1/e in recentCostDecay; as of onlineCostAt.
	onlineCost   float64
	onlineCostAt time.Time
}

// recentOnlineCost returns the weighted cost of the recent online calls.
func (s *server) recentOnlineCost(now time.Time) float64 {
	return s.onlineCost * math.Exp(-float64(now.Sub(s.onlineCostAt))/float64(recentCostDecay))
}

// present returns whether the backend server takes part in the service.
func (s *server) present(now time.Time) bool {
	return s.ready && !s.leaving && !now.Before(s.drainUntil)
}

// usable returns whether it may be given work.
func (s *server) usable(now time.Time) bool {
	return s.present(now) && !now.Before(s.ejectedUntil)
}

// probing returns whether the next call tests it after an ejection.
func (s *server) probing() bool { return s.rampLimit == 1 }

// limit returns how many calls it may run.
func (s *server) limit() int {
	n := cmp.Or(int(s.service.config.GetLimits().GetSlots()), s.reportedSlots, s.adaptiveLimit.limit())
	if s.rampLimit > 0 {
		return min(n, s.rampLimit)
	}
	return n
}

// freeSlots returns the number of slots without a call.
func (s *server) freeSlots() int { return s.limit() - len(s.inFlight) - s.externalLoad }

// youngestPreemptable returns the batch attempt that gives up its slot first, or nil.
func (s *server) youngestPreemptable() *attempt {
	var m *attempt
	for _, a := range s.inFlight {
		if a.call.preemptable() && (m == nil || a.sequence > m.sequence) {
			m = a
		}
	}
	return m
}

// HostUpdated adds a backend server of this scheduler or changes it.
func (p *Placer) HostUpdated(now time.Time, host *wire.Host) []decide.Decision {
	s := p.servers[host.GetName()]
	if s != nil && s.service.name != host.GetService() {
		p.removeServer(now, s)
		s = nil
	}
	if s == nil {
		s = &server{name: host.GetName(), service: p.ensureService(host.GetService()), inFlight: map[string]*attempt{}}
		p.servers[s.name] = s
		s.service.addServer(s)
	}
	if s.address != host.GetAddress() {
		// A new process: nothing learned of the old one holds.
		s.address = host.GetAddress()
		s.drainUntil = time.Time{}
		s.prefixes = prefixHistory{}
		s.resetHealth()
	}
	s.ready = host.GetReady()
	s.leaving = host.GetLeaving()
	s.released = false
	p.schedule(now, s.service)
	return p.takeDecisions()
}

// HostReleased stops new work to a backend server that another scheduler owns
// now. What it runs goes on, and its count is kept until then, in case that
// the ownership comes back.
func (p *Placer) HostReleased(now time.Time, name string) []decide.Decision {
	s := p.servers[name]
	if s == nil {
		return nil
	}
	s.leaving = true
	s.released = true
	p.schedule(now, s.service)
	p.removeReleased(now)
	return p.takeDecisions()
}

// removeReleased removes the idle backend servers of other schedulers.
func (p *Placer) removeReleased(now time.Time) {
	var l []*server
	for _, s := range p.servers {
		if s.released && len(s.inFlight) == 0 {
			l = append(l, s)
		}
	}
	slices.SortFunc(l, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	for _, s := range l {
		p.removeServer(now, s)
	}
}

// HostRemoved forgets a backend server that is not in the host list any more. Its
// attempts end by their own events.
func (p *Placer) HostRemoved(now time.Time, name string) []decide.Decision {
	s := p.servers[name]
	if s == nil {
		return nil
	}
	p.removeServer(now, s)
	return p.takeDecisions()
}

func (p *Placer) removeServer(now time.Time, removed *server) {
	removed.leaving = true
	removed.reservedFor = nil
	delete(p.servers, removed.name)
	removed.service.servers = slices.DeleteFunc(removed.service.servers, func(o *server) bool { return o == removed })
	p.schedule(now, removed.service)
	p.removeUnused(removed.service)
}

// LoadReported takes a backend server's lagging report: calls that run and
// wait there, and its slots, 0 when it names none. Calls of this scheduler may
// have started or ended since, so only what exceeds the most that were in
// flight during the lag counts as the load of others.
func (p *Placer) LoadReported(now time.Time, name string, running, waiting, slots int) []decide.Decision {
	s := p.servers[name]
	if s == nil {
		return nil
	}
	s.lost = false
	s.reportedSlots = slots
	s.externalLoad = max(running+waiting-slices.Max(s.peakInFlight[:]), 0)
	s.externalLoadAt = now
	copy(s.peakInFlight[1:], s.peakInFlight[:])
	s.peakInFlight[0] = len(s.inFlight)
	p.schedule(now, s.service)
	return p.takeDecisions()
}

// expireExternalLoads drops old reports of the load of others.
func (v *service) expireExternalLoads(now time.Time) {
	for _, s := range v.servers {
		if now.Sub(s.externalLoadAt) > externalLoadLifetime {
			s.externalLoad = 0
		}
	}
}

// recordFailure counts a failure, and ejects the backend server at the second one or
// at once.
func (s *server) recordFailure(now time.Time, ejectNow bool) {
	s.failures++
	if !ejectNow && s.failures < failuresToEject && s.rampLimit == 0 {
		return
	}
	if now.Before(s.ejectedUntil) {
		// Calls that were in flight at the ejection fail with it.
		return
	}
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
	s.failures = 0
	s.rampLimit = 1
}

// recordCompletion counts a call that the backend server ran to its end.
func (s *server) recordCompletion(now time.Time) {
	s.lost = false
	s.failures = 0
	if s.rampLimit == 0 || now.Before(s.ejectedUntil) {
		return
	}
	s.rampLimit++
	if s.rampLimit > cmp.Or(int(s.service.config.GetLimits().GetSlots()), s.reportedSlots, s.adaptiveLimit.limit()) {
		s.resetHealth()
	}
}

// resetHealth returns the backend server to full service.
func (s *server) resetHealth() {
	s.lost = false
	s.failures = 0
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.rampLimit = 0
}
