package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// A front that was heard within this time is told to other data centres.
const heardTime = 500 * time.Millisecond

// count is the requests at a backend server.
type count struct {
	online, batch int
	// Some front leaves the server alone because it fails what it takes.
	failing bool
}

// total is what the fronts of another data centre have in flight together, as
// one of them last told. Any of them tells of all, so each needs to send only
// now and then, and what is known is no older than the last word of any.
type total struct {
	// By hash of the backend server's id.
	servers map[uint64]count
	seen    time.Time
}

// All returns what the fronts of this data centre have in flight together, and
// which of them are heard.
func (f *Fleet) All(now time.Time) *wire.DataCentreLoad {
	f.m.Lock()
	defer f.m.Unlock()
	t := wire.DataCentreLoad_builder{}
	for h, n := range f.nearLoads(now) {
		t.Servers = append(t.Servers, h)
		t.Online = append(t.Online, int32(n.online))
		t.Batch = append(t.Batch, int32(n.batch))
		if n.failing {
			t.Failing = append(t.Failing, h)
		}
	}
	for _, p := range f.peers {
		if p.load.GetDataCentre() == f.dataCentre && now.Sub(p.seen) <= heardTime {
			t.Heard = append(t.Heard, p.hash)
		}
	}
	return t.Build()
}

// nearLoads returns the requests in flight of all fronts of this data centre.
func (f *Fleet) nearLoads(now time.Time) map[uint64]count {
	m := map[uint64]count{}
	addTo(m, f.loads(now))
	for _, p := range f.peers {
		if p.load.GetDataCentre() == f.dataCentre {
			addTo(m, p.load.GetServers())
		}
	}
	return m
}

func addTo(m map[uint64]count, l []*wire.ServerLoad) {
	for _, x := range l {
		n := m[x.GetServer()]
		n.online += int(x.GetOnline())
		n.batch += int(x.GetBatch())
		n.failing = n.failing || x.GetFailing()
		m[x.GetServer()] = n
	}
}

// counts returns the requests that a datagram tells of. One whose lists don't
// belong together tells nothing.
func counts(a *wire.DataCentreLoad) map[uint64]count {
	l, o, b := a.GetServers(), a.GetOnline(), a.GetBatch()
	if len(o) != len(l) || len(b) != len(l) {
		return nil
	}
	m := make(map[uint64]count, len(l))
	for i, h := range l {
		m[h] = count{online: int(o[i]), batch: int(b[i])}
	}
	for _, h := range a.GetFailing() {
		n := m[h]
		n.failing = true
		m[h] = n
	}
	return m
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
	f.addTotal(t, -1)
	t.servers = counts(a)
	t.seen = now
	f.addTotal(t, 1)
	s := now.Add(-heardTime)
	for _, h := range a.GetHeard() {
		p := f.peerHashes[h]
		if p != nil && s.After(p.seen) {
			p.seen = s
		}
	}
}

// addTotal counts the requests of a data centre, or with the sign -1 takes them
// away.
func (f *Fleet) addTotal(t *total, sign int) {
	for h, n := range t.servers {
		f.count(h, n, sign)
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
