package fleet

import (
	"math"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Part of a request's target that it may spend in a backend server's
	// queue; the rest is for the prompt and the first event.
	queueTimeShare = 0.4
	// Part of a service's slots that batch items leave free for the online
	// requests that arrive next.
	onlineHeadroom = 0.08
	// Callers wait for at most this part of the time that they have left, and
	// come back once.
	retryAfterShare = 1.0 / 3
	// Least part of that time that a refused caller waits. Bursts last for two
	// to three seconds, so the later a caller returns the better, and callers
	// that are spread over the rest do not come together.
	minOverloadWaitShare = 0.55
	// The same while no backend server is known, which is soon over.
	minNoServerWaitShare = 0.2
	// Time over which the rate of requests is averaged.
	arrivalRateWindow = time.Second
)

// Why a backend server was chosen, or none.
const (
	ReasonFree     = "free-slot"
	ReasonPreempt  = "batch-yields"
	ReasonQueue    = "queue"
	ReasonSuspect  = "suspect"
	ReasonFull     = "full"
	ReasonNoServer = "no-backend-server"
)

// AcquireOnline chooses a backend server for an online request and counts it there. The
// target is the time to its first byte within which an answer is on time, and
// left the time that its caller waits at all. It skips the ids in tried.
// Without a server it returns nil; the reason tells why, and the time is when
// the caller may come back. The draw, from 0 up to but not including 1, chooses
// among the servers that requests at other fronts may be sent to at the same
// time, says which of the fronts that see the same place in a queue take it, and
// spreads the callers that come back.
func (f *Fleet) AcquireOnline(now time.Time, serviceName string, target, remaining time.Duration, tried []string, draw float64) (*wire.BackendServer, string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.service(serviceName)
	v.recordArrival(now)
	var l []candidate
	// Places left in the queues.
	o := 0
	for _, s := range v.servers {
		u := s.suspect(now)
		if !u && !s.usable(now) || s.entry.GetDraining() || contains(tried, s.entry.GetId()) {
			continue
		}
		p := f.rank(s)
		if u {
			p.tier = tierSuspect
		}
		l = keepBest(l, candidate{s, p})
		o += max(v.maxQueueDepth(s.slots(), target)-max(s.totalOnline()-s.slots(), 0), 0)
	}
	if len(l) == 0 {
		return nil, ReasonNoServer, retryAfter(remaining, minNoServerWaitShare, draw)
	}
	n := v.concurrentPlacements(f.immediatePeers, f.propagationDelay())
	c := leastLoaded(l)
	if c.rank.tier < tierQueue {
		c = spread(l, n, draw)
	}
	b := c.server
	if c.rank.tier >= tierQueue && b.totalOnline()-b.slots() >= v.maxQueueDepth(b.slots(), target) {
		return nil, ReasonFull, retryAfter(remaining, minOverloadWaitShare, draw)
	}
	// Fronts that see the same place would all take it.
	if a := float64(o) / n; c.rank.tier == tierQueue && draw >= a {
		return nil, ReasonFull, retryAfter(remaining, minOverloadWaitShare, (draw-a)/(1-a))
	}
	b.online++
	return b.entry, tierReasons[c.rank.tier], 0
}

// retryAfter returns a time between a part of what a caller waits at most and all of
// it.
func retryAfter(remaining time.Duration, minShare, draw float64) time.Duration {
	return time.Duration(retryAfterShare * (minShare + (1-minShare)*draw) * float64(max(remaining, 0)))
}

// maxQueueDepth returns how many online requests may wait at a backend server.
func (v *service) maxQueueDepth(slots int, target time.Duration) int {
	d := float64(slots) * queueTimeShare * float64(target) / float64(max(v.meanServiceTime, time.Millisecond))
	return int(math.Round(d))
}

// recordArrival counts a request for the rate at which this front gets them.
func (v *service) recordArrival(now time.Time) {
	d := now.Sub(v.lastArrival)
	v.lastArrival = now
	v.arrivalRate = v.arrivalRate*math.Exp(-d.Seconds()/arrivalRateWindow.Seconds()) + 1/arrivalRateWindow.Seconds()
}

// concurrentPlacements returns how many requests, this one among them, the fronts that
// hear of each other at once place by the same loads: as many as arrive while a
// change of the loads is on its way, if all of them get as many as this one.
func (v *service) concurrentPlacements(peers int, propagationDelay time.Duration) float64 {
	return 1 + v.arrivalRate*float64(peers)*propagationDelay.Seconds()
}

const (
	tierFree = iota
	tierPreempt
	tierQueue
	// The server fails what it takes: better than none, worse than one that is
	// full.
	tierSuspect
)

var tierReasons = [...]string{tierFree: ReasonFree, tierPreempt: ReasonPreempt, tierQueue: ReasonQueue, tierSuspect: ReasonSuspect}

// rank is how good a backend server is for one more online request.
type rank struct {
	tier int
	// Requests that compete with the new one; in the queue tier, those that
	// wait.
	load   int
	remote bool
	// Servers of a lower group come first.
	staleness int
	tieBreak  uint64
}

func (p rank) before(other rank) bool {
	if p.tier != other.tier {
		return p.tier < other.tier
	}
	if p.staleness != other.staleness {
		return p.staleness < other.staleness
	}
	if p.load != other.load {
		return p.load < other.load
	}
	if p.remote != other.remote {
		return !p.remote
	}
	return p.tieBreak < other.tieBreak
}

func (f *Fleet) rank(server *server) rank {
	p := rank{remote: server.entry.GetDataCentre() != f.dataCentre, tieBreak: server.tieBreak}
	switch {
	case server.total() < server.slots():
		p.tier = tierFree
		p.load = server.total()
	case server.totalOnline() < server.slots():
		p.tier = tierPreempt
		p.load = server.totalOnline()
	default:
		p.tier = tierQueue
		p.load = server.totalOnline() - server.slots()
	}
	if p.remote && len(f.peers) > SmallFleetPeers {
		// What is known of it is old.
		p.staleness = 1
	}
	return p
}

// AcquireBatch chooses a backend server with a free slot for a batch item and
// counts it there. It returns nil when no more slots of the service are free
// than the headroom: a batch item that starts there would soon give up its slot
// again, with its prompt read in vain.
func (f *Fleet) AcquireBatch(now time.Time, serviceName string) *wire.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b *server
	var k rank
	r, l := 0, 0
	for _, s := range f.service(serviceName).servers {
		if s.suspect(now) || !s.usable(now) {
			continue
		}
		l += s.slots()
		if s.total() >= s.slots() {
			continue
		}
		r += s.slots() - s.total()
		p := f.rank(s)
		if b == nil || p.before(k) {
			b, k = s, p
		}
	}
	if b == nil || float64(r) <= onlineHeadroom*float64(l) {
		return nil
	}
	b.batch++
	return b.entry
}

// BatchExcess returns how many batch items this front must take away from a backend
// server, because more requests are there than slots. The fronts with batch
// items there give them up in an order that all compute alike: by data centre,
// where these tell their loads together, and by name.
func (f *Fleet) BatchExcess(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.batch == 0 {
		return 0
	}
	x := s.total() - s.slots()
	for n, t := range f.dataCentreLoads {
		if n < f.dataCentre {
			x -= t.servers[s.idHash].batch
		}
	}
	for n, p := range f.peers {
		if x <= 0 {
			return 0
		}
		if n < f.self && f.countedIndividually(p) {
			x -= batchAt(p.load.GetServers(), s.idHash)
		}
	}
	return max(min(x, s.batch), 0)
}

func batchAt(loads []*wire.ServerLoad, idHash uint64) int {
	for _, s := range loads {
		if s.GetServer() == idHash {
			return int(s.GetBatch())
		}
	}
	return 0
}

// ReleaseOnline ends an online request that Take has counted. Held is the time in which
// it held a slot to a complete answer, 0 when there was none.
func (f *Fleet) ReleaseOnline(id string, serviceTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.online = max(s.online-1, 0)
	if serviceTime > 0 {
		s.recordSuccess()
		v := f.service(s.entry.GetService())
		v.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-v.meanServiceTime))
	}
}

// ReleaseBatch ends a batch item that TakeBatch has counted.
func (f *Fleet) ReleaseBatch(id string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.batch = max(s.batch-1, 0)
	if answered {
		s.recordSuccess()
	}
}

func contains(ids []string, id string) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}
