package meter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/meter"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func servers(count int) []*wire.BackendServer {
	var l []*wire.BackendServer
	for n := range count {
		l = append(l, wire.BackendServer_builder{Id: proto.String(fmt.Sprint("s", n)), Service: proto.String("v"), Slots: proto.Int32(8)}.Build())
	}
	return l
}

// series returns the number of time series.
func series(t *testing.T, registry *prometheus.Registry) int {
	t.Helper()
	l, e := registry.Gather()
	if e != nil {
		t.Fatal(e)
	}
	n := 0
	for _, f := range l {
		n += len(f.GetMetric())
	}
	return n
}

// Guards against metrics of servers that are gone, which would add up, against log lines
// without bound (30 servers turn slow at once, and one is told in each second), and
// against metrics while the setting is off.
func TestReport(t *testing.T) {
	h := memory.New()
	g := prometheus.NewRegistry()
	f := fleet.New("front", "a")
	r := meter.New(f, &log.Logger{Handler: h, Level: log.InfoLevel}, g)
	f.SetServers(start, servers(60), start, start)
	r.Update(start)
	n := []int{series(t, g)}
	f.LearnCapacity()
	f.SetServers(start, servers(60), start, start)
	o := start
	for range 15 {
		o = o.Add(time.Second)
		for k := range 30 {
			p := uint32(3000)
			x := wire.ServerSample_builder{Server: proto.Uint64(xxhash.Sum64String(fmt.Sprint("s", k))), Concurrency: proto.Uint32(1), FirstPermille: &p, PacePermille: &p}.Build()
			f.MergeSamples(o, []*wire.ServerSample{x, x})
		}
		r.Update(o)
		n = append(n, len(h.Entries))
	}
	n = append(n, series(t, g))
	f.SetServers(o, servers(2), o, o)
	// Servers that disappear together are kept for a while.
	o = o.Add(3 * time.Second)
	f.SetServers(o, servers(2), o, o)
	r.Update(o)
	n = append(n, series(t, g))
	if n[1] > 10 || n[15] < 30 || n[15] > 120 {
		t.Error("log lines:", n[1:16])
	}
	if d := cmp.Diff([]int{0, 120, 4}, []int{n[0], n[16], n[17]}); d != "" {
		t.Error(d)
	}
}
