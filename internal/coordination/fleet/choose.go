package fleet

import (
	"math"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Share of a request's latency target that it may spend in the queue of a
	// backend server; the rest is for the prompt and the first event.
	queueTimeShare = 0.4
	// Share of a service's slots that batch items leave free for the next
	// online requests.
	onlineHeadroom = 0.08
	// Refused callers wait for at most this share of their remaining time, and
	// retry once.
	retryAfterShare = 1.0 / 3
	// Minimum share of the longest wait for a caller refused because of
	// overload. Bursts last for two to three seconds, so later retries are more
	// likely to succeed; spreading them over the rest of the time keeps them
	// from arriving together.
	minOverloadWaitShare = 0.55
	// Minimum share while no backend server is available, which does not last
	// long.
	minNoServerWaitShare = 0.2
	// Time constant of the average of the arrival rate.
	arrivalRateWindow = time.Second
)

// Reasons for the choice of a backend server, or for choosing none.
const (
	ReasonFree     = "free-slot"
	ReasonPreempt  = "batch-yields"
	ReasonLimited  = "limited-server"
	ReasonQueue    = "queue"
	ReasonSuspect  = "suspect"
	ReasonFull     = "full"
	ReasonNoServer = "no-backend-server"
	ReasonPaused   = "limits-used-up"
	ReasonMemory   = "memory-full"
	ReasonReserved = "reserved"
)

// AcquireOnline chooses a backend server for an online request and counts the
// request there. It returns the server and the reason for its choice. Only servers
// that accepts returns true for are considered, all if it is nil; listed says whether
// the entry describes the server's process. accepts must not block or call the fleet.
// If no server can take the request, AcquireOnline returns nil, the reason, and the
// time after which the caller may retry.
//
// An answer is on time if its first byte arrives within target; remaining is how
// long the caller waits in total. The random number draw, in [0, 1), balances
// requests over the servers that other fronts may choose at the same time,
// decides which of the fronts that see the same free queue place take it, and
// spreads retries.
func (f *Fleet) AcquireOnline(now time.Time, serviceName string, target, remaining time.Duration, accepts func(entry *wire.BackendServer, listed bool) bool, draw float64, options ...option) (*wire.BackendServer, string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.service(serviceName)
	v.recordArrival(now)
	f.updateCapacities(now, v, target)
	z := f.tokenCheck(now, v, options, 0)
	d := f.demandOf(now, v, options)
	var l []candidate
	// Free places in the queues of all candidates.
	o := 0
	// When the first of the servers that are paused by their limits takes a
	// request, zero if there is none.
	var a time.Time
	for _, s := range v.servers {
		u := s.suspect(now)
		if !u && !s.usable(now) || s.departing() || accepts != nil && !accepts(s.entry, s.isListed()) {
			continue
		}
		if s.paused(now) {
			a = earliest(a, s.limit.pausedUntil)
			continue
		}
		if !z.fits(s) {
			z.lacking = z.lacking || !u
			continue
		}
		p := f.rank(s)
		if u {
			p.tier = tierSuspect
		}
		l = keepBest(l, candidate{s, p})
		o += max(v.queueDepth(s, target)-max(s.totalOnline()-s.slots(), 0), 0)
	}
	if r, w := v.unplaceable(now, l, a, z.lacking, remaining, draw); r != "" {
		return nil, r, w
	}
	n := v.concurrentPlacements(f.immediatePeers, f.propagationDelay())
	c := bestRanked(l)
	if c.rank.tier < tierQueue {
		c = spread(l, n, draw)
	}
	b := c.server
	if !v.leavesReserve(now, d, c.rank.tier) {
		return nil, ReasonReserved, v.overloadWait(remaining, draw)
	}
	if c.rank.tier >= tierQueue && b.totalOnline()-b.slots() >= v.queueDepth(b, target) {
		return nil, ReasonFull, v.overloadWait(remaining, draw)
	}
	// If several fronts see the same free places, each takes one only with the
	// probability that there are enough for all.
	if p := d.Chance(float64(o) / n); c.rank.tier == tierQueue && draw >= p {
		return nil, ReasonFull, v.overloadWait(remaining, (draw-p)/(1-p))
	}
	b.online++
	v.countTokens(b, z.tokens)
	f.countTeam(options)
	return b.entry, tierReasons[c.rank.tier], 0
}

// unplaceable returns why a request can't be placed at any of the candidates, and the
// time after which the caller may retry; no reason if it can. pausedUntil is when the
// first server paused by its limit takes a request, zero if there is none, and lacking
// says that a server that could take the request lacks the memory at the moment.
func (v *service) unplaceable(now time.Time, candidates []candidate, pausedUntil time.Time, lacking bool, remaining time.Duration, draw float64) (string, time.Duration) {
	switch {
	case len(candidates) == 0 && !pausedUntil.IsZero():
		return ReasonPaused, max(pausedUntil.Sub(now), retryAfter(remaining, minNoServerWaitShare, draw))
	case lacking && (len(candidates) == 0 || candidates[0].rank.tier == tierSuspect):
		return ReasonMemory, v.overloadWait(remaining, draw)
	case len(candidates) == 0:
		return ReasonNoServer, retryAfter(remaining, minNoServerWaitShare, draw)
	}
	return "", 0
}

// retryAfter returns how long a refused caller waits. The longest wait is
// retryAfterShare of its remaining time; draw chooses between minShare and all
// of that.
func retryAfter(remaining time.Duration, minShare, draw float64) time.Duration {
	return time.Duration(retryAfterShare * (minShare + (1-minShare)*draw) * float64(max(remaining, 0)))
}

// maxQueueDepth returns how many online requests may wait at a backend server
// and still meet target.
func (v *service) maxQueueDepth(slots int, target time.Duration) int {
	d := float64(slots) * queueTimeShare * float64(target) / float64(max(v.meanServiceTime, time.Millisecond))
	return int(math.Round(d))
}

// recordArrival updates the rate at which this front receives requests.
func (v *service) recordArrival(now time.Time) {
	d := now.Sub(v.lastArrival)
	v.lastArrival = now
	v.arrivalRate = v.arrivalRate*math.Exp(-d.Seconds()/arrivalRateWindow.Seconds()) + 1/arrivalRateWindow.Seconds()
}

// concurrentPlacements estimates how many requests, including this one, this
// front and its immediate peers place by the same loads: those that arrive
// while a load change propagates, if all fronts receive requests at the same
// rate.
func (v *service) concurrentPlacements(peers int, propagationDelay time.Duration) float64 {
	return 1 + v.arrivalRate*float64(peers)*propagationDelay.Seconds()
}

const (
	// The server takes a limited rate of requests, and the request is an item.
	tierItem = iota
	// The server has a free slot.
	tierFree
	// The server has a free slot, and takes a limited rate of requests.
	tierLimited
	tierPreempt
	tierQueue
	// The server answers with failures: better than none, worse than a full one.
	tierSuspect
)

var tierReasons = [...]string{tierFree: ReasonFree, tierPreempt: ReasonPreempt, tierLimited: ReasonLimited, tierQueue: ReasonQueue, tierSuspect: ReasonSuspect}

// rank says how suitable a backend server is for one more online request.
type rank struct {
	tier int
	// Requests at the server that compete with the new one, by its speed; in
	// tierQueue, only those that wait.
	load   float64
	remote bool
	// 1 if the known load of the server is stale, else 0.
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
		p.load = f.expectedWait(server, tierFree, server.total())
	case server.totalOnline() < server.slots():
		p.tier = tierPreempt
		p.load = f.expectedWait(server, tierPreempt, server.totalOnline())
	default:
		p.tier = tierQueue
		p.load = f.expectedWait(server, tierQueue, server.totalOnline()-server.slots())
	}
	if server.limited() && p.tier == tierFree {
		p.tier = tierLimited
	}
	if p.remote && len(f.peers) > SmallFleetPeers {
		// Loads of remote data centres arrive with heartbeats only.
		p.staleness = 1
	}
	return p
}

// itemRank is rank for a batch item on a server with a free slot.
func (f *Fleet) itemRank(server *server) rank {
	p := f.rank(server)
	if server.limited() {
		p.tier = tierItem
	}
	return p
}

// AcquireBatch chooses a backend server with a free slot for a batch item and
// counts the item there. It returns nil when no more slots of the service are
// free than onlineHeadroom: a batch item started there would soon be preempted,
// and the work on its prompt lost. Only servers that accepts returns true for are
// chosen, as in AcquireOnline.
//
// A server with a limit comes first. Its slots are mostly free, since the limit
// counts requests and not their length, and items are longer than online
// requests. Its slots are no headroom for these, unless all servers have a limit.
func (f *Fleet) AcquireBatch(now time.Time, serviceName string, accepts func(entry *wire.BackendServer, listed bool) bool, options ...option) *wire.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b *server
	var k rank
	r, l := 0, 0
	v := f.service(serviceName)
	u := v.hasUnlimited(now)
	f.updateCapacities(now, v, 0)
	z := f.tokenCheck(now, v, options, itemReserveSlots)
	for _, s := range v.servers {
		if s.suspect(now) || !s.usable(now) {
			continue
		}
		if !u || !s.limited() {
			l += s.servedSlots()
			r += max(s.servedSlots()-s.total(), 0)
		}
		if s.total() >= s.servedSlots() || s.paused(now) || accepts != nil && !accepts(s.entry, s.isListed()) {
			continue
		}
		if !z.fits(s) {
			continue
		}
		p := f.itemRank(s)
		if b == nil || p.before(k) {
			b, k = s, p
		}
	}
	if b == nil || float64(r) <= onlineHeadroom*float64(l) {
		return nil
	}
	b.batch++
	v.countTokens(b, z.tokens)
	return b.entry
}

// hasUnlimited reports whether a usable server of the service has no limit.
func (v *service) hasUnlimited(now time.Time) bool {
	for _, s := range v.servers {
		if !s.limited() && !s.suspect(now) && s.usable(now) {
			return true
		}
	}
	return false
}

// BatchExcess returns how many batch items this front must preempt at a backend
// server that has more requests than slots. All fronts compute the same order in
// which they preempt: by data centre where loads are aggregated, otherwise by
// front name.
func (f *Fleet) BatchExcess(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.batch == 0 {
		return 0
	}
	x := max(s.total()-s.slots(), s.memoryExcess())
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

// earliest returns the earlier of two times; a zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// ReleaseOnline ends an online request that AcquireOnline has counted.
// serviceTime is how long the request held a slot until its complete answer, or
// 0 if it has no complete answer. The options are those of AcquireOnline.
func (f *Fleet) ReleaseOnline(id string, serviceTime time.Duration, options ...option) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseTeam(options)
	s := f.servers[id]
	if s == nil {
		return
	}
	s.online = max(s.online-1, 0)
	s.releaseTokens(newPlacement(options).tokens)
	if serviceTime > 0 {
		s.recordSuccess()
		v := f.service(s.entry.GetService())
		v.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-v.meanServiceTime))
	}
}

// ReleaseBatch ends a batch item that AcquireBatch has counted. answered says
// whether its answer was complete. The options are those of AcquireBatch.
func (f *Fleet) ReleaseBatch(id string, answered bool, options ...option) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.batch = max(s.batch-1, 0)
	s.releaseTokens(newPlacement(options).tokens)
	if answered {
		s.recordSuccess()
	}
}
