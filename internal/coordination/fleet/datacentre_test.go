package fleet_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// loadFrom returns a datagram in which a front reports batch items at the server
// "s".
func loadFrom(front, dataCentre string, sequence uint64, batch int32) *wire.Load {
	l := load(front, sequence, nil, map[string]int32{"s": batch})
	l.SetDataCentre(dataCentre)
	return l
}

// aggregateFrom returns a datagram in which a front reports the load of its whole
// data centre and the live fronts there.
func aggregateFrom(front, dataCentre string, sequence uint64, batch int32, heard ...string) *wire.Load {
	l := loadFrom(front, dataCentre, sequence, 0)
	a := wire.DataCentreLoad_builder{Servers: []uint64{xxhash.Sum64String("s")}, Online: []int32{0}, Batch: []int32{batch}}
	for _, h := range heard {
		a.Heard = append(a.Heard, xxhash.Sum64String(h))
	}
	l.SetAll(a.Build())
	l.SetServers(nil)
	return l
}

// Guards against requests of another data centre that are counted twice, in the
// load of their front and in the aggregated load, and against an aggregated load
// that is never removed after its reports have stopped.
func TestDataCentreLoadReplacesFrontLoads(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	// w returns how many batch items the server accepts at a time.
	w := func(o time.Time) int {
		n := 0
		for b := f.AcquireBatch(o, service, nil); b != nil; b = f.AcquireBatch(o, service, nil) {
			n++
		}
		for range n {
			f.ReleaseBatch("s", false)
		}
		return n
	}
	f.UpdatePeer(start, loadFrom("c1", "c", 1, 3))
	g := []int{w(start)}
	f.UpdatePeer(start, aggregateFrom("c2", "c", 1, 5))
	g = append(g, w(start))
	f.UpdatePeer(start, aggregateFrom("c1", "c", 2, 2))
	g = append(g, w(start))
	o := start.Add(3 * time.Second)
	f.ExpirePeers(o)
	g = append(g, w(o))
	if d := cmp.Diff([]int{5, 3, 6, 8}, g); d != "" {
		t.Error(d)
	}
}

// Guards against an aggregated load that lacks the reporting front or a
// neighbour, or includes requests of another data centre.
func TestDataCentreLoadCoversItsFronts(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.UpdatePeer(start, loadFrom("front-a", "a", 1, 3))
	f.UpdatePeer(start, loadFrom("c1", "c", 1, 1))
	f.AcquireBatch(start, service, nil)
	a := f.DataCentreLoad(start.Add(100 * time.Millisecond))
	w := wire.DataCentreLoad_builder{
		Servers: []uint64{xxhash.Sum64String("s")}, Online: []int32{0}, Batch: []int32{4},
		Heard: []uint64{xxhash.Sum64String("front-a")},
	}.Build()
	if d := cmp.Diff(w, a, protocmp.Transform()); d != "" {
		t.Error(d)
	}
	if n := len(f.DataCentreLoad(start.Add(time.Second)).GetHeard()); n > 0 {
		t.Error("silent fronts reported as alive:", n)
	}
}

// Guards against a front that is presumed dead although its neighbours report it
// as alive, and against one that stays alive after they have stopped doing so.
func TestNeighboursReportLiveFronts(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.UpdatePeer(start, aggregateFrom("c1", "c", 1, 0))
	f.UpdatePeer(start.Add(1900*time.Millisecond), aggregateFrom("c2", "c", 1, 0, "c1"))
	g := []bool{f.Alive(start.Add(3*time.Second), "c1")}
	// Its neighbour no longer reports it.
	f.UpdatePeer(start.Add(3*time.Second), aggregateFrom("c2", "c", 2, 0))
	g = append(g, f.Alive(start.Add(3800*time.Millisecond), "c1"))
	if d := cmp.Diff([]bool{true, false}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a datagram with lists of different lengths, by which requests
// would be counted at the wrong server.
func TestMalformedDataCentreLoadIsIgnored(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	l := aggregateFrom("c1", "c", 1, 3)
	l.GetAll().SetOnline([]int32{1, 2})
	f.UpdatePeer(start, l)
	n := 0
	for b := f.AcquireBatch(start, service, nil); b != nil; b = f.AcquireBatch(start, service, nil) {
		n++
	}
	if d := cmp.Diff(8, n); d != "" {
		t.Error(d)
	}
}

// Guards against fronts of different data centres that all preempt batch items
// for the same excess, or that each leave it to the others. The first data
// centre by name preempts.
func TestBatchExcessIsSharedByDataCentres(t *testing.T) {
	// A server with seven slots has eight requests: three batch items of each of
	// two data centres, and two online requests.
	x := func(dataCentre, other string) int {
		f := fleet.New(dataCentre+"1", dataCentre)
		f.SetServers(start, []*wire.BackendServer{server("s", "a", 7)}, start, start)
		for range 3 {
			f.AcquireBatch(start, service, nil)
		}
		f.UpdatePeer(start, aggregateFrom(other+"1", other, 1, 3))
		f.AcquireOnline(start, service, target, remaining, nil, 0)
		f.AcquireOnline(start, service, target, remaining, nil, 0)
		return f.BatchExcess("s")
	}
	if d := cmp.Diff([]int{1, 0}, []int{x("a", "c"), x("c", "a")}); d != "" {
		t.Error(d)
	}
}
