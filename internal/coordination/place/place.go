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

// Place holds the calls and backend servers of one scheduler.
type Place struct {
	policy trail.Policy
	// Begins each attempt id, so that ids differ between processes and starts.
	prefix string
	// Number of attempts dispatched.
	attempts uint64
	servers  map[string]*server
	services map[string]*service
	calls    map[uint64]*call
	// The calls that have a deadline.
	bounded map[uint64]*call
	// Attempts in flight by id.
	running map[string]*attempt
	crashes *poison.Tracker
	// Set once Drain was called.
	draining bool
	// Decisions of the current event.
	out []decide.Decision
}

// New returns a module without backend servers. Attempt ids begin with prefix,
// which must differ between processes and between starts of a process.
func New(policy trail.Policy, prefix string) *Place {
	return &Place{
		policy:   policy,
		prefix:   prefix,
		servers:  map[string]*server{},
		services: map[string]*service{},
		calls:    map[uint64]*call{},
		bounded:  map[uint64]*call{},
		running:  map[string]*attempt{},
		crashes:  poison.New(poison.DefaultRejectThreshold),
	}
}

// take returns the decisions of the event that ends.
func (p *Place) take() []decide.Decision {
	l := p.out
	p.out = nil
	return l
}

// Configured puts a services text in force.
func (p *Place) Configured(now time.Time, text *wire.Text) []decide.Decision {
	n := map[string]bool{}
	for _, s := range text.GetServices() {
		n[s.GetName()] = true
		p.service(s.GetName()).text = s
	}
	for _, v := range p.sorted() {
		if !n[v.name] {
			v.text = nil
		}
		p.schedule(now, v)
		p.dropUnused(v)
	}
	return p.take()
}

// Crashes adds the crashes that other processes have seen.
func (p *Place) Crashes(now time.Time, l []*wire.Crash) []decide.Decision {
	p.crashes.Merge(now, l)
	for _, k := range p.waiting() {
		if p.crashes.IsRejected(k.fingerprint) {
			p.reject(k, codePoisoned, 0)
		}
	}
	return p.take()
}

// Drain refuses all calls that arrive later and ends the batch calls that
// wait, so that another scheduler can run them. Online calls that wait and all
// calls in flight go on.
func (p *Place) Drain(time.Time) []decide.Decision {
	p.draining = true
	for _, k := range p.waiting() {
		if !k.online() {
			p.reject(k, codeDraining, minRetryAfter)
		}
	}
	return p.take()
}

// Tick does what is due by time alone: deadlines, the return of ejected
// backend servers, and the decay of the headroom. It is due at least every
// 100 ms while calls wait.
func (p *Place) Tick(now time.Time) []decide.Decision {
	p.expire(now)
	p.endSilent(now)
	p.forgetReleased(now)
	for _, v := range p.sorted() {
		v.forgetLoads(now)
		p.schedule(now, v)
	}
	return p.take()
}

// Calls returns the number of calls that wait or run.
func (p *Place) Calls() int { return len(p.calls) }

// RecentCrashes returns the requests that were running when a backend server
// was lost since a time.
func (p *Place) RecentCrashes(since time.Time) []*wire.Crash { return p.crashes.LocalCrashes(since) }

// service returns the service of a name and creates it if needed.
func (p *Place) service(name string) *service {
	v := p.services[name]
	if v == nil {
		v = newService(name, p.policy)
		p.services[name] = v
	}
	return v
}

// sorted returns the services by name.
func (p *Place) sorted() []*service {
	l := make([]*service, 0, len(p.services))
	for _, v := range p.services {
		l = append(l, v)
	}
	slices.SortFunc(l, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return l
}

// waiting returns the calls that are not in flight, the oldest first.
func (p *Place) waiting() []*call {
	var l []*call
	for _, k := range p.calls {
		if k.a == nil {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b *call) int { return cmp.Compare(a.key, b.key) })
	return l
}

// dropUnused forgets a service that is not in the text and has nothing left.
func (p *Place) dropUnused(v *service) {
	if v.text == nil && len(v.servers) == 0 && v.calls == 0 {
		delete(p.services, v.name)
	}
}

func (p *Place) attemptID() string {
	p.attempts++
	return p.prefix + "." + strconv.FormatUint(p.attempts, 36)
}
