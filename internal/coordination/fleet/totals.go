package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// total is what the fronts of another data centre have in flight together, as
// one of them last told. Any of them tells of all, so each needs to send only
// now and then, and what is known is no older than the last word of any.
type total struct {
	servers []*wire.ServerLoad
	seen    time.Time
}

// All returns what the fronts of this data centre have in flight together, and
// which of them are heard.
func (f *Fleet) All(now time.Time) *wire.DataCentreLoad {
	f.m.Lock()
	defer f.m.Unlock()
	t := wire.DataCentreLoad_builder{Servers: f.nearLoads(now)}
	for _, p := range f.peers {
		a := now.Sub(p.seen)
		if p.load.GetDataCentre() != f.dataCentre || a > HearTime {
			continue
		}
		m := uint32(a.Milliseconds())
		t.Heard = append(t.Heard, wire.HeardFront_builder{Front: &p.hash, AgeMs: &m}.Build())
	}
	return t.Build()
}

// nearLoads returns the requests in flight of all fronts of this data centre.
func (f *Fleet) nearLoads(now time.Time) []*wire.ServerLoad {
	m := map[uint64]*wire.ServerLoad{}
	for _, x := range f.loads(now) {
		m[x.GetServer()] = x
	}
	for _, p := range f.peers {
		if p.load.GetDataCentre() != f.dataCentre {
			continue
		}
		for _, x := range p.load.GetServers() {
			h := x.GetServer()
			s := m[h]
			if s == nil {
				s = wire.ServerLoad_builder{Server: &h}.Build()
				m[h] = s
			}
			s.SetOnline(s.GetOnline() + x.GetOnline())
			s.SetBatch(s.GetBatch() + x.GetBatch())
			if x.GetFailing() {
				s.SetFailing(true)
			}
		}
	}
	l := make([]*wire.ServerLoad, 0, len(m))
	for _, x := range m {
		l = append(l, x)
	}
	return l
}

// setTotal takes in what a front tells of all fronts of its data centre; the
// caller holds the lock.
func (f *Fleet) setTotal(now time.Time, dataCentre string, a *wire.DataCentreLoad) {
	t := f.totals[dataCentre]
	if t == nil {
		t = &total{}
		f.totals[dataCentre] = t
		// Its fronts are not counted one by one any more.
		f.sumPeers()
	}
	f.add(t.servers, -1)
	t.servers = a.GetServers()
	t.seen = now
	f.add(t.servers, 1)
	for _, h := range a.GetHeard() {
		p := f.peerHashes[h.GetFront()]
		s := now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
		if p != nil && s.After(p.seen) {
			p.seen = s
		}
	}
}

// expireTotals forgets data centres of which nobody tells any more. It returns
// whether there are any; the caller holds the lock.
func (f *Fleet) expireTotals(now time.Time) bool {
	d := false
	for n, t := range f.totals {
		if now.Sub(t.seen) > peerTimeout {
			delete(f.totals, n)
			d = true
		}
	}
	return d
}

// counted says whether a front's own loads count, and not those of its whole
// data centre.
func (f *Fleet) counted(p *peer) bool { return f.totals[p.load.GetDataCentre()] == nil }

// hashOf returns the hash that stands for a name in datagrams.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
