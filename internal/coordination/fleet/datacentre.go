package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Fronts whose last datagram is at most this old are reported as alive to other
// data centres.
const recentlyHeard = 500 * time.Millisecond

// inFlight counts the requests in flight at a backend server.
type inFlight struct {
	online, batch int
	tokens        int64
	// Some front avoids the server because it answers with failures.
	failing bool
}

// dataCentreLoad is the aggregated load of all fronts of another data centre, as
// last reported by any of them. Since each front reports for all, each needs to
// send only occasionally, and the load is as recent as the last report of any.
type dataCentreLoad struct {
	// By the hash of the backend server's id.
	servers    map[uint64]inFlight
	teams      []*wire.TeamLoad
	receivedAt time.Time
}

// DataCentreLoad returns the aggregated load of all fronts of this data centre,
// and which of the other fronts there are alive.
func (f *Fleet) DataCentreLoad(now time.Time) *wire.DataCentreLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := wire.DataCentreLoad_builder{}
	k := false
	for h, n := range f.ownDataCentreLoad(now) {
		t.Servers = append(t.Servers, h)
		t.Online = append(t.Online, int32(n.online))
		t.Batch = append(t.Batch, int32(n.batch))
		t.Tokens = append(t.Tokens, n.tokens)
		k = k || n.tokens > 0
		if n.failing {
			t.Failing = append(t.Failing, h)
		}
	}
	if !k {
		t.Tokens = nil
	}
	t.Teams = f.ownDataCentreTeams()
	for _, p := range f.peers {
		if p.load.GetDataCentre() == f.dataCentre && now.Sub(p.lastSeen) <= recentlyHeard {
			t.Heard = append(t.Heard, p.nameHash)
		}
	}
	return t.Build()
}

// ownDataCentreLoad returns the requests in flight of all fronts of this data
// centre by the hash of the backend server's id.
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
		n.tokens += max(x.GetTokens(), 0)
		n.failing = n.failing || x.GetFailing()
		sums[x.GetServer()] = n
	}
}

// decodeDataCentreLoad returns the requests in flight that a datagram reports, by
// the hash of the backend server's id. It returns nil if the lists in the
// datagram differ in length.
func decodeDataCentreLoad(load *wire.DataCentreLoad) map[uint64]inFlight {
	l, o, b, t := load.GetServers(), load.GetOnline(), load.GetBatch(), load.GetTokens()
	// An earlier build, and a data centre without requests that state tokens, send none.
	if len(o) != len(l) || len(b) != len(l) || len(t) != len(l) && len(t) != 0 {
		return nil
	}
	m := make(map[uint64]inFlight, len(l))
	for i, h := range l {
		n := inFlight{online: int(o[i]), batch: int(b[i])}
		if len(t) > 0 {
			n.tokens = max(t[i], 0)
		}
		m[h] = n
	}
	for _, h := range load.GetFailing() {
		n := m[h]
		n.failing = true
		m[h] = n
	}
	return m
}

// setDataCentreLoad replaces the aggregated load of a data centre, and refreshes
// the fronts that are reported as alive there. The caller holds the lock.
func (f *Fleet) setDataCentreLoad(now time.Time, dataCentre string, load *wire.DataCentreLoad) {
	t := f.dataCentreLoads[dataCentre]
	if t == nil {
		t = &dataCentreLoad{}
		f.dataCentreLoads[dataCentre] = t
		// From now on its fronts are no longer counted individually.
		f.recountRemote()
	}
	f.adjustDataCentreLoad(t, -1)
	t.servers = decodeDataCentreLoad(load)
	t.teams = load.GetTeams()
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

// adjustDataCentreLoad adds the requests of a data centre, or subtracts them if
// sign is -1.
func (f *Fleet) adjustDataCentreLoad(load *dataCentreLoad, sign int) {
	for h, n := range load.servers {
		f.adjustServer(h, n, sign)
	}
}

// expireDataCentreLoads removes the loads of data centres that are no longer
// reported, and returns whether there were any. The caller holds the lock.
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

// countedIndividually reports whether the loads of a front itself are counted,
// rather than the aggregated load of its data centre.
func (f *Fleet) countedIndividually(peer *peer) bool {
	return f.dataCentreLoads[peer.load.GetDataCentre()] == nil
}

// hashOf returns the hash that identifies a name in datagrams.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
