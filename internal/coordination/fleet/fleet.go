package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/coordination/speed"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A front that has sent no datagram for this long is presumed dead. The
	// heartbeat interval is 250 ms.
	peerTimeout = 2 * time.Second
	// Weight of the newest sample in the moving average of the service time,
	// the time for which a request holds a slot.
	serviceTimeWeight = 0.05
	// Entries that disappear within this time count as one mass expiry. In a
	// rolling replacement servers disappear further apart.
	massExpiryWindow = 400 * time.Millisecond
	// Load changes within this time of the last datagram are sent together.
	baseCoalescingWindow = 8 * time.Millisecond
	// Added to baseCoalescingWindow for each immediate peer beyond
	// SmallFleetPeers.
	coalescingWindowPerPeer = time.Millisecond
	// Minimum coalescing window in a large fleet while more slots are free than
	// taken: up-to-date loads matter little then, and each datagram goes to
	// many fronts.
	lowLoadCoalescingWindow = 80 * time.Millisecond
	// Time from sending a datagram until its receivers use it in decisions.
	datagramDelay = 8 * time.Millisecond
	// Assumed mean service time before the first answer.
	initialServiceTime = 500 * time.Millisecond
)

const (
	// A platform that has confirmed the list within this time is considered
	// available.
	recentConfirmation = 2 * time.Second
	// A removed server goes on serving for at least two seconds, so it is used for
	// at most this long.
	removedServerUse = 1700 * time.Millisecond
)

// ExpiryGrace is the time for which expired entries of backend servers are kept
// after an outage of the platform. Entries that expired in the outage, at most
// two seconds ago, are registered again within this time.
const ExpiryGrace = 2200 * time.Millisecond

// SmallFleetPeers is the number of other fronts up to which each load change is
// sent to all of them at once. In larger fleets other data centres receive loads
// with heartbeats only, so their loads are stale, and backend servers of the
// local data centre are preferred.
const SmallFleetPeers = 12

// Fleet tracks the load of all backend servers as known to this front. Its
// methods are safe for concurrent use.
type Fleet struct {
	self       string
	dataCentre string

	mu sync.Mutex
	// By backend server id.
	servers map[string]*server
	// By the hash that identifies a server in datagrams.
	serversByHash map[uint64]*server
	services      map[string]*service
	// Other fronts by name.
	peers map[string]*peer
	// Other fronts by the hash of their name.
	peersByHash map[uint64]*peer
	// Aggregated loads of other data centres in a large fleet, by data centre.
	dataCentreLoads map[string]*dataCentreLoad
	// When processes of backend servers have said that they are about to stop.
	leavingMarks map[serverProcess]time.Time
	// How often a backend server has named another limit to this front.
	limitChanges uint64
	// This front stops.
	leaving bool
	// Whether the capacity of the servers is learned, and samples to be sent.
	learning bool
	samples  []sample
	// Number of peers to which load changes are sent at once.
	immediatePeers int
	// When another front may last have presumed this one dead.
	lastPresumedDead time.Time
	// When this process last went on after it had stood still.
	awakeSince time.Time
	// When fronts timed out without having announced that they stop, by name.
	lostPeers         map[string]time.Time
	lastLivenessCheck time.Time
	counters          rateCounters
	// Online requests in flight from this front.
	teamLoads map[teamKey]int
}

// server is one backend server.
type server struct {
	entry  *wire.BackendServer
	idHash uint64
	// Start of its process in Unix milliseconds, by its own word since the entry names
	// a process; 0 if it was not asked since then.
	born int64
	// Orders servers that are otherwise equal; differs between fronts so that
	// they don't all choose the same server.
	tieBreak uint64
	// Its process has said that it is about to stop.
	leaving bool
	limit   rateLimit
	memory  memory
	// Zero unless the fleet learns.
	capacity capacity
	// Tokens of the largest request that its process has answered to this front.
	largestAnswered int64
	// Requests in flight from this front.
	online, batch int
	// Requests in flight from other fronts.
	remoteOnline, remoteBatch int
	// Tokens of the requests in flight from this front and from others, as far as they
	// state them.
	ownTokens, remoteTokens int64
	// Whether this front gives out the margin of the memory, as of a time.
	givesOutMargin  bool
	marginCheckedAt time.Time
	// After a failure the server is not used before this time.
	backoffUntil time.Time
	// Failures since the last successful answer.
	failures int
	// The server has answered with a failure and not successfully since.
	failing bool
	// Number of other fronts, or aggregated data centres, that report the
	// server as failing.
	remoteFailing int
	// When a server that is missing from the newest list is dropped; zero while
	// it is listed.
	dropAt time.Time
}

func (s *server) totalOnline() int { return s.online + s.remoteOnline }

func (s *server) total() int { return s.online + s.remoteOnline + s.batch + s.remoteBatch }

func (s *server) slots() int { return max(int(s.entry.GetSlots()), 1) }

// service is a group of interchangeable backend servers.
type service struct {
	// Sorted by id.
	servers []*server
	// Moving average of the time for which an online request holds a slot.
	meanServiceTime time.Duration
	// Requests a second received by this front, averaged as of lastArrival.
	arrivalRate float64
	lastArrival time.Time
	// Servers that disappeared without draining since expiryWindowStart.
	expired           int
	expiryWindowStart time.Time
	memory            memoryRange
	// Sizes of the requests that state their tokens.
	sizes tokenSizes
	// Estimates of the servers, nil unless the fleet learns; when they were last taken
	// over; and the latest first byte of an online request that need not wait.
	model        *speed.Model
	capacitiesAt time.Time
	firstBound   time.Duration
	// When a request of a priority last asked for a server.
	priorities map[int32]time.Time
}

// New returns an empty fleet for the front named self.
func New(self, dataCentre string) *Fleet {
	return &Fleet{
		self: self, dataCentre: dataCentre,
		servers: map[string]*server{}, serversByHash: map[uint64]*server{},
		services: map[string]*service{}, leavingMarks: map[serverProcess]time.Time{},
		peers: map[string]*peer{}, peersByHash: map[uint64]*peer{}, dataCentreLoads: map[string]*dataCentreLoad{}, lostPeers: map[string]time.Time{},
		teamLoads: map[teamKey]int{},
	}
}

// SetServers replaces the list of backend servers.
//
// A server that is missing from the new list is dropped at keepUntil. That time
// lies in the past unless the platform was unavailable: entries that expired in
// the outage are registered again within seconds. If most servers of a service
// disappear together, an outage is assumed, and they are kept for ExpiryGrace.
//
// The platform confirmed the previous list at confirmedAt. If that is recent,
// the missing servers may have been removed on purpose since then, and are kept
// no longer than a removed server goes on serving.
//
// SetServers returns when it must be called again to drop the kept servers, or
// zero if none are kept.
func (f *Fleet) SetServers(now time.Time, entries []*wire.BackendServer, confirmedAt, keepUntil time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := map[string]bool{}
	for _, b := range entries {
		n[b.GetId()] = true
		f.upsert(b)
	}
	var a time.Time
	for _, v := range f.services {
		k := keepUntil
		if v.massExpired(now, n) {
			k = latest(k, massExpiryDeadline(now, confirmedAt))
		}
		a = latest(a, f.dropUnlisted(now, v, n, k))
	}
	f.expireLeavingMarks(now)
	f.groupByService()
	f.syncModels(now)
	f.recountRemote()
	return a
}

// massExpired reports whether at least half of a service's servers, and more
// than one, disappeared within massExpiryWindow without draining first.
func (v *service) massExpired(now time.Time, listed map[string]bool) bool {
	m := 0
	for _, s := range v.servers {
		if !listed[s.entry.GetId()] && !s.departing() && s.dropAt.IsZero() {
			m++
		}
	}
	if m == 0 {
		return false
	}
	if now.Sub(v.expiryWindowStart) > massExpiryWindow {
		v.expiryWindowStart = now
		v.expired = 0
	}
	v.expired += m
	return v.expired > 1 && 2*v.expired >= len(v.servers)
}

// massExpiryDeadline returns until when servers that disappeared together are
// kept. If the platform answered recently, they may have been removed on
// purpose.
func massExpiryDeadline(now, confirmedAt time.Time) time.Time {
	if now.Sub(confirmedAt) > recentConfirmation {
		return now.Add(ExpiryGrace)
	}
	return confirmedAt.Add(removedServerUse)
}

// LapsedUntil returns until when servers that are missing from the list are used
// because their entries may have lapsed in an outage of the platform, for
// SetServers. ongoing and endedAt tell of the last outage that this front knows
// of; endedAt is zero if there was none. The platform confirmed the previous list
// at confirmedAt.
//
// Only the list that ends an outage shows entries that lapsed in it. An entry that
// goes missing otherwise was reported by the platform, even if this front still
// assumes an outage: the server may have been removed just now.
func LapsedUntil(now, confirmedAt time.Time, ongoing bool, endedAt time.Time) time.Time {
	r := now.Add(removedServerUse)
	l := endedAt.Add(ExpiryGrace)
	switch {
	case ongoing:
		return r
	case endedAt.IsZero():
		return now
	case confirmedAt.Before(endedAt) || l.Before(r):
		return l
	}
	return r
}

// dropUnlisted removes the unlisted servers of a service whose dropAt has
// passed. It returns the latest dropAt of those that it keeps.
func (f *Fleet) dropUnlisted(now time.Time, service *service, listed map[string]bool, keepUntil time.Time) time.Time {
	var a time.Time
	for _, s := range service.servers {
		if listed[s.entry.GetId()] {
			continue
		}
		if s.dropAt.IsZero() {
			s.dropAt = keepUntil
		}
		if now.Before(s.dropAt) {
			a = latest(a, s.dropAt)
			continue
		}
		delete(f.servers, s.entry.GetId())
		delete(f.serversByHash, s.idHash)
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Fleet) upsert(entry *wire.BackendServer) {
	s := f.servers[entry.GetId()]
	if s == nil {
		s = &server{idHash: hashOf(entry.GetId()), tieBreak: xxhash.Sum64String(f.self + "/" + entry.GetId())}
		f.servers[entry.GetId()] = s
		f.serversByHash[s.idHash] = s
	}
	if s.entry.GetBorn() != entry.GetBorn() || s.entry.GetAddress() != entry.GetAddress() {
		// Another process, which has not failed.
		s.born = 0
		s.backoffUntil, s.failures, s.failing = time.Time{}, 0, false
		s.largestAnswered = 0
		if s.limit.born != entry.GetBorn() {
			s.limit = rateLimit{}
		}
		if s.memory.born != entry.GetBorn() {
			s.memory = memory{}
		}
	}
	s.entry = entry
	s.leaving = f.isMarkedLeaving(s)
	s.dropAt = time.Time{}
}

// groupByService rebuilds the sorted list of servers of each service.
func (f *Fleet) groupByService() {
	for _, v := range f.services {
		v.servers = nil
	}
	for _, s := range f.servers {
		v := f.service(s.entry.GetService())
		v.servers = append(v.servers, s)
	}
	for _, v := range f.services {
		slices.SortFunc(v.servers, func(a, b *server) int { return cmp.Compare(a.entry.GetId(), b.entry.GetId()) })
		v.updateMemory()
	}
}

func (f *Fleet) service(name string) *service {
	v := f.services[name]
	if v == nil {
		v = &service{meanServiceTime: initialServiceTime, priorities: map[int32]time.Time{}}
		f.services[name] = v
	}
	return v
}

// LocalLoads returns the requests that this front has in flight at each server,
// and the servers that it avoids because they answer with failures.
func (f *Fleet) LocalLoads(now time.Time) []*wire.ServerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.localLoads(now)
}

func (f *Fleet) localLoads(now time.Time) []*wire.ServerLoad {
	var l []*wire.ServerLoad
	for _, s := range f.servers {
		a := s.failing && now.Before(s.backoffUntil)
		if s.online == 0 && s.batch == 0 && !a {
			continue
		}
		o, b := int32(s.online), int32(s.batch)
		v := wire.ServerLoad_builder{Server: &s.idHash, Online: &o, Batch: &b}.Build()
		if s.ownTokens > 0 {
			v.SetTokens(s.ownTokens)
		}
		if a {
			v.SetFailing(true)
		}
		l = append(l, v)
	}
	return l
}

// ServerCount returns the number of backend servers of all services.
func (f *Fleet) ServerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.servers)
}

// SampleAddresses returns the addresses of up to n random backend servers that are
// not about to stop.
func (f *Fleet) SampleAddresses(n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	for _, s := range f.servers {
		if !s.departing() && s.dropAt.IsZero() {
			l = append(l, s.entry.GetAddress())
		}
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}
