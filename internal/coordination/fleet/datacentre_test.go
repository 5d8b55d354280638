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

// from returns a datagram of a front of a data centre.
func from(front, dataCentre string, sequence uint64, batch int32) *wire.Load {
	l := load(front, sequence, nil, map[string]int32{"s": batch})
	l.SetDataCentre(dataCentre)
	return l
}

// telling returns a datagram of a front that tells of all of its data centre.
func telling(front, dataCentre string, sequence uint64, batch int32, heard ...string) *wire.Load {
	l := from(front, dataCentre, sequence, 0)
	a := wire.DataCentreLoad_builder{Servers: []uint64{xxhash.Sum64String("s")}, Online: []int32{0}, Batch: []int32{batch}}
	for _, h := range heard {
		a.Heard = append(a.Heard, xxhash.Sum64String(h))
	}
	l.SetAll(a.Build())
	l.SetServers(nil)
	return l
}

// Guards against requests of another data centre that count twice, once for
// their front and once in what its neighbours tell, and against ones that count
// for ever after nobody tells of them any more.
func TestTotalsReplaceLoads(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	w := func(o time.Time) int {
		n := 0
		for b := f.AcquireBatch(o, service); b != nil; b = f.AcquireBatch(o, service) {
			n++
		}
		for range n {
			f.ReleaseBatch("s", false)
		}
		return n
	}
	f.UpdatePeer(start, from("c1", "c", 1, 3))
	g := []int{w(start)}
	f.UpdatePeer(start, telling("c2", "c", 1, 5))
	g = append(g, w(start))
	f.UpdatePeer(start, telling("c1", "c", 2, 2))
	g = append(g, w(start))
	o := start.Add(3 * time.Second)
	f.ExpirePeers(o)
	g = append(g, w(o))
	if d := cmp.Diff([]int{5, 3, 6, 8}, g); d != "" {
		t.Error(d)
	}
}

// Guards against what a front tells of its data centre that lacks itself or a
// neighbour, or has another data centre's requests.
func TestAll(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.UpdatePeer(start, from("front-a", "a", 1, 3))
	f.UpdatePeer(start, from("c1", "c", 1, 1))
	f.AcquireBatch(start, service)
	a := f.DataCentreLoad(start.Add(100 * time.Millisecond))
	w := wire.DataCentreLoad_builder{
		Servers: []uint64{xxhash.Sum64String("s")}, Online: []int32{0}, Batch: []int32{4},
		Heard: []uint64{xxhash.Sum64String("front-a")},
	}.Build()
	if d := cmp.Diff(w, a, protocmp.Transform()); d != "" {
		t.Error(d)
	}
	if n := len(f.DataCentreLoad(start.Add(time.Second)).GetHeard()); n > 0 {
		t.Error("silent fronts that are told as heard:", n)
	}
}

// Guards against a front that counts as gone though its neighbours hear it, and
// against one that lives on in what they tell.
func TestNeighboursTellWhoLives(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.UpdatePeer(start, telling("c1", "c", 1, 0))
	f.UpdatePeer(start.Add(1900*time.Millisecond), telling("c2", "c", 1, 0, "c1"))
	g := []bool{f.Alive(start.Add(3*time.Second), "c1")}
	// Its neighbour does not hear it any more.
	f.UpdatePeer(start.Add(3*time.Second), telling("c2", "c", 2, 0))
	g = append(g, f.Alive(start.Add(3800*time.Millisecond), "c1"))
	if d := cmp.Diff([]bool{true, false}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a datagram whose lists don't belong together and that would
// count the requests of one server at another.
func TestGarbledTotal(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	l := telling("c1", "c", 1, 3)
	l.GetAll().SetOnline([]int32{1, 2})
	f.UpdatePeer(start, l)
	n := 0
	for b := f.AcquireBatch(start, service); b != nil; b = f.AcquireBatch(start, service) {
		n++
	}
	if d := cmp.Diff(8, n); d != "" {
		t.Error(d)
	}
}

// Guards against fronts of different data centres that all give up batch items
// for the same excess, or none of them: by data centre and then by name, the
// first ones do.
func TestExcessOverDataCentres(t *testing.T) {
	// One request too many at a server, with three batch items of each of two
	// data centres and two online requests besides.
	x := func(dataCentre, other string) int {
		f := fleet.New(dataCentre+"1", dataCentre)
		f.SetServers(start, []*wire.BackendServer{server("s", "a", 7)}, start, start)
		for range 3 {
			f.AcquireBatch(start, service)
		}
		f.UpdatePeer(start, telling(other+"1", other, 1, 3))
		f.AcquireOnline(start, service, target, left, nil, 0)
		f.AcquireOnline(start, service, target, left, nil, 0)
		return f.BatchExcess("s")
	}
	if d := cmp.Diff([]int{1, 0}, []int{x("a", "c"), x("c", "a")}); d != "" {
		t.Error(d)
	}
}
