package fleet

import (
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// peer is the last reported state of another front.
type peer struct {
	nameHash uint64
	load     *wire.Load
	// When its last datagram was received, or when its neighbours last reported
	// it as alive.
	lastSeen time.Time
}

// UpdatePeer merges a datagram from another front. It reports whether the front,
// or this incarnation of it, was unknown before. Datagrams that are older than
// the last one merged are ignored.
func (f *Fleet) UpdatePeer(now time.Time, load *wire.Load) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[load.GetName()]
	if p != nil && !newer(load, p.load) {
		return false
	}
	d := p == nil || p.load.GetIncarnation() != load.GetIncarnation()
	if p == nil {
		p = &peer{nameHash: hashOf(load.GetName()), load: load}
		f.peers[load.GetName()] = p
		f.peersByHash[p.nameHash] = p
		f.countImmediatePeers()
	} else if f.countedIndividually(p) {
		f.adjustLoads(p.load.GetServers(), -1)
	}
	p.load = load
	p.lastSeen = now
	f.recordCounter(now, load)
	if load.HasAll() {
		f.setDataCentreLoad(now, load.GetDataCentre(), load.GetAll())
	} else if f.countedIndividually(p) {
		f.adjustLoads(load.GetServers(), 1)
	}
	delete(f.lostPeers, load.GetName())
	f.recordUnheard(now, load.GetUnheard())
	return d
}

// newer reports whether a received datagram was sent after the known one. A
// delayed or duplicated datagram must not restore an old load.
func newer(received, known *wire.Load) bool {
	if received.GetIncarnation() != known.GetIncarnation() {
		return received.GetIncarnation() > known.GetIncarnation()
	}
	return received.GetSequence() > known.GetSequence()
}

// ExpirePeers removes fronts that have timed out, with their loads, and returns
// their names.
func (f *Fleet) ExpirePeers(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	var l []string
	for n, p := range f.peers {
		if now.Sub(p.lastSeen) > peerTimeout {
			delete(f.peers, n)
			f.counters.end(n, p.lastSeen.Add(peerTimeout))
			delete(f.peersByHash, p.nameHash)
			if !p.load.GetLeaving() {
				f.lostPeers[n] = now
			}
			l = append(l, n)
		}
	}
	t := f.expireDataCentreLoads(now)
	if len(l) > 0 || t {
		f.recountRemote()
		f.countImmediatePeers()
	}
	return l
}

// countImmediatePeers updates the number of fronts to which load changes are
// sent at once.
func (f *Fleet) countImmediatePeers() {
	f.immediatePeers = 0
	for _, p := range f.peers {
		if len(f.peers) <= SmallFleetPeers || p.load.GetDataCentre() == f.dataCentre {
			f.immediatePeers++
		}
	}
}

// propagationDelay is the time after which a load change of one front is known
// to its immediate peers.
func (f *Fleet) propagationDelay() time.Duration { return datagramDelay + f.coalescingWindow()/4 }

// CoalescingWindow is the minimum time between two datagrams with load changes.
// It grows with the number of immediate peers, so that the rate of datagrams
// does not.
func (f *Fleet) CoalescingWindow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coalescingWindow()
}

func (f *Fleet) coalescingWindow() time.Duration {
	d := baseCoalescingWindow + coalescingWindowPerPeer*time.Duration(max(f.immediatePeers-SmallFleetPeers, 0))
	if f.immediatePeers > SmallFleetPeers && f.lowLoad() {
		return max(d, lowLoadCoalescingWindow)
	}
	return d
}

// lowLoad reports whether each service has at least as many free slots as taken
// ones, so that a request is likely to find a free slot at any server.
func (f *Fleet) lowLoad() bool {
	for _, v := range f.services {
		n := 0
		for _, s := range v.servers {
			n += s.slots() - 2*s.total()
		}
		if n < 0 {
			return false
		}
	}
	return true
}

// recountRemote recomputes the requests of other fronts at each server.
func (f *Fleet) recountRemote() {
	for _, s := range f.servers {
		s.remoteOnline = 0
		s.remoteBatch = 0
		s.remoteTokens = 0
		s.remoteFailing = 0
	}
	for _, p := range f.peers {
		if f.countedIndividually(p) {
			f.adjustLoads(p.load.GetServers(), 1)
		}
	}
	for _, t := range f.dataCentreLoads {
		f.adjustDataCentreLoad(t, 1)
	}
}

// adjustLoads adds the loads of another front, or subtracts them if sign is -1.
func (f *Fleet) adjustLoads(loads []*wire.ServerLoad, sign int) {
	for _, x := range loads {
		f.adjustServer(x.GetServer(), inFlight{online: int(x.GetOnline()), batch: int(x.GetBatch()), tokens: max(x.GetTokens(), 0), failing: x.GetFailing()}, sign)
	}
}

// adjustServer adds requests of other fronts at a server, or subtracts them if
// sign is -1.
func (f *Fleet) adjustServer(idHash uint64, requests inFlight, sign int) {
	s := f.serversByHash[idHash]
	if s == nil {
		return
	}
	s.remoteOnline += sign * requests.online
	s.remoteBatch += sign * requests.batch
	s.remoteTokens += int64(sign) * requests.tokens
	if requests.failing {
		s.remoteFailing += sign
	}
}

// Alive reports whether a front is known and has not timed out.
func (f *Fleet) Alive(now time.Time, name string) bool {
	return f.ReceivedWithin(now, name, peerTimeout)
}

// ReceivedWithin reports whether the last datagram of a front, or the last report
// of it as alive by its neighbours, is at most as old as within. It returns false
// for an unknown front.
func (f *Fleet) ReceivedWithin(now time.Time, name string, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[name]
	return p != nil && now.Sub(p.lastSeen) <= within
}

// ActivePeers returns the sorted names of the other fronts that are alive and
// accept work.
func (f *Fleet) ActivePeers(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetLeaving() })
}

// HealthyPeers returns the sorted names of the other fronts that are alive, can
// reach the platform and are not about to stop.
func (f *Fleet) HealthyPeers(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetTroubled() && !load.GetLeaving() })
}

// PeersWithPlatform returns the sorted names of the other fronts that are alive
// and can reach the platform.
func (f *Fleet) PeersWithPlatform(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetTroubled() })
}

// ConnectedPeers returns the sorted names of the other fronts that are alive, can
// reach the backend servers and are not about to stop.
func (f *Fleet) ConnectedPeers(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetCutOff() && !load.GetLeaving() })
}

// livePeers returns the sorted names of the fronts that are alive and whose last
// datagram satisfies accept.
func (f *Fleet) livePeers(now time.Time, accept func(load *wire.Load) bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	for n, p := range f.peers {
		if now.Sub(p.lastSeen) <= peerTimeout && accept(p.load) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Sample returns the names of up to n random other fronts of each data centre that
// are alive.
func (f *Fleet) Sample(now time.Time, n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	k := map[string]int{}
	// The order of a map is random.
	for x, p := range f.peers {
		if c := p.load.GetDataCentre(); now.Sub(p.lastSeen) <= peerTimeout && k[c] < n {
			k[c]++
			l = append(l, x)
		}
	}
	return l
}
