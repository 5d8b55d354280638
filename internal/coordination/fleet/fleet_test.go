package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	target  = 300 * time.Millisecond
	left    = 5 * time.Second
	service = "assistant"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id, dataCentre string, slots int32) *wire.BackendServer {
	return wire.BackendServer_builder{
		Id: proto.String(id), Service: proto.String(service), Address: proto.String("10.0.0.1:80"),
		DataCentre: proto.String(dataCentre), Slots: proto.Int32(slots),
	}.Build()
}

func load(front string, sequence uint64, online, batch map[string]int32) *wire.Load {
	l := wire.Load_builder{Name: &front, Incarnation: proto.Uint64(1), Sequence: &sequence}
	for i, n := range online {
		l.Servers = append(l.Servers, wire.ServerLoad_builder{Server: proto.Uint64(xxhash.Sum64String(i)), Online: &n}.Build())
	}
	for i, n := range batch {
		l.Servers = append(l.Servers, wire.ServerLoad_builder{Server: proto.Uint64(xxhash.Sum64String(i)), Batch: &n}.Build())
	}
	return l.Build()
}

func newFleet(l ...*wire.BackendServer) *fleet.Fleet {
	f := fleet.New("front-b", "a")
	f.SetServers(start, l, start, start)
	return f
}

// take returns the id of the chosen server and the reason.
func take(f *fleet.Fleet, now time.Time, tried ...string) [2]string {
	b, r, _ := f.AcquireOnline(now, service, target, left, tried, 0)
	return [2]string{b.GetId(), r}
}

// Guards against online requests that wait behind batch items while a slot is
// free, or while a batch item could give up its slot.
func TestTakeOrder(t *testing.T) {
	f := newFleet(server("near", "a", 2), server("far", "b", 2))
	f.UpdatePeer(start, load("front-a", 1, map[string]int32{"far": 1}, map[string]int32{"near": 2}))
	g := [][2]string{take(f, start), take(f, start), take(f, start)}
	w := [][2]string{
		{"far", fleet.ReasonFree},
		{"near", fleet.ReasonPreempt},
		{"near", fleet.ReasonPreempt},
	}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against a request that is sent to another data centre without need.
func TestTakeNear(t *testing.T) {
	f := newFleet(server("far", "b", 8), server("near", "a", 8))
	if d := cmp.Diff([2]string{"near", fleet.ReasonFree}, take(f, start)); d != "" {
		t.Error(d)
	}
}

// Guards against queues that make answers late: with 8 slots held for 500 ms,
// a request's part of 120 ms for waiting allows two in the queue. The next one
// is refused at once, with a time to come back.
func TestTakeRefusesLate(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	var n int
	for {
		b, r, w := f.AcquireOnline(start, service, target, left, nil, 0.5)
		if b == nil {
			if d := cmp.Diff(fleet.ReasonFull, r); d != "" {
				t.Error(d)
			}
			if w <= 0 {
				t.Error("no time to come back")
			}
			break
		}
		n++
	}
	if d := cmp.Diff(8+2, n); d != "" {
		t.Error(d)
	}
}

// Guards against callers that come back in step after a refusal, or into the
// same burst: a caller that has 5 s left waits for 1.7 s at the most.
func TestRefusedReturnApart(t *testing.T) {
	f := newFleet(server("s", "a", 1))
	for take(f, start)[1] != fleet.ReasonFull {
	}
	var g []time.Duration
	for _, d := range []float64{0, 0.5, 0.99} {
		_, _, w := f.AcquireOnline(start, service, target, left, nil, d)
		g = append(g, w.Round(50*time.Millisecond))
	}
	a := []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1650 * time.Millisecond}
	if d := cmp.Diff(a, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items that take slots beside a full house.
func TestTakeBatchFreeOnly(t *testing.T) {
	f := newFleet(server("s", "a", 2))
	f.UpdatePeer(start, load("front-a", 1, map[string]int32{"s": 1}, nil))
	var g []string
	for range 2 {
		g = append(g, f.AcquireBatch(start, service).GetId())
	}
	if d := cmp.Diff([]string{"s", ""}, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items that start, and give up their slots at once, over
// and over: of 18 servers with 8 slots, 115 of them in use in a burst, they
// leave 11 free.
func TestTakeBatchLeavesHeadroom(t *testing.T) {
	var l []*wire.BackendServer
	for n := range 18 {
		l = append(l, server(fmt.Sprint("s", n), "a", 8))
	}
	f := newFleet(l...)
	for range 115 {
		take(f, start)
	}
	n := 0
	for f.AcquireBatch(start, service) != nil {
		n++
	}
	if d := cmp.Diff(144-115-11, n); d != "" {
		t.Error(d)
	}
}

// Guards against two fronts that both give up an item for the same request, or
// that each wait for the other: the first by name gives up what it can.
func TestExcessIsShared(t *testing.T) {
	i := map[string]int32{"s": 2}
	a := fleet.New("front-a", "a")
	b := fleet.New("front-b", "a")
	for _, f := range []*fleet.Fleet{a, b} {
		f.SetServers(start, []*wire.BackendServer{server("s", "a", 4)}, start, start)
		f.AcquireBatch(start, service)
		f.AcquireBatch(start, service)
	}
	a.UpdatePeer(start, load("front-b", 1, nil, i))
	b.UpdatePeer(start, load("front-a", 1, nil, i))
	for _, f := range []*fleet.Fleet{a, b} {
		f.UpdatePeer(start, load("front-c", 1, map[string]int32{"s": 3}, nil))
	}
	g := []int{a.BatchExcess("s"), b.BatchExcess("s")}
	if d := cmp.Diff([]int{2, 1}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a datagram that was delayed or doubled and brings back an old
// load, and against one of an earlier process of the same name.
func TestOldDatagramIsIgnored(t *testing.T) {
	f := newFleet(server("s", "a", 1), server("t", "b", 1))
	f.UpdatePeer(start, load("front-a", 2, map[string]int32{"s": 1}, nil))
	f.UpdatePeer(start, load("front-a", 1, nil, nil))
	if d := cmp.Diff([2]string{"t", fleet.ReasonFree}, take(f, start)); d != "" {
		t.Error(d)
	}
}

// Guards against slots that stay taken by a front that is gone.
func TestSilentFrontExpires(t *testing.T) {
	f := newFleet(server("s", "a", 1))
	f.UpdatePeer(start, load("front-a", 1, map[string]int32{"s": 1}, nil))
	l := start.Add(3 * time.Second)
	g := []any{f.ExpirePeers(l), f.Alive(l, "front-a"), f.ActivePeers(l), take(f, l)}
	w := []any{[]string{"front-a"}, false, []string(nil), [2]string{"s", fleet.ReasonFree}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against new work for a backend server that is leaving or gone.
func TestLeavingServers(t *testing.T) {
	d := server("draining", "a", 8)
	d.SetDraining(true)
	f := newFleet(d, server("gone", "a", 8))
	f.SetServers(start, []*wire.BackendServer{d}, start, start)
	if d := cmp.Diff([2]string{"", fleet.ReasonNoServer}, take(f, start)); d != "" {
		t.Error(d)
	}
}

// Guards against an outage of the platform that takes the backend servers with
// it: an entry that lapsed meanwhile is used until it must be back.
func TestLapsedEntryIsKept(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	u := start.Add(2 * time.Second)
	f.SetServers(start, nil, start, u)
	g := []string{take(f, start)[0]}
	f.SetServers(u, nil, u, u)
	g = append(g, take(f, u)[0])
	if d := cmp.Diff([]string{"s", ""}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a service without servers after an outage of the platform that
// this front has not noticed: all entries lapse at once, and are back within
// two seconds. A server that leaves alone is not kept.
func TestManyEntriesLapse(t *testing.T) {
	var l []*wire.BackendServer
	for n := range 6 {
		l = append(l, server(fmt.Sprint("s", n), "a", 8))
	}
	f := newFleet(l...)
	f.SetServers(start, l[1:], start, start)
	g := []int{f.ServerCount()}
	o := start.Add(10 * time.Second)
	f.SetServers(o, l[4:], start, o)
	f.SetServers(o.Add(100*time.Millisecond), nil, start, o)
	g = append(g, f.ServerCount())
	f.SetServers(o.Add(1900*time.Millisecond), l[3:], start, o)
	f.SetServers(o.Add(2500*time.Millisecond), l[3:], start, o)
	g = append(g, f.ServerCount())
	if d := cmp.Diff([]int{5, 5, 3}, g); d != "" {
		t.Error(d)
	}
}

// Guards against requests for servers of a service that are removed together
// while the platform answers, as if their entries had lapsed in an outage: two
// seconds after the removal none of them may get one.
func TestServersRemovedTogetherAreNotKept(t *testing.T) {
	l := []*wire.BackendServer{server("a", "a", 6), server("b", "a", 6), server("c", "a", 6)}
	f := newFleet(l...)
	// The platform confirmed the list a second before the removal was heard of.
	r := start.Add(9 * time.Second)
	h := r.Add(time.Second)
	u := f.SetServers(h, l[2:], r, h)
	if d := cmp.Diff(true, u.Before(r.Add(2*time.Second))); d != "" {
		t.Error(d)
	}
	f.SetServers(u, l[2:], h, h)
	if d := cmp.Diff(1, f.ServerCount()); d != "" {
		t.Error(d)
	}
}

// Guards against requests for servers that leave without notice, one after the
// other, as in a release: each is dropped at once.
func TestReplacedEntriesAreNotKept(t *testing.T) {
	l := []*wire.BackendServer{server("a", "a", 8), server("b", "a", 8), server("c", "a", 8)}
	f := newFleet(l...)
	var g []int
	for n := range l {
		o := start.Add(time.Duration(n+1) * 800 * time.Millisecond)
		f.SetServers(o, l[n+1:], o.Add(-time.Second), o)
		g = append(g, f.ServerCount())
	}
	if d := cmp.Diff([]int{2, 1, 0}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a backend server that cannot be reached and takes request
// after request, and against one that is left alone for a single lost answer.
func TestFailures(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	g := []time.Duration{
		f.RecordFailure(start, "s", false),
		f.RecordFailure(start, "s", true),
	}
	f.AcquireBatch(start.Add(time.Minute), service)
	f.ReleaseBatch("s", true)
	g = append(g, f.RecordFailure(start, "s", true))
	if d := cmp.Diff([]time.Duration{0, 600 * time.Millisecond, 300 * time.Millisecond}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([2]string{"", fleet.ReasonNoServer}, take(f, start.Add(299*time.Millisecond))); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([2]string{"s", fleet.ReasonFree}, take(f, start.Add(300*time.Millisecond))); d != "" {
		t.Error(d)
	}
}

// Guards against counts that drift: what was taken is given back.
func TestLoadsReturnToZero(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	take(f, start)
	f.AcquireBatch(start, service)
	o := int32(1)
	w := []*wire.ServerLoad{wire.ServerLoad_builder{Server: proto.Uint64(xxhash.Sum64String("s")), Online: &o, Batch: &o}.Build()}
	if d := cmp.Diff(len(w), len(f.LocalLoads(start))); d != "" || !proto.Equal(w[0], f.LocalLoads(start)[0]) {
		t.Error(d, f.LocalLoads(start))
	}
	f.ReleaseOnline("s", time.Second)
	f.ReleaseBatch("s", true)
	if d := cmp.Diff(0, len(f.LocalLoads(start))); d != "" {
		t.Error(d)
	}
}

// Guards against a backend server that is silent to this front and takes a
// burst of requests each time that it is tried again: it gets one.
func TestOneTrialAfterFailure(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.RecordFailure(start, "s", true)
	n := start.Add(time.Second)
	g := [][2]string{take(f, n), take(f, n)}
	f.ReleaseOnline("s", 50*time.Millisecond)
	g = append(g, take(f, n), take(f, n))
	w := [][2]string{
		{"s", fleet.ReasonFree},
		{"", fleet.ReasonNoServer},
		{"s", fleet.ReasonFree},
		{"s", fleet.ReasonFree},
	}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against requests of a large fleet that all go to a server of another
// data centre whose load they hear late.
func TestLargeFleetStaysNear(t *testing.T) {
	f := newFleet(server("near", "a", 8), server("far", "b", 8))
	for n := range fleet.SmallFleetPeers + 1 {
		f.UpdatePeer(start, load(fmt.Sprint("front-", n), 1, nil, nil))
	}
	f.UpdatePeer(start, load("busy", 1, map[string]int32{"near": 6}, nil))
	g := [][2]string{take(f, start), take(f, start), take(f, start)}
	w := [][2]string{{"near", fleet.ReasonFree}, {"near", fleet.ReasonFree}, {"far", fleet.ReasonFree}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}
