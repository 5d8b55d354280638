package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// BenchmarkPlacement measures one placement and its release at a front among others in
// three data centres, with 90 servers whose memory is known, with learn-capacity off and on.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{6, 69, 165} {
		for _, k := range []bool{false, true} {
			b.Run(fmt.Sprintf("fronts=%d/learn=%v", n, k), func(b *testing.B) { benchmarkPlacement(b, n, k) })
		}
	}
}

func benchmarkPlacement(b *testing.B, fronts int, learn bool) {
	f := fleet.New("front", "a")
	if learn {
		f.LearnCapacity()
	}
	var v []*wire.BackendServer
	for n := range 90 {
		v = append(v, server(fmt.Sprint("s", n), string(rune('a'+n%3)), 8))
	}
	f.SetServers(start, v, start, start)
	for _, s := range v {
		f.RecordMemory(s.GetId(), 0, memoryTokens)
	}
	w := rand.New(rand.NewPCG(1, 2))
	for n := range fronts - 1 {
		l := load(fmt.Sprint("p", n), 1, map[string]int32{v[w.IntN(90)].GetId(): 2}, nil)
		l.SetDataCentre(string(rune('a' + n%3)))
		l.GetServers()[0].SetTokens(4000)
		f.UpdatePeer(start, l)
	}
	z := fleet.WithTokens(2000)
	b.ReportAllocs()
	o := start
	for b.Loop() {
		// 770 requests a second at all fronts together, as in a burst.
		o = o.Add(time.Duration(fronts) * time.Second / 770)
		x, _, _ := f.AcquireOnline(o, service, target, remaining, nil, w.Float64(), z)
		f.RecordTiming(o, x, 0, 4, 2000, 80*time.Millisecond, 40*time.Millisecond)
		f.ReleaseOnline(x.GetId(), time.Second, z)
		if n := f.TakeSamples(o); learn && len(n) > 0 {
			b.ReportMetric(float64(proto.Size(wire.Load_builder{Samples: n}.Build()))/float64(len(n)), "bytes/sample")
		}
	}
}
