package fleet

import (
	"math"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Part of a request's target that it may spend in a backend server's
	// queue; the rest is for the prompt and the first event.
	queueShare = 0.4
	// Part of a service's slots that batch items leave free for the online
	// requests that arrive next.
	headroom = 0.08
	// Callers wait for at most this part of the time that they have left, and
	// come back once.
	returnShare = 1.0 / 3
	// Least part of that time that a refused caller waits. Bursts last for two
	// to three seconds, so the later a caller returns the better, and callers
	// that are spread over the rest do not come together.
	earliestReturn = 0.55
	// The same while no backend server is known, which is soon over.
	earliestRecovery = 0.2
	// Time over which the rate of requests is averaged.
	rateTime = time.Second
)

// Why a backend server was chosen, or none.
const (
	ReasonFree    = "free-slot"
	ReasonYield   = "batch-yields"
	ReasonQueue   = "queue"
	ReasonSuspect = "suspect"
	ReasonFull    = "full"
	ReasonNone    = "no-backend-server"
)

// Take chooses a backend server for an online request and counts it there. The
// target is the time to its first byte within which an answer is on time, and
// left the time that its caller waits at all. It skips the ids in tried.
// Without a server it returns nil; the reason tells why, and the time is when
// the caller may come back. The draw, from 0 up to but not including 1, chooses
// among the servers that requests at other fronts may be sent to at the same
// time, says which of the fronts that see the same place in a queue take it, and
// spreads the callers that come back.
func (f *Fleet) Take(now time.Time, name string, target, left time.Duration, tried []string, draw float64) (*wire.BackendServer, string, time.Duration) {
	f.m.Lock()
	defer f.m.Unlock()
	v := f.service(name)
	v.arrived(now)
	var l []candidate
	// Places left in the queues.
	o := 0
	for _, s := range v.servers {
		u := s.suspect(now)
		if !u && !s.usable(now) || s.b.GetDraining() || contains(tried, s.b.GetId()) {
			continue
		}
		p := f.place(s)
		if u {
			p.tier = tierSuspect
		}
		l = best(l, candidate{s, p})
		o += max(v.depth(s.slots(), target)-max(s.totalOnline()-s.slots(), 0), 0)
	}
	if len(l) == 0 {
		return nil, ReasonNone, wait(left, earliestRecovery, draw)
	}
	n := v.contenders(f.near, f.tellDelay())
	c := first(l)
	if c.p.tier < tierQueue {
		c = spread(l, n, draw)
	}
	b := c.s
	if c.p.tier >= tierQueue && b.totalOnline()-b.slots() >= v.depth(b.slots(), target) {
		return nil, ReasonFull, wait(left, earliestReturn, draw)
	}
	// Fronts that see the same place would all take it.
	if a := float64(o) / n; c.p.tier == tierQueue && draw >= a {
		return nil, ReasonFull, wait(left, earliestReturn, (draw-a)/(1-a))
	}
	b.online++
	return b.b, reasons[c.p.tier], 0
}

// wait returns a time between a part of what a caller waits at most and all of
// it.
func wait(left time.Duration, earliest, draw float64) time.Duration {
	return time.Duration(returnShare * (earliest + (1-earliest)*draw) * float64(max(left, 0)))
}

// depth returns how many online requests may wait at a backend server.
func (v *service) depth(slots int, target time.Duration) int {
	d := float64(slots) * queueShare * float64(target) / float64(max(v.hold, time.Millisecond))
	return int(math.Round(d))
}

// arrived counts a request for the rate at which this front gets them.
func (v *service) arrived(now time.Time) {
	d := now.Sub(v.last)
	v.last = now
	v.rate = v.rate*math.Exp(-d.Seconds()/rateTime.Seconds()) + 1/rateTime.Seconds()
}

// contenders returns how many requests, this one among them, the fronts that
// hear of each other at once place by the same loads: as many as arrive while a
// change of the loads is on its way, if all of them get as many as this one.
func (v *service) contenders(peers int, tellDelay time.Duration) float64 {
	return 1 + v.rate*float64(peers)*tellDelay.Seconds()
}

const (
	tierFree = iota
	tierYield
	tierQueue
	// The server fails what it takes: better than none, worse than one that is
	// full.
	tierSuspect
)

var reasons = [...]string{tierFree: ReasonFree, tierYield: ReasonYield, tierQueue: ReasonQueue, tierSuspect: ReasonSuspect}

// place is how good a backend server is for one more online request.
type place struct {
	tier int
	// Requests that compete with the new one; in the queue tier, those that
	// wait.
	load int
	far  bool
	// Servers of a lower group come first.
	group int
	order uint64
}

func (p place) before(q place) bool {
	if p.tier != q.tier {
		return p.tier < q.tier
	}
	if p.group != q.group {
		return p.group < q.group
	}
	if p.load != q.load {
		return p.load < q.load
	}
	if p.far != q.far {
		return !p.far
	}
	return p.order < q.order
}

func (f *Fleet) place(s *server) place {
	p := place{far: s.b.GetDataCentre() != f.dataCentre, order: s.order}
	switch {
	case s.total() < s.slots():
		p.tier = tierFree
		p.load = s.total()
	case s.totalOnline() < s.slots():
		p.tier = tierYield
		p.load = s.totalOnline()
	default:
		p.tier = tierQueue
		p.load = s.totalOnline() - s.slots()
	}
	if p.far && len(f.peers) > SmallFleet {
		// What is known of it is old.
		p.group = 1
	}
	return p
}

// TakeBatch chooses a backend server with a free slot for a batch item and
// counts it there. It returns nil when no more slots of the service are free
// than the headroom: a batch item that starts there would soon give up its slot
// again, with its prompt read in vain.
func (f *Fleet) TakeBatch(now time.Time, name string) *wire.BackendServer {
	f.m.Lock()
	defer f.m.Unlock()
	var b *server
	var k place
	r, l := 0, 0
	for _, s := range f.service(name).servers {
		if s.suspect(now) || !s.usable(now) {
			continue
		}
		l += s.slots()
		if s.total() >= s.slots() {
			continue
		}
		r += s.slots() - s.total()
		p := f.place(s)
		if b == nil || p.before(k) {
			b, k = s, p
		}
	}
	if b == nil || float64(r) <= headroom*float64(l) {
		return nil
	}
	b.batch++
	return b.b
}

// Excess returns how many batch items this front must take away from a backend
// server, because more requests are there than slots. The fronts with batch
// items there give them up in an order that all compute alike: by data centre,
// where these tell their loads together, and by name.
func (f *Fleet) Excess(id string) int {
	f.m.Lock()
	defer f.m.Unlock()
	s := f.servers[id]
	if s == nil || s.batch == 0 {
		return 0
	}
	x := s.total() - s.slots()
	for n, t := range f.totals {
		if n < f.dataCentre {
			x -= t.servers[s.hash].batch
		}
	}
	for n, p := range f.peers {
		if x <= 0 {
			return 0
		}
		if n < f.self && f.counted(p) {
			x -= batchAt(p.load.GetServers(), s.hash)
		}
	}
	return max(min(x, s.batch), 0)
}

func batchAt(l []*wire.ServerLoad, hash uint64) int {
	for _, s := range l {
		if s.GetServer() == hash {
			return int(s.GetBatch())
		}
	}
	return 0
}

// Done ends an online request that Take has counted. Held is the time in which
// it held a slot to a complete answer, 0 when there was none.
func (f *Fleet) Done(id string, held time.Duration) {
	f.m.Lock()
	defer f.m.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.online = max(s.online-1, 0)
	if held > 0 {
		s.answered()
		v := f.service(s.b.GetService())
		v.hold += time.Duration(holdWeight * float64(held-v.hold))
	}
}

// DoneBatch ends a batch item that TakeBatch has counted.
func (f *Fleet) DoneBatch(id string, answered bool) {
	f.m.Lock()
	defer f.m.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.batch = max(s.batch-1, 0)
	if answered {
		s.answered()
	}
}

func contains(l []string, id string) bool {
	for _, i := range l {
		if i == id {
			return true
		}
	}
	return false
}
