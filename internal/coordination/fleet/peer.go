package fleet

import (
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// peer is what another front last said.
type peer struct {
	nameHash uint64
	load     *wire.Load
	lastSeen time.Time
}

// UpdatePeer takes in what another front says of its load. It returns whether the
// front, or this process of it, was not known before.
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
	if load.HasAll() {
		f.setDataCentreLoad(now, load.GetDataCentre(), load.GetAll())
	} else if f.countedIndividually(p) {
		f.adjustLoads(load.GetServers(), 1)
	}
	delete(f.lostPeers, load.GetName())
	f.recordUnheard(now, load.GetUnheard())
	return d
}

// newer says whether datagram a was sent after b. A datagram that was delayed
// or doubled must not bring back an old load.
func newer(received, known *wire.Load) bool {
	if received.GetIncarnation() != known.GetIncarnation() {
		return received.GetIncarnation() > known.GetIncarnation()
	}
	return received.GetSequence() > known.GetSequence()
}

// ExpirePeers forgets the load of fronts that have gone silent, and returns their
// names.
func (f *Fleet) ExpirePeers(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkLiveness(now)
	var l []string
	for n, p := range f.peers {
		if now.Sub(p.lastSeen) > peerTimeout {
			delete(f.peers, n)
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

// countImmediatePeers counts the fronts that hear of a change of the loads at once.
func (f *Fleet) countImmediatePeers() {
	f.immediatePeers = 0
	for _, p := range f.peers {
		if len(f.peers) <= SmallFleetPeers || p.load.GetDataCentre() == f.dataCentre {
			f.immediatePeers++
		}
	}
}

// propagationDelay is the time after which fronts know of a change of another one's
// loads.
func (f *Fleet) propagationDelay() time.Duration { return datagramDelay + f.coalescingWindow()/4 }

// CoalescingWindow is the least time between datagrams with changes of the loads. It
// grows with the number of fronts that hear of them at once, so that the rate
// of datagrams does not.
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

// lowLoad says whether the servers of each service have more free slots than taken
// ones, so that a request finds one wherever it goes.
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

// recountRemote counts the requests of all other fronts anew.
func (f *Fleet) recountRemote() {
	for _, s := range f.servers {
		s.remoteOnline = 0
		s.remoteBatch = 0
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

// adjustLoads counts the requests of other fronts, or with the sign -1 takes them away.
func (f *Fleet) adjustLoads(loads []*wire.ServerLoad, sign int) {
	for _, x := range loads {
		f.adjustServer(x.GetServer(), inFlight{online: int(x.GetOnline()), batch: int(x.GetBatch()), failing: x.GetFailing()}, sign)
	}
}

// adjustServer adds requests at the server with a hash.
func (f *Fleet) adjustServer(idHash uint64, requests inFlight, sign int) {
	s := f.serversByHash[idHash]
	if s == nil {
		return
	}
	s.remoteOnline += sign * requests.online
	s.remoteBatch += sign * requests.batch
	if requests.failing {
		s.remoteFailing += sign
	}
}

// Alive says whether a front with this name has sent a datagram lately.
func (f *Fleet) Alive(now time.Time, name string) bool {
	return f.ReceivedWithin(now, name, peerTimeout)
}

// ReceivedWithin says whether a front has sent a datagram within a time, or has not
// been known for longer.
func (f *Fleet) ReceivedWithin(now time.Time, name string, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[name]
	return p != nil && now.Sub(p.lastSeen) <= within
}

// ActivePeers returns the names of the fronts that are alive and take work, in
// order, without this one.
func (f *Fleet) ActivePeers(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetLeaving() })
}

// HealthyPeers returns the names of the fronts that are alive, that the platform
// answers, and that are not about to stop, in order, without this one.
func (f *Fleet) HealthyPeers(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetTroubled() && !load.GetLeaving() })
}

// PeersWithPlatform returns the names of the fronts that are alive and that the platform
// answers, in order, without this one.
func (f *Fleet) PeersWithPlatform(now time.Time) []string {
	return f.livePeers(now, func(load *wire.Load) bool { return !load.GetTroubled() })
}

// livePeers returns the names of the fronts that are alive and whose last datagram
// is as wanted, in order.
func (f *Fleet) livePeers(now time.Time, accept func(l *wire.Load) bool) []string {
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
