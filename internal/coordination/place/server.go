package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/pacer"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Consecutive failures after which a backend server is ejected. The first
	// failure may be due to a stale connection; the attempt after it has used a
	// new one.
	failuresToEject = 2
	// Duration of the first ejection. Each consecutive one lasts twice as long.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// Lifetime of a drain mark. The host list confirms the shutdown within this
	// time.
	drainMarkLifetime = 30 * time.Second
	// Lifetime of the load of other schedulers in a report.
	externalLoadLifetime = 5 * time.Second
	// Time constant of the decay of the recent work. It is long enough to
	// average out random differences between backend servers, and short enough
	// to follow changes in load.
	recentCostDecay = 30 * time.Second
	// Number of report periods by which a load report may lag.
	reportLagPeriods = 3
)

// server is the state of one backend server.
type server struct {
	name    string
	address string
	service *service
	// Software version in its entry, empty if that names none.
	version string
	// Its latest process that is known; never nil.
	process *process
	// Whether the version in the entry has changed since that process started, so that
	// the entry describes the next one.
	entryIsNewer bool
	ready        bool
	leaving      bool
	// Whether another scheduler owns it now. It is removed once it is idle.
	released bool
	// No new work until this time, because the backend server sent its drain
	// mark.
	drainUntil time.Time
	// By attempt id; counted by class in the two fields below.
	inFlight       map[string]*attempt
	onlineInFlight int
	batchInFlight  int
	// Calls in the latest load report beyond those of this scheduler.
	externalLoad   int
	externalLoadAt time.Time
	// Peak number of attempts in flight since the latest load report, followed
	// by the peaks of the report periods before it.
	peakInFlight [reportLagPeriods]int
	// 0 if the backend server reports no slots.
	reportedSlots       int
	adaptiveLimit       adaptiveLimit
	consecutiveFailures int
	// 0 in full service.
	consecutiveEjections int
	ejectedUntil         time.Time
	// Concurrency limit after an ejection, raised by one with each completed
	// call; 0 in full service.
	rampLimit int
	// Counts the calls to a backend server that takes a limited rate of them, nil
	// without a limit.
	pacer *pacer.Pacer
	// No new work until this time, because of that rate.
	pacedUntil time.Time
	// Whether the process was lost and has shown no sign of life since. It
	// takes no calls then: a connection reset by the dead process would count
	// as a crash of the request. Only set for model engines, which show on
	// their metrics that they are alive again.
	lost bool
	// The suspect for which it takes no other work, or nil.
	reservedFor *call
	prefixes    prefixHistory
	// Cost of the largest call that its process has completed, in tokens.
	largestAnswered int64
	// Cost of the online calls dispatched, with exponential decay by
	// recentCostDecay, as of onlineCostAt.
	onlineCost   float64
	onlineCostAt time.Time
}

// recentOnlineCost returns the cost of the recent online calls, decayed to now.
func (s *server) recentOnlineCost(now time.Time) float64 {
	return s.onlineCost * math.Exp(-float64(now.Sub(s.onlineCostAt))/float64(recentCostDecay))
}

// present returns whether the backend server is in service, even if it is
// ejected at the moment.
func (s *server) present(now time.Time) bool {
	return s.ready && !s.leaving && !now.Before(s.drainUntil)
}

// usable returns whether the backend server may be given work now.
func (s *server) usable(now time.Time) bool {
	return s.present(now) && !s.lost && !now.Before(s.nextUse())
}

// nextUse returns the time before which the backend server may not be given work
// although it is in service: it is ejected, or its rate is used up.
func (s *server) nextUse() time.Time {
	if s.pacedUntil.After(s.ejectedUntil) {
		return s.pacedUntil
	}
	return s.ejectedUntil
}

// countCall counts a call against the rate that the backend server takes.
func (s *server) countCall(now time.Time) {
	if s.pacer != nil {
		s.pacer.Take(now)
		s.pacedUntil = now.Add(s.pacer.Next(now))
	}
}

// LimitNamed records the rate of calls a second that the backend server of an
// attempt takes, as its response says, 0 for no limit.
func (p *Placer) LimitNamed(now time.Time, id string, perSecond float64) {
	a := p.inFlight[id]
	if a == nil {
		return
	}
	s := a.server
	switch {
	case !(perSecond > 0):
		s.pacer, s.pacedUntil = nil, time.Time{}
	case s.pacer == nil:
		s.pacer = pacer.New(now, perSecond)
		s.pacedUntil = now.Add(s.pacer.Next(now))
	default:
		s.pacer.SetRate(now, perSecond)
	}
}

// probing returns whether the next call is the probe after an ejection.
func (s *server) probing() bool { return s.rampLimit == 1 }

// limit returns the number of calls that the backend server may run
// concurrently.
func (s *server) limit() int {
	n := cmp.Or(int(s.service.config.GetLimits().GetSlots()), s.reportedSlots, s.adaptiveLimit.limit())
	if s.rampLimit > 0 {
		return min(n, s.rampLimit)
	}
	return n
}

// freeSlots returns the number of unused slots. It is negative if the limit has
// decreased below the load.
func (s *server) freeSlots() int { return s.limit() - len(s.inFlight) - s.externalLoad }

// youngestPreemptable returns the preemptable attempt that was dispatched last,
// or nil.
func (s *server) youngestPreemptable() *attempt {
	var m *attempt
	for _, a := range s.inFlight {
		if a.call.preemptable() && (m == nil || a.sequence > m.sequence) {
			m = a
		}
	}
	return m
}

// HostUpdated adds or updates a backend server that this scheduler owns.
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
		// A new address means a new process, to which the state of the old one
		// does not apply.
		s.address = host.GetAddress()
		s.process = nil
		s.forgetProcess()
		s.resetHealth()
	}
	s.applyVersion(host.GetVersion())
	s.ready = host.GetReady()
	s.leaving = host.GetLeaving()
	s.released = false
	p.schedule(now, s.service)
	return p.takeDecisions()
}

// HostReleased stops new work to a backend server that another scheduler now
// owns. Its attempts in flight are completed, and it stays known until then, so
// that they still count if the ownership returns.
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

// removeReleased removes the released backend servers that are idle.
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

// HostRemoved removes a backend server that is no longer in the host list. Its
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

// LoadReported records a load report of a backend server: the calls running and
// waiting there, and its slots, 0 if it reports none. The report may lag, and
// calls of this scheduler may have started or ended in the meantime. Only the
// calls beyond the peak number in flight during the lag count as load of other
// schedulers.
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

// ServerAlive records that a backend server has answered a request for its load,
// even if the answer contained none.
func (p *Placer) ServerAlive(now time.Time, name string) []decide.Decision {
	s := p.servers[name]
	if s == nil || !s.lost {
		return nil
	}
	s.lost = false
	p.schedule(now, s.service)
	return p.takeDecisions()
}

// expireExternalLoads discards external loads older than externalLoadLifetime.
func (v *service) expireExternalLoads(now time.Time) {
	for _, s := range v.servers {
		if now.Sub(s.externalLoadAt) > externalLoadLifetime {
			s.externalLoad = 0
		}
	}
}

// recordFailure counts a failure. It ejects the backend server after
// failuresToEject consecutive failures, or on the first one if ejectNow is set
// or the backend server is still ramping up.
func (s *server) recordFailure(now time.Time, ejectNow bool) {
	s.consecutiveFailures++
	if !ejectNow && s.consecutiveFailures < failuresToEject && s.rampLimit == 0 {
		return
	}
	if now.Before(s.ejectedUntil) {
		// It is already ejected; this attempt was in flight at that time.
		return
	}
	s.ejectedUntil = now.Add(min(minEjection<<min(s.consecutiveEjections, 8), maxEjection))
	s.consecutiveEjections++
	s.consecutiveFailures = 0
	s.rampLimit = 1
}

// mayLackMemory reports whether a model engine that has rejected a call as if it were
// full may lack the memory for it: it has not completed one as large, nor have all others
// that have completed any, if it has completed none. Its memory is not known here.
func (s *server) mayLackMemory(call *call) bool {
	c := call.request.GetCostTokens()
	if !s.service.isModel() || c == 0 || c <= s.largestAnswered {
		return false
	}
	n := 0
	for _, x := range s.service.servers {
		if x.largestAnswered > 0 && x.largestAnswered < c {
			return true
		}
		if x.largestAnswered > 0 {
			n++
		}
	}
	return n == 0
}

// recordCompletion records that the backend server has completed a call, and
// raises its limit after an ejection.
func (s *server) recordCompletion(now time.Time) {
	s.lost = false
	s.consecutiveFailures = 0
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
	s.consecutiveFailures = 0
	s.consecutiveEjections = 0
	s.ejectedUntil = time.Time{}
	s.rampLimit = 0
}
