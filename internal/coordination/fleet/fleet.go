package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A front that has been silent for so long counts as gone. Its datagrams
	// come every 250 ms.
	peerTimeout = 2 * time.Second
	// Weight of the newest answer in the average time that a request holds a
	// slot.
	serviceTimeWeight = 0.05
	// Entries that go missing within this time lapse together. Servers that
	// are replaced one after the other leave further apart.
	massExpiryWindow = 400 * time.Millisecond
	// Changes of the loads within this time of the last datagram share one.
	baseCoalescingWindow = 8 * time.Millisecond
	// Time added to gather for each front beyond SmallFleet that hears of
	// changes at once.
	coalescingWindowPerPeer = time.Millisecond
	// The same in a large fleet while more slots are free than taken: what the
	// others know matters little then, and each datagram goes to many.
	lowLoadCoalescingWindow = 80 * time.Millisecond
	// Time from a datagram to the decisions that heed it.
	datagramDelay = 8 * time.Millisecond
	// Average before the first answer.
	initialServiceTime = 500 * time.Millisecond
)

const (
	// A platform that has confirmed the list within this time is not away.
	recentConfirmation = 2 * time.Second
	// A server that was removed goes on serving for two seconds at least.
	removedServerUse = 1700 * time.Millisecond
)

// ExpiryGrace is the time in which entries of backend servers that lapsed in an
// outage of the platform, two seconds ago at the most, are back.
const ExpiryGrace = 2200 * time.Millisecond

// SmallFleetPeers is the number of other fronts up to which all hear of each change
// at once. In larger fleets the loads of other data centres are as old as a
// heartbeat, and backend servers there come after those of the own one.
const SmallFleetPeers = 12

// Fleet is the load of all backend servers as this front knows it. Its methods
// may be called from any goroutine.
type Fleet struct {
	self       string
	dataCentre string

	mu sync.Mutex
	// By id.
	servers map[string]*server
	// By the hash that stands for an id in datagrams.
	serversByHash map[uint64]*server
	services      map[string]*service
	// By name, without this front.
	peers map[string]*peer
	// The same by the hash of the name.
	peersByHash map[uint64]*peer
	// Loads of other data centres in a large fleet, by name.
	dataCentreLoads map[string]*dataCentreLoad
	// Of these, those that hear of a change of the loads at once.
	immediatePeers int
	// When another front may last have counted this one as gone.
	lastPresumedDead time.Time
	// When fronts that did not say that they stop went silent, by name.
	lostPeers map[string]time.Time
	// When silent fronts were last looked for.
	lastLivenessCheck time.Time
}

// server is one backend server.
type server struct {
	entry  *wire.BackendServer
	idHash uint64
	// Differs between fronts, so that they break ties differently.
	tieBreak uint64
	// Requests of this front in flight.
	online, batch int
	// Those of the other fronts.
	remoteOnline, remoteBatch int
	// Not used before this time, after a failure.
	backoffUntil time.Time
	// Failures since the last good answer.
	failures int
	// The last of them was an answer of the server.
	failing bool
	// Other fronts that leave it alone for that reason.
	remoteFailing int
	// Not in the newest list, and dropped at this time; zero while listed.
	dropAt time.Time
}

func (s *server) totalOnline() int { return s.online + s.remoteOnline }

func (s *server) total() int { return s.online + s.remoteOnline + s.batch + s.remoteBatch }

func (s *server) slots() int { return max(int(s.entry.GetSlots()), 1) }

// service holds the backend servers with the same work.
type service struct {
	// In the order of their ids.
	servers []*server
	// Average time in which an online request holds a slot.
	meanServiceTime time.Duration
	// Requests a second that this front has got lately, as of last.
	arrivalRate float64
	lastArrival time.Time
	// Servers that went missing without notice since lapseBegan.
	expired           int
	expiryWindowStart time.Time
}

// New returns an empty fleet for the front self in a data centre.
func New(self, dataCentre string) *Fleet {
	return &Fleet{
		self: self, dataCentre: dataCentre,
		servers: map[string]*server{}, serversByHash: map[uint64]*server{},
		services: map[string]*service{}, peers: map[string]*peer{}, peersByHash: map[uint64]*peer{}, dataCentreLoads: map[string]*dataCentreLoad{}, lostPeers: map[string]time.Time{},
	}
}

// SetServers replaces the list of backend servers. One that the list lacks is
// dropped at keepUntil, which is in the past unless the platform was away: an
// entry that lapsed meanwhile comes back within seconds. So do the entries of a
// service when most of them lapse together. The platform had confirmed the list
// before this one at the time confirmed: entries that it has removed since then
// are not kept longer than a server that leaves goes on serving. It returns when
// servers that are kept must be looked at again, zero for never.
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
	f.groupByService()
	f.recountRemote()
	return a
}

// massExpired says whether most servers of a service went missing together, without
// notice.
func (v *service) massExpired(now time.Time, listed map[string]bool) bool {
	m := 0
	for _, s := range v.servers {
		if !listed[s.entry.GetId()] && !s.entry.GetDraining() && s.dropAt.IsZero() {
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

// massExpiryDeadline returns until when servers that lapsed together are kept. If the
// platform has answered lately, they may as well have been removed.
func massExpiryDeadline(now, confirmedAt time.Time) time.Time {
	if now.Sub(confirmedAt) > recentConfirmation {
		return now.Add(ExpiryGrace)
	}
	return confirmedAt.Add(removedServerUse)
}

// dropUnlisted removes the servers of a service that are not listed and whose time is
// over. It returns when the last of the others ends.
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
	} else if s.entry.GetAddress() != entry.GetAddress() {
		s.backoffUntil = time.Time{}
	}
	s.entry = entry
	s.dropAt = time.Time{}
}

// groupByService sorts the backend servers by service.
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
	}
}

func (f *Fleet) service(name string) *service {
	v := f.services[name]
	if v == nil {
		v = &service{meanServiceTime: initialServiceTime}
		f.services[name] = v
	}
	return v
}

// LocalLoads returns this front's own requests in flight, and the servers that it
// leaves alone because they fail what they take.
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
