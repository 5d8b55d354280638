package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/crash"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Placer assigns the calls of one scheduler to its backend servers. It is not
// safe for concurrent use.
type Placer struct {
	policy trail.Policy
	// Prefix of all attempt ids. It makes them unique across processes and
	// across restarts of a process.
	attemptIDPrefix string
	// Number of attempts dispatched; the suffix of the latest attempt id.
	attemptCount      uint64
	servers           map[string]*server
	services          map[string]*service
	calls             map[uint64]*call
	callsWithDeadline map[uint64]*call
	// By attempt id.
	inFlight     map[string]*attempt
	crashTracker *poison.Tracker
	// Online calls that lost their backend server before an answer had begun, by
	// the prefixes of their prompts.
	prefixCrashes *crash.Record
	draining      bool
	// Decisions of the current event so far.
	decisions []decide.Decision
}

// New returns a Placer without services and backend servers. The attempt id
// prefix must differ between processes and between starts of a process.
func New(policy trail.Policy, attemptIDPrefix string) *Placer {
	return &Placer{
		policy:            policy,
		attemptIDPrefix:   attemptIDPrefix,
		servers:           map[string]*server{},
		services:          map[string]*service{},
		calls:             map[uint64]*call{},
		callsWithDeadline: map[uint64]*call{},
		inFlight:          map[string]*attempt{},
		crashTracker:      poison.New(),
		prefixCrashes:     crash.New(attemptIDPrefix),
	}
}

// takeDecisions returns the decisions of the current event and clears them for
// the next one.
func (p *Placer) takeDecisions() []decide.Decision {
	l := p.decisions
	p.decisions = nil
	return l
}

// ServicesConfigured applies a new services configuration.
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

// CrashesReported merges the crashes reported by other processes and rejects
// the waiting calls whose fingerprint is rejected because of them.
func (p *Placer) CrashesReported(now time.Time, crashes []*wire.Crash) []decide.Decision {
	p.crashTracker.Merge(now, crashes)
	p.rejectPoisoned(now)
	return p.takeDecisions()
}

// Drain rejects all later calls and the batch calls that are waiting, so that
// another scheduler can run them. Waiting online calls and all calls in flight
// are completed.
func (p *Placer) Drain(time.Time) []decide.Decision {
	p.draining = true
	for _, k := range p.waitingCalls() {
		if !k.online() {
			p.reject(k, codeDraining, minRetryAfter)
		}
	}
	return p.takeDecisions()
}

// Tick applies the changes that depend on time alone: expired deadlines,
// streams without a first token, the return of ejected backend servers, expired
// load reports and the decay of the headroom. It must be called at least every
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

// CallCount returns the number of calls that are waiting or in flight.
func (p *Placer) CallCount() int { return len(p.calls) }

// RecentCrashes returns the crashes seen by this scheduler since the given
// time: the requests that were in flight when their backend server was lost.
func (p *Placer) RecentCrashes(since time.Time) []*wire.Crash {
	return p.crashTracker.LocalCrashes(since)
}

// ensureService returns the named service and creates it if needed.
func (p *Placer) ensureService(name string) *service {
	v := p.services[name]
	if v == nil {
		v = newService(name, p.policy)
		p.services[name] = v
	}
	return v
}

// sortedServices returns the services ordered by name, so that decisions do not
// depend on map order.
func (p *Placer) sortedServices() []*service {
	l := make([]*service, 0, len(p.services))
	for _, v := range p.services {
		l = append(l, v)
	}
	slices.SortFunc(l, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return l
}

// waitingCalls returns the calls that are not in flight, oldest first.
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

// removeUnused removes a service that is not configured and has neither backend
// servers nor calls.
func (p *Placer) removeUnused(service *service) {
	if service.config == nil && len(service.servers) == 0 && service.callCount == 0 {
		delete(p.services, service.name)
	}
}

func (p *Placer) newAttemptID() string {
	p.attemptCount++
	return p.attemptIDPrefix + "." + strconv.FormatUint(p.attemptCount, 36)
}
