package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Placer holds the calls and backend servers of one scheduler.
type Placer struct {
	policy trail.Policy
	// Begins each attempt id, so that ids differ between processes and starts.
	attemptIDPrefix string
	// Number of attempts dispatched.
	attemptCount uint64
	servers      map[string]*server
	services     map[string]*service
	calls        map[uint64]*call
	// The calls that have a deadline.
	callsWithDeadline map[uint64]*call
	// Attempts in flight by id.
	inFlight     map[string]*attempt
	crashTracker *poison.Tracker
	// Set once Drain was called.
	draining bool
	// Decisions of the current event.
	decisions []decide.Decision
}

// New returns a module without backend servers. Attempt ids begin with prefix,
// which must differ between processes and between starts of a process.
func New(policy trail.Policy, attemptIDPrefix string) *Placer {
	return &Placer{
		policy:            policy,
		attemptIDPrefix:   attemptIDPrefix,
		servers:           map[string]*server{},
		services:          map[string]*service{},
		calls:             map[uint64]*call{},
		callsWithDeadline: map[uint64]*call{},
		inFlight:          map[string]*attempt{},
		crashTracker:      poison.New(poison.DefaultRejectThreshold),
	}
}

// takeDecisions returns the decisions of the event that ends.
func (p *Placer) takeDecisions() []decide.Decision {
	l := p.decisions
	p.decisions = nil
	return l
}

// ServicesConfigured puts a services text in force.
func (p *Placer) ServicesConfigured(now time.Time, config *wire.Text) []decide.Decision {
	n := map[string]bool{}
	for _, s := range config.GetServices() {
		n[s.GetName()] = true
		p.ensureService(s.GetName()).config = s
	}
	for _, v := range p.sortedServices() {
		if !n[v.name] {
			v.config = nil
		}
		p.schedule(now, v)
		p.removeUnused(v)
	}
	return p.takeDecisions()
}

// CrashesReported adds the crashes that other processes have seen.
func (p *Placer) CrashesReported(now time.Time, crashes []*wire.Crash) []decide.Decision {
	p.crashTracker.Merge(now, crashes)
	for _, k := range p.waitingCalls() {
		if p.crashTracker.IsRejected(k.fingerprint) {
			p.reject(k, codePoisoned, 0)
		}
	}
	return p.takeDecisions()
}

// Drain refuses all calls that arrive later and ends the batch calls that
// wait, so that another scheduler can run them. Online calls that wait and all
// calls in flight go on.
func (p *Placer) Drain(time.Time) []decide.Decision {
	p.draining = true
	for _, k := range p.waitingCalls() {
		if !k.online() {
			p.reject(k, codeDraining, minRetryAfter)
		}
	}
	return p.takeDecisions()
}

// Tick does what is due by time alone: deadlines, the return of ejected
// backend servers, and the decay of the headroom. It is due at least every
// 100 ms while calls wait.
func (p *Placer) Tick(now time.Time) []decide.Decision {
	p.endPastDeadline(now)
	p.cancelSilent(now)
	p.removeReleased(now)
	for _, v := range p.sortedServices() {
		v.expireExternalLoads(now)
		p.schedule(now, v)
	}
	return p.takeDecisions()
}

// CallCount returns the number of calls that wait or run.
func (p *Placer) CallCount() int { return len(p.calls) }

// RecentCrashes returns the requests that were running when a backend server
// was lost since a time.
func (p *Placer) RecentCrashes(since time.Time) []*wire.Crash {
	return p.crashTracker.LocalCrashes(since)
}

// ensureService returns the service of a name and creates it if needed.
func (p *Placer) ensureService(name string) *service {
	v := p.services[name]
	if v == nil {
		v = newService(name, p.policy)
		p.services[name] = v
	}
	return v
}

// sortedServices returns the services by name.
func (p *Placer) sortedServices() []*service {
	l := make([]*service, 0, len(p.services))
	for _, v := range p.services {
		l = append(l, v)
	}
	slices.SortFunc(l, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return l
}

// waitingCalls returns the calls that are not in flight, the oldest first.
func (p *Placer) waitingCalls() []*call {
	var l []*call
	for _, k := range p.calls {
		if k.attempt == nil {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b *call) int { return cmp.Compare(a.key, b.key) })
	return l
}

// removeUnused forgets a service that is not in the text and has nothing left.
func (p *Placer) removeUnused(service *service) {
	if service.config == nil && len(service.servers) == 0 && service.callCount == 0 {
		delete(p.services, service.name)
	}
}

func (p *Placer) newAttemptID() string {
	p.attemptCount++
	return p.attemptIDPrefix + "." + strconv.FormatUint(p.attemptCount, 36)
}
