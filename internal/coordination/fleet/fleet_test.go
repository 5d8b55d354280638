package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	target    = 300 * time.Millisecond
	remaining = 5 * time.Second
	service   = "assistant"
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

func newFleet(servers ...*wire.BackendServer) *fleet.Fleet {
	f := fleet.New("front-b", "a")
	f.SetServers(start, servers, start, start)
	return f
}

// acquire returns the id of the server chosen for an online request, and the
// reason.
func acquire(fleet *fleet.Fleet, now time.Time, tried ...string) [2]string {
	b, r, _ := fleet.AcquireOnline(now, service, target, remaining, func(b *wire.BackendServer, _ bool) bool { return !slices.Contains(tried, b.GetId()) }, 0)
	return [2]string{b.GetId(), r}
}

// Guards against online requests that queue behind batch items while a slot is
// free or a batch item can be preempted.
func TestOnlineRequestsPreferFreeThenBatchSlots(t *testing.T) {
	f := newFleet(server("near", "a", 2), server("far", "b", 2))
	f.UpdatePeer(start, load("front-a", 1, map[string]int32{"far": 1}, map[string]int32{"near": 2}))
	g := [][2]string{acquire(f, start), acquire(f, start), acquire(f, start)}
	w := [][2]string{
		{"far", fleet.ReasonFree},
		{"near", fleet.ReasonPreempt},
		{"near", fleet.ReasonPreempt},
	}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against requests sent to another data centre without need.
func TestLocalDataCentreIsPreferred(t *testing.T) {
	f := newFleet(server("far", "b", 8), server("near", "a", 8))
	if d := cmp.Diff([2]string{"near", fleet.ReasonFree}, acquire(f, start)); d != "" {
		t.Error(d)
	}
}

// Guards against queues that make answers late. With 8 slots, a service time of
// 500 ms and 120 ms of a request's target available for waiting, two requests
// may queue. The next one must be refused at once, with a time to retry after.
func TestQueueStaysWithinTarget(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	var n int
	for {
		b, r, w := f.AcquireOnline(start, service, target, remaining, nil, 0.5)
		if b == nil {
			if d := cmp.Diff(fleet.ReasonFull, r); d != "" {
				t.Error(d)
			}
			if w <= 0 {
				t.Error("request refused without a positive retry delay")
			}
			break
		}
		n++
	}
	if d := cmp.Diff(8+2, n); d != "" {
		t.Error(d)
	}
}

// Guards against refused callers that all retry at the same time, or within the
// same burst. A caller with 5 s remaining waits for at most 1.7 s.
func TestRetriesAfterRefusalAreSpread(t *testing.T) {
	f := newFleet(server("s", "a", 1))
	for acquire(f, start)[1] != fleet.ReasonFull {
	}
	var g []time.Duration
	for _, d := range []float64{0, 0.5, 0.99} {
		_, _, w := f.AcquireOnline(start, service, target, remaining, nil, d)
		g = append(g, w.Round(50*time.Millisecond))
	}
	a := []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1650 * time.Millisecond}
	if d := cmp.Diff(a, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items sent to a server without a free slot.
func TestBatchTakesFreeSlotsOnly(t *testing.T) {
	f := newFleet(server("s", "a", 2))
	f.UpdatePeer(start, load("front-a", 1, map[string]int32{"s": 1}, nil))
	var g []string
	for range 2 {
		g = append(g, f.AcquireBatch(start, service, nil).GetId())
	}
	if d := cmp.Diff([]string{"s", ""}, g); d != "" {
		t.Error(d)
	}
}

// Guards against batch items that are repeatedly started and preempted at once.
// Of 18 servers with 8 slots each, 115 slots are in use in a burst; batch items
// must leave 11 slots free.
func TestBatchLeavesHeadroom(t *testing.T) {
	var l []*wire.BackendServer
	for n := range 18 {
		l = append(l, server(fmt.Sprint("s", n), "a", 8))
	}
	f := newFleet(l...)
	for range 115 {
		acquire(f, start)
	}
	n := 0
	for f.AcquireBatch(start, service, nil) != nil {
		n++
	}
	if d := cmp.Diff(144-115-11, n); d != "" {
		t.Error(d)
	}
}

// Guards against two fronts that both preempt an item for the same request, or
// that each leave it to the other. The first front by name preempts as many
// items as it has.
func TestBatchExcessIsSharedByFronts(t *testing.T) {
	i := map[string]int32{"s": 2}
	a := fleet.New("front-a", "a")
	b := fleet.New("front-b", "a")
	for _, f := range []*fleet.Fleet{a, b} {
		f.SetServers(start, []*wire.BackendServer{server("s", "a", 4)}, start, start)
		f.AcquireBatch(start, service, nil)
		f.AcquireBatch(start, service, nil)
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

// Guards against a delayed or duplicated datagram that restores an old load.
func TestStaleDatagramIsIgnored(t *testing.T) {
	f := newFleet(server("s", "a", 1), server("t", "b", 1))
	f.UpdatePeer(start, load("front-a", 2, map[string]int32{"s": 1}, nil))
	f.UpdatePeer(start, load("front-a", 1, nil, nil))
	if d := cmp.Diff([2]string{"t", fleet.ReasonFree}, acquire(f, start)); d != "" {
		t.Error(d)
	}
}

// Guards against slots that stay occupied by a front that has crashed.
func TestLoadOfSilentFrontExpires(t *testing.T) {
	f := newFleet(server("s", "a", 1))
	f.UpdatePeer(start, load("front-a", 1, map[string]int32{"s": 1}, nil))
	l := start.Add(3 * time.Second)
	g := []any{f.ExpirePeers(l), f.Alive(l, "front-a"), f.ActivePeers(l), acquire(f, l)}
	w := []any{[]string{"front-a"}, false, []string(nil), [2]string{"s", fleet.ReasonFree}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against requests sent to a backend server that is draining or no longer
// listed.
func TestDrainingServersGetNoRequests(t *testing.T) {
	d := server("draining", "a", 8)
	d.SetDraining(true)
	f := newFleet(d, server("gone", "a", 8))
	f.SetServers(start, []*wire.BackendServer{d}, start, start)
	if d := cmp.Diff([2]string{"", fleet.ReasonNoServer}, acquire(f, start)); d != "" {
		t.Error(d)
	}
}

// Guards against losing the backend servers in an outage of the platform. An
// entry that expired in the outage is used until it should be registered again.
func TestExpiredEntryIsKeptInOutage(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	u := start.Add(2 * time.Second)
	f.SetServers(start, nil, start, u)
	g := []string{acquire(f, start)[0]}
	f.SetServers(u, nil, u, u)
	g = append(g, acquire(f, u)[0])
	if d := cmp.Diff([]string{"s", ""}, g); d != "" {
		t.Error(d)
	}
}

// Guards against a service without servers after an outage of the platform that
// this front has not noticed. All entries expire at once and are registered
// again within two seconds. A server that disappears alone is not kept.
func TestMassExpiryKeepsServers(t *testing.T) {
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

// Guards against mistaking a removal of several servers for a mass expiry while
// the platform is available. Two seconds after the removal none of the servers
// may get a request.
func TestServersRemovedTogetherAreDropped(t *testing.T) {
	l := []*wire.BackendServer{server("a", "a", 6), server("b", "a", 6), server("c", "a", 6)}
	f := newFleet(l...)
	// The platform confirmed the list a second before the removal was received.
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

// Guards against requests sent to servers that disappear one after the other
// without draining, as in a rolling release. Each must be dropped at once.
func TestReplacedServersAreDropped(t *testing.T) {
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

// Guards against an unreachable backend server that keeps getting requests, and
// against a backoff after a single lost answer.
func TestBackoffAfterFailures(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	g := []time.Duration{
		f.RecordFailure(start, server("s", "a", 4), false),
		f.RecordFailure(start, server("s", "a", 4), true),
	}
	f.AcquireBatch(start.Add(time.Minute), service, nil)
	f.ReleaseBatch("s", true)
	g = append(g, f.RecordFailure(start, server("s", "a", 4), true))
	if d := cmp.Diff([]time.Duration{0, 600 * time.Millisecond, 300 * time.Millisecond}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([2]string{"", fleet.ReasonNoServer}, acquire(f, start.Add(299*time.Millisecond))); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([2]string{"s", fleet.ReasonFree}, acquire(f, start.Add(300*time.Millisecond))); d != "" {
		t.Error(d)
	}
}

// Guards against request counts that drift because a release does not undo its
// acquisition.
func TestReleaseUndoesAcquire(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	acquire(f, start)
	f.AcquireBatch(start, service, nil)
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

// Guards against an unresponsive backend server that gets a burst of requests
// each time its backoff ends. It must get a single probe request.
func TestOneProbeAfterBackoff(t *testing.T) {
	f := newFleet(server("s", "a", 8))
	f.RecordFailure(start, server("s", "a", 4), true)
	n := start.Add(time.Second)
	g := [][2]string{acquire(f, n), acquire(f, n)}
	f.ReleaseOnline("s", 50*time.Millisecond)
	g = append(g, acquire(f, n), acquire(f, n))
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

// Guards against a large fleet whose requests all go to a server of another data
// centre because its reported load is stale.
func TestLargeFleetPrefersLocalDataCentre(t *testing.T) {
	f := newFleet(server("near", "a", 8), server("far", "b", 8))
	for n := range fleet.SmallFleetPeers + 1 {
		f.UpdatePeer(start, load(fmt.Sprint("front-", n), 1, nil, nil))
	}
	f.UpdatePeer(start, load("busy", 1, map[string]int32{"near": 6}, nil))
	g := [][2]string{acquire(f, start), acquire(f, start), acquire(f, start)}
	w := [][2]string{{"near", fleet.ReasonFree}, {"near", fleet.ReasonFree}, {"far", fleet.ReasonFree}}
	if d := cmp.Diff(w, g); d != "" {
		t.Error(d)
	}
}

// Guards against a server that is used for more than two seconds after its
// removal, because the front believes in an outage of the platform that has
// ended, and against servers that are dropped although their entries may have
// lapsed in an outage.
func TestRemovalInBelievedOutageIsNoLapse(t *testing.T) {
	o := start.Add(time.Minute)
	s := func(seconds float64) time.Time { return o.Add(time.Duration(seconds * float64(time.Second))) }
	l := map[string]struct {
		confirmedAt time.Time
		ongoing     bool
		endedAt     time.Time
		want        time.Time
	}{
		"no outage":                               {confirmedAt: s(-1), want: o},
		"outage that the watch contradicts":       {confirmedAt: s(-9), ongoing: true, want: s(1.7)},
		"first list after the outage":             {confirmedAt: s(-9), endedAt: s(-0.1), want: s(2.1)},
		"removal after the outage":                {confirmedAt: s(-0.1), endedAt: s(-0.1), want: s(1.7)},
		"removal at the end of the grace":         {confirmedAt: s(-1), endedAt: s(-2), want: s(0.2)},
		"removal long after the outage has ended": {confirmedAt: s(-1), endedAt: s(-20), want: s(-17.8)},
	}
	for n, k := range l {
		t.Run(n, func(t *testing.T) {
			if d := cmp.Diff(k.want, fleet.LapsedUntil(o, k.confirmedAt, k.ongoing, k.endedAt)); d != "" {
				t.Error(d)
			}
		})
	}
}
