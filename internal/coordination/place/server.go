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
	ejectAfter = 2
	// First ejection; each one that follows lasts twice as long.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// How long the drain mark of a backend server counts without a new one.
	// The host list confirms it before that.
	drainMark = 30 * time.Second
	// A report of other schedulers' load counts so long without a new one.
	externalLifetime = 5 * time.Second
	// Long enough that chance does not show in a backend server's part of the
	// work, short enough to follow a change of load.
	recentDecay = 30 * time.Second
	// Periods between load reports by which a report may lag.
	lagPeriods = 3
)

// server is one backend server.
type server struct {
	name    string
	address string
	v       *service
	ready   bool
	leaving bool
	// Whether another scheduler owns it; it is forgotten once it is idle.
	released bool
	// The time until which its own drain mark stops new work.
	drainUntil time.Time
	// Attempts in flight; online and batch count them by class.
	running map[string]*attempt
	online  int
	batch   int
	// Calls that it reports beyond those of this scheduler.
	external   int
	externalAt time.Time
	// Most attempts in flight in the time before each of the last load
	// reports, and since the last one at index 0.
	peaks [lagPeriods]int
	// Slots that it reports, 0 when it does not.
	reported int
	learned  learned
	// Consecutive failures.
	failures int
	// Consecutive ejections, 0 when it is in full service.
	ejections    int
	ejectedUntil time.Time
	// Calls that it may run after an ejection, 0 in full service. It grows by
	// one with each completed call.
	ramp int
	// Whether it was lost and has shown no life since. A suspect must not test
	// it: a connection that a dead backend server resets would count against
	// the request. Only model engines, which report their load, are marked.
	lost bool
	// The suspect that waits for it to become idle, or nil.
	reserved *call
	prefixes prefixes
	// Cost of the online calls dispatched, each with a weight that falls to
	// 1/e in recentDecay; as of recentAt.
	recent   float64
	recentAt time.Time
}

// recentWork returns the weighted cost of the recent online calls.
func (s *server) recentWork(now time.Time) float64 {
	return s.recent * math.Exp(-float64(now.Sub(s.recentAt))/float64(recentDecay))
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
func (s *server) probing() bool { return s.ramp == 1 }

// limit returns how many calls it may run.
func (s *server) limit() int {
	n := cmp.Or(int(s.v.text.GetLimits().GetSlots()), s.reported, s.learned.limit())
	if s.ramp > 0 {
		return min(n, s.ramp)
	}
	return n
}

// free returns the number of slots without a call.
func (s *server) free() int { return s.limit() - len(s.running) - s.external }

// youngest returns the batch attempt that gives up its slot first, or nil.
func (s *server) youngest() *attempt {
	var m *attempt
	for _, a := range s.running {
		if a.k.preemptable() && (m == nil || a.order > m.order) {
			m = a
		}
	}
	return m
}

// HostSeen adds a backend server of this scheduler or changes it.
func (p *Place) HostSeen(now time.Time, h *wire.Host) []decide.Decision {
	s := p.servers[h.GetName()]
	if s != nil && s.v.name != h.GetService() {
		p.gone(now, s)
		s = nil
	}
	if s == nil {
		s = &server{name: h.GetName(), v: p.service(h.GetService()), running: map[string]*attempt{}}
		p.servers[s.name] = s
		s.v.add(s)
	}
	if s.address != h.GetAddress() {
		// A new process: nothing learned of the old one holds.
		s.address = h.GetAddress()
		s.drainUntil = time.Time{}
		s.prefixes = prefixes{}
		s.recovered()
	}
	s.ready = h.GetReady()
	s.leaving = h.GetLeaving()
	s.released = false
	p.schedule(now, s.v)
	return p.take()
}

// HostReleased stops new work to a backend server that another scheduler owns
// now. What it runs goes on, and its count is kept until then, in case that
// the ownership comes back.
func (p *Place) HostReleased(now time.Time, name string) []decide.Decision {
	s := p.servers[name]
	if s == nil {
		return nil
	}
	s.leaving = true
	s.released = true
	p.schedule(now, s.v)
	p.forgetReleased(now)
	return p.take()
}

// forgetReleased removes the idle backend servers of other schedulers.
func (p *Place) forgetReleased(now time.Time) {
	var l []*server
	for _, s := range p.servers {
		if s.released && len(s.running) == 0 {
			l = append(l, s)
		}
	}
	slices.SortFunc(l, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	for _, s := range l {
		p.gone(now, s)
	}
}

// HostGone forgets a backend server that is not in the host list any more. Its
// attempts end by their own events.
func (p *Place) HostGone(now time.Time, name string) []decide.Decision {
	s := p.servers[name]
	if s == nil {
		return nil
	}
	p.gone(now, s)
	return p.take()
}

func (p *Place) gone(now time.Time, s *server) {
	s.leaving = true
	s.reserved = nil
	delete(p.servers, s.name)
	s.v.servers = slices.DeleteFunc(s.v.servers, func(o *server) bool { return o == s })
	p.schedule(now, s.v)
	p.dropUnused(s.v)
}

// LoadReported takes a backend server's lagging report: calls that run and
// wait there, and its slots, 0 when it names none. Calls of this scheduler may
// have started or ended since, so only what exceeds the most that were in
// flight during the lag counts as the load of others.
func (p *Place) LoadReported(now time.Time, name string, running, waiting, slots int) []decide.Decision {
	s := p.servers[name]
	if s == nil {
		return nil
	}
	s.lost = false
	s.reported = slots
	s.external = max(running+waiting-slices.Max(s.peaks[:]), 0)
	s.externalAt = now
	copy(s.peaks[1:], s.peaks[:])
	s.peaks[0] = len(s.running)
	p.schedule(now, s.v)
	return p.take()
}

// forgetLoads drops old reports of the load of others.
func (v *service) forgetLoads(now time.Time) {
	for _, s := range v.servers {
		if now.Sub(s.externalAt) > externalLifetime {
			s.external = 0
		}
	}
}

// failed counts a failure, and ejects the backend server at the second one or
// at once.
func (s *server) failed(now time.Time, atOnce bool) {
	s.failures++
	if !atOnce && s.failures < ejectAfter && s.ramp == 0 {
		return
	}
	if now.Before(s.ejectedUntil) {
		// Calls that were in flight at the ejection fail with it.
		return
	}
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
	s.failures = 0
	s.ramp = 1
}

// completed counts a call that the backend server ran to its end.
func (s *server) completed(now time.Time) {
	s.lost = false
	s.failures = 0
	if s.ramp == 0 || now.Before(s.ejectedUntil) {
		return
	}
	s.ramp++
	if s.ramp > cmp.Or(int(s.v.text.GetLimits().GetSlots()), s.reported, s.learned.limit()) {
		s.recovered()
	}
}

// recovered returns the backend server to full service.
func (s *server) recovered() {
	s.lost = false
	s.failures = 0
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.ramp = 0
}
