package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// A front that was heard within this time is told to other data centres.
const recentlyHeard = 500 * time.Millisecond

// inFlight is the requests at a backend server.
type inFlight struct {
	online, batch int
	// Some front leaves the server alone because it fails what it takes.
	failing bool
}

// dataCentreLoad is what the fronts of another data centre have in flight together, as
// one of them last told. Any of them tells of all, so each needs to send only
// now and then, and what is known is no older than the last word of any.
type dataCentreLoad struct {
	// By hash of the backend server's id.
	servers    map[uint64]inFlight
	receivedAt time.Time
}

// DataCentreLoad returns what the fronts of this data centre have in flight together, and
// which of them are heard.
func (f *Fleet) DataCentreLoad(now time.Time) *wire.DataCentreLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := wire.DataCentreLoad_builder{}
	for h, n := range f.ownDataCentreLoad(now) {
		t.Servers = append(t.Servers, h)
		t.Online = append(t.Online, int32(n.online))
		t.Batch = append(t.Batch, int32(n.batch))
		if n.failing {
			t.Failing = append(t.Failing, h)
		}
	}
	for _, p := range f.peers {
		if p.load.GetDataCentre() == f.dataCentre && now.Sub(p.lastSeen) <= recentlyHeard {
			t.Heard = append(t.Heard, p.nameHash)
		}
	}
	return t.Build()
}

// ownDataCentreLoad returns the requests in flight of all fronts of this data centre.
func (f *Fleet) ownDataCentreLoad(now time.Time) map[uint64]inFlight {
	m := map[uint64]inFlight{}
	accumulate(m, f.localLoads(now))
	for _, p := range f.peers {
		if p.load.GetDataCentre() == f.dataCentre {
			accumulate(m, p.load.GetServers())
		}
	}
	return m
}

func accumulate(sums map[uint64]inFlight, loads []*wire.ServerLoad) {
	for _, x := range loads {
		n := sums[x.GetServer()]
		n.online += int(x.GetOnline())
		n.batch += int(x.GetBatch())
		n.failing = n.failing || x.GetFailing()
		sums[x.GetServer()] = n
	}
}

// decodeDataCentreLoad returns the requests that a datagram tells of. One whose lists don't
// belong together tells nothing.
func decodeDataCentreLoad(load *wire.DataCentreLoad) map[uint64]inFlight {
	l, o, b := load.GetServers(), load.GetOnline(), load.GetBatch()
	if len(o) != len(l) || len(b) != len(l) {
		return nil
	}
	m := make(map[uint64]inFlight, len(l))
	for i, h := range l {
		m[h] = inFlight{online: int(o[i]), batch: int(b[i])}
	}
	for _, h := range load.GetFailing() {
		n := m[h]
		n.failing = true
		m[h] = n
	}
	return m
}

// setDataCentreLoad takes in what a front tells of all fronts of its data centre; the
// caller holds the lock.
func (f *Fleet) setDataCentreLoad(now time.Time, dataCentre string, load *wire.DataCentreLoad) {
	t := f.dataCentreLoads[dataCentre]
	if t == nil {
		t = &dataCentreLoad{}
		f.dataCentreLoads[dataCentre] = t
		// Its fronts are not counted one by one any more.
		f.recountRemote()
	}
	f.adjustDataCentreLoad(t, -1)
	t.servers = decodeDataCentreLoad(load)
	t.receivedAt = now
	f.adjustDataCentreLoad(t, 1)
	s := now.Add(-recentlyHeard)
	for _, h := range load.GetHeard() {
		p := f.peersByHash[h]
		if p != nil && s.After(p.lastSeen) {
			p.lastSeen = s
		}
	}
}

// adjustDataCentreLoad counts the requests of a data centre, or with the sign -1 takes them
// away.
func (f *Fleet) adjustDataCentreLoad(load *dataCentreLoad, sign int) {
	for h, n := range load.servers {
		f.adjustServer(h, n, sign)
	}
}

// expireDataCentreLoads forgets data centres of which nobody tells any more. It returns
// whether there are any; the caller holds the lock.
func (f *Fleet) expireDataCentreLoads(now time.Time) bool {
	d := false
	for n, t := range f.dataCentreLoads {
		if now.Sub(t.receivedAt) > peerTimeout {
			delete(f.dataCentreLoads, n)
			d = true
		}
	}
	return d
}

// countedIndividually says whether a front's own loads count, and not those of its whole
// data centre.
func (f *Fleet) countedIndividually(peer *peer) bool {
	return f.dataCentreLoads[peer.load.GetDataCentre()] == nil
}

// hashOf returns the hash that stands for a name in datagrams.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
