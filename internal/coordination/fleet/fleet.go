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
	holdWeight = 0.05
	// Entries that go missing within this time lapse together. Servers that
	// are replaced one after the other leave further apart.
	lapseTogether = 400 * time.Millisecond
	// Changes of the loads within this time of the last datagram share one.
	gather = 8 * time.Millisecond
	// Time added to gather for each front beyond SmallFleet that hears of
	// changes at once.
	gatherPerFront = time.Millisecond
	// The same in a large fleet while more slots are free than taken: what the
	// others know matters little then, and each datagram goes to many.
	roomyGather = 80 * time.Millisecond
	// Time from a datagram to the decisions that heed it.
	tellTime = 8 * time.Millisecond
	// Average before the first answer.
	initialHold = 500 * time.Millisecond
)

const (
	// A platform that has confirmed the list within this time is not away.
	answersLately = 2 * time.Second
	// A server that was removed goes on serving for two seconds at least.
	removedUse = 1700 * time.Millisecond
)

// LapseGrace is the time in which entries of backend servers that lapsed in an
// outage of the platform, two seconds ago at the most, are back.
const LapseGrace = 2200 * time.Millisecond

// SmallFleet is the number of other fronts up to which all hear of each change
// at once. In larger fleets the loads of other data centres are as old as a
// heartbeat, and backend servers there come after those of the own one.
const SmallFleet = 12

// Fleet is the load of all backend servers as this front knows it. Its methods
// may be called from any goroutine.
type Fleet struct {
	self       string
	dataCentre string

	m sync.Mutex
	// By id.
	servers map[string]*server
	// By the hash that stands for an id in datagrams.
	hashes   map[uint64]*server
	services map[string]*service
	// By name, without this front.
	peers map[string]*peer
	// The same by the hash of the name.
	peerHashes map[uint64]*peer
	// Loads of other data centres in a large fleet, by name.
	totals map[string]*total
	// Of these, those that hear of a change of the loads at once.
	near int
	// When another front may last have counted this one as gone.
	doubted time.Time
	// When fronts that did not say that they stop went silent, by name.
	lost map[string]time.Time
	// When silent fronts were last looked for.
	ticked time.Time
}

// server is one backend server.
type server struct {
	b    *wire.BackendServer
	hash uint64
	// Differs between fronts, so that they break ties differently.
	order uint64
	// Requests of this front in flight.
	online, batch int
	// Those of the other fronts.
	othersOnline, othersBatch int
	// Not used before this time, after a failure.
	avoided time.Time
	// Failures since the last good answer.
	failures int
	// The last of them was an answer of the server.
	failing bool
	// Other fronts that leave it alone for that reason.
	othersFailing int
	// Not in the newest list, and dropped at this time; zero while listed.
	dropAt time.Time
}

func (s *server) totalOnline() int { return s.online + s.othersOnline }

func (s *server) total() int { return s.online + s.othersOnline + s.batch + s.othersBatch }

func (s *server) slots() int { return max(int(s.b.GetSlots()), 1) }

// service holds the backend servers with the same work.
type service struct {
	// In the order of their ids.
	servers []*server
	// Average time in which an online request holds a slot.
	hold time.Duration
	// Requests a second that this front has got lately, as of last.
	rate float64
	last time.Time
	// Servers that went missing without notice since lapseBegan.
	lapses     int
	lapseBegan time.Time
}

// New returns an empty fleet for the front self in a data centre.
func New(self, dataCentre string) *Fleet {
	return &Fleet{
		self: self, dataCentre: dataCentre,
		servers: map[string]*server{}, hashes: map[uint64]*server{},
		services: map[string]*service{}, peers: map[string]*peer{}, peerHashes: map[uint64]*peer{}, totals: map[string]*total{}, lost: map[string]time.Time{},
	}
}

// SetServers replaces the list of backend servers. One that the list lacks is
// dropped at keepUntil, which is in the past unless the platform was away: an
// entry that lapsed meanwhile comes back within seconds. So do the entries of a
// service when most of them lapse together. The platform had confirmed the list
// before this one at the time confirmed: entries that it has removed since then
// are not kept longer than a server that leaves goes on serving. It returns when
// servers that are kept must be looked at again, zero for never.
func (f *Fleet) SetServers(now time.Time, l []*wire.BackendServer, confirmed, keepUntil time.Time) time.Time {
	f.m.Lock()
	defer f.m.Unlock()
	n := map[string]bool{}
	for _, b := range l {
		n[b.GetId()] = true
		f.set(b)
	}
	var a time.Time
	for _, v := range f.services {
		k := keepUntil
		if v.lapsed(now, n) {
			k = latest(k, lapseEnd(now, confirmed))
		}
		a = latest(a, f.drop(now, v, n, k))
	}
	f.index()
	f.sumPeers()
	return a
}

// lapsed says whether most servers of a service went missing together, without
// notice.
func (v *service) lapsed(now time.Time, listed map[string]bool) bool {
	m := 0
	for _, s := range v.servers {
		if !listed[s.b.GetId()] && !s.b.GetDraining() && s.dropAt.IsZero() {
			m++
		}
	}
	if m == 0 {
		return false
	}
	if now.Sub(v.lapseBegan) > lapseTogether {
		v.lapseBegan = now
		v.lapses = 0
	}
	v.lapses += m
	return v.lapses > 1 && 2*v.lapses >= len(v.servers)
}

// lapseEnd returns until when servers that lapsed together are kept. If the
// platform has answered lately, they may as well have been removed.
func lapseEnd(now, confirmed time.Time) time.Time {
	if now.Sub(confirmed) > answersLately {
		return now.Add(LapseGrace)
	}
	return confirmed.Add(removedUse)
}

// drop removes the servers of a service that are not listed and whose time is
// over. It returns when the last of the others ends.
func (f *Fleet) drop(now time.Time, v *service, listed map[string]bool, keepUntil time.Time) time.Time {
	var a time.Time
	for _, s := range v.servers {
		if listed[s.b.GetId()] {
			continue
		}
		if s.dropAt.IsZero() {
			s.dropAt = keepUntil
		}
		if now.Before(s.dropAt) {
			a = latest(a, s.dropAt)
			continue
		}
		delete(f.servers, s.b.GetId())
		delete(f.hashes, s.hash)
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Fleet) set(b *wire.BackendServer) {
	s := f.servers[b.GetId()]
	if s == nil {
		s = &server{hash: hashOf(b.GetId()), order: xxhash.Sum64String(f.self + "/" + b.GetId())}
		f.servers[b.GetId()] = s
		f.hashes[s.hash] = s
	} else if s.b.GetAddress() != b.GetAddress() {
		s.avoided = time.Time{}
	}
	s.b = b
	s.dropAt = time.Time{}
}

// index sorts the backend servers by service.
func (f *Fleet) index() {
	for _, v := range f.services {
		v.servers = nil
	}
	for _, s := range f.servers {
		v := f.service(s.b.GetService())
		v.servers = append(v.servers, s)
	}
	for _, v := range f.services {
		slices.SortFunc(v.servers, func(a, b *server) int { return cmp.Compare(a.b.GetId(), b.b.GetId()) })
	}
}

func (f *Fleet) service(name string) *service {
	v := f.services[name]
	if v == nil {
		v = &service{hold: initialHold}
		f.services[name] = v
	}
	return v
}

// Loads returns this front's own requests in flight, and the servers that it
// leaves alone because they fail what they take.
func (f *Fleet) Loads(now time.Time) []*wire.ServerLoad {
	f.m.Lock()
	defer f.m.Unlock()
	return f.loads(now)
}

func (f *Fleet) loads(now time.Time) []*wire.ServerLoad {
	var l []*wire.ServerLoad
	for _, s := range f.servers {
		a := s.failing && now.Before(s.avoided)
		if s.online == 0 && s.batch == 0 && !a {
			continue
		}
		o, b := int32(s.online), int32(s.batch)
		v := wire.ServerLoad_builder{Server: &s.hash, Online: &o, Batch: &b}.Build()
		if a {
			v.SetFailing(true)
		}
		l = append(l, v)
	}
	return l
}

// Size returns the number of backend servers of all services.
func (f *Fleet) Size() int {
	f.m.Lock()
	defer f.m.Unlock()
	return len(f.servers)
}
