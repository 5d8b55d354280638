package fleet

import (
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// peer is what another front last said.
type peer struct {
	hash uint64
	load *wire.Load
	seen time.Time
}

// SetPeer takes in what another front says of its load. It returns whether the
// front, or this process of it, was not known before.
func (f *Fleet) SetPeer(now time.Time, l *wire.Load) bool {
	f.m.Lock()
	defer f.m.Unlock()
	p := f.peers[l.GetName()]
	if p != nil && !newer(l, p.load) {
		return false
	}
	d := p == nil || p.load.GetIncarnation() != l.GetIncarnation()
	if p == nil {
		p = &peer{hash: hashOf(l.GetName()), load: l}
		f.peers[l.GetName()] = p
		f.peerHashes[p.hash] = p
		f.countNear()
	} else if f.counted(p) {
		f.add(p.load.GetServers(), -1)
	}
	p.load = l
	p.seen = now
	if l.HasAll() {
		f.setTotal(now, l.GetDataCentre(), l.GetAll())
	} else if f.counted(p) {
		f.add(l.GetServers(), 1)
	}
	delete(f.lost, l.GetName())
	f.hears(now, l.GetUnheard())
	return d
}

// newer says whether datagram a was sent after b. A datagram that was delayed
// or doubled must not bring back an old load.
func newer(a, b *wire.Load) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// Expire forgets the load of fronts that have gone silent, and returns their
// names.
func (f *Fleet) Expire(now time.Time) []string {
	f.m.Lock()
	defer f.m.Unlock()
	f.tick(now)
	var l []string
	for n, p := range f.peers {
		if now.Sub(p.seen) > peerTimeout {
			delete(f.peers, n)
			delete(f.peerHashes, p.hash)
			if !p.load.GetLeaving() {
				f.lost[n] = now
			}
			l = append(l, n)
		}
	}
	t := f.expireTotals(now)
	if len(l) > 0 || t {
		f.sumPeers()
		f.countNear()
	}
	return l
}

// countNear counts the fronts that hear of a change of the loads at once.
func (f *Fleet) countNear() {
	f.near = 0
	for _, p := range f.peers {
		if len(f.peers) <= SmallFleet || p.load.GetDataCentre() == f.dataCentre {
			f.near++
		}
	}
}

// tellDelay is the time after which fronts know of a change of another one's
// loads.
func (f *Fleet) tellDelay() time.Duration { return tellTime + f.gatherTime()/4 }

// GatherTime is the least time between datagrams with changes of the loads. It
// grows with the number of fronts that hear of them at once, so that the rate
// of datagrams does not.
func (f *Fleet) GatherTime() time.Duration {
	f.m.Lock()
	defer f.m.Unlock()
	return f.gatherTime()
}

func (f *Fleet) gatherTime() time.Duration {
	d := gather + gatherPerFront*time.Duration(max(f.near-SmallFleet, 0))
	if f.near > SmallFleet && f.roomy() {
		return max(d, roomyGather)
	}
	return d
}

// roomy says whether the servers of each service have more free slots than taken
// ones, so that a request finds one wherever it goes.
func (f *Fleet) roomy() bool {
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

// sumPeers counts the requests of all other fronts anew.
func (f *Fleet) sumPeers() {
	for _, s := range f.servers {
		s.othersOnline = 0
		s.othersBatch = 0
		s.othersFailing = 0
	}
	for _, p := range f.peers {
		if f.counted(p) {
			f.add(p.load.GetServers(), 1)
		}
	}
	for _, t := range f.totals {
		f.addTotal(t, 1)
	}
}

// add counts the requests of other fronts, or with the sign -1 takes them away.
func (f *Fleet) add(l []*wire.ServerLoad, sign int) {
	for _, x := range l {
		f.count(x.GetServer(), count{online: int(x.GetOnline()), batch: int(x.GetBatch()), failing: x.GetFailing()}, sign)
	}
}

// count adds requests at the server with a hash.
func (f *Fleet) count(hash uint64, n count, sign int) {
	s := f.hashes[hash]
	if s == nil {
		return
	}
	s.othersOnline += sign * n.online
	s.othersBatch += sign * n.batch
	if n.failing {
		s.othersFailing += sign
	}
}

// Present says whether a front with this name has sent a datagram lately.
func (f *Fleet) Present(now time.Time, name string) bool { return f.Heard(now, name, peerTimeout) }

// Heard says whether a front has sent a datagram within a time, or has not
// been known for longer.
func (f *Fleet) Heard(now time.Time, name string, within time.Duration) bool {
	f.m.Lock()
	defer f.m.Unlock()
	p := f.peers[name]
	return p != nil && now.Sub(p.seen) <= within
}

// Peers returns the names of the fronts that are alive and take work, in
// order, without this one.
func (f *Fleet) Peers(now time.Time) []string {
	return f.names(now, func(l *wire.Load) bool { return !l.GetLeaving() })
}

// Steady returns the names of the fronts that are alive, that the platform
// answers, and that are not about to stop, in order, without this one.
func (f *Fleet) Steady(now time.Time) []string {
	return f.names(now, func(l *wire.Load) bool { return !l.GetTroubled() && !l.GetLeaving() })
}

// Watchful returns the names of the fronts that are alive and that the platform
// answers, in order, without this one.
func (f *Fleet) Watchful(now time.Time) []string {
	return f.names(now, func(l *wire.Load) bool { return !l.GetTroubled() })
}

// names returns the names of the fronts that are alive and whose last datagram
// is as wanted, in order.
func (f *Fleet) names(now time.Time, wanted func(l *wire.Load) bool) []string {
	f.m.Lock()
	defer f.m.Unlock()
	var l []string
	for n, p := range f.peers {
		if now.Sub(p.seen) <= peerTimeout && wanted(p.load) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}
