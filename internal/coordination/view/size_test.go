package view_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// BenchmarkViewParts measures the encoded size and the encoding time of each
// part of a view. A part is sent to every process when it changes.
func BenchmarkViewParts(b *testing.B) {
	for _, n := range []int{25, 100, 400} {
		m := make([]*wire.Member, n)
		for i := range m {
			m[i] = wire.Member_builder{
				Id: new(fmt.Sprintf("sched-%03d", i)), Role: new("sched"), DataCentre: new("mx-centro-a"),
				PeerAddress: new("10.200.100.200:7000"), AdminAddress: new("10.200.100.200:7001"), Incarnation: new(uint64(1) << 60),
			}.Build()
		}
		benchmarkPart(b, fmt.Sprintf("members=%d", n), wire.View_builder{Members: m, MembersVersion: new(int64(1 << 40))}.Build())
	}
	for _, n := range []int{25, 250, 2500} {
		h := make([]*wire.Host, n)
		for i := range h {
			h[i] = wire.Host_builder{
				Name: new(fmt.Sprintf("asistente-lm-%04d", i)), Service: new("asistente-lm"), DataCentre: new("mx-centro-a"),
				Address: new("10.200.100.200:8000"), Ready: new(true),
			}.Build()
		}
		benchmarkPart(b, fmt.Sprintf("hosts=%d", n), wire.View_builder{Hosts: h, HostsVersion: new(int64(1 << 40))}.Build())
	}
	for _, n := range []int{2, 20, 80} {
		s := make([]*wire.Service, n)
		for i := range s {
			s[i] = wire.Service_builder{
				Name: new(fmt.Sprintf("asistente-lm-%02d", i)), Kind: new("model"), Model: new("asistente"), Version: new("2026-12"),
				DependsOn: []string{"pedidos-app"}, Limits: wire.Limits_builder{Slots: new(int32(8)), QueueLength: new(int32(200)), DeadlineMs: new(int64(60000))}.Build(),
			}.Build()
		}
		benchmarkPart(b, fmt.Sprintf("services=%d", n), wire.View_builder{
			Config: wire.Config_builder{Version: new(int64(1 << 40)), Text: wire.Text_builder{Services: s}.Build()}.Build(),
		}.Build())
	}
}

func benchmarkPart(b *testing.B, name string, view *wire.View) {
	b.Run(name, func(b *testing.B) {
		var o []byte
		for b.Loop() {
			o, _ = proto.Marshal(view)
		}
		b.ReportMetric(float64(len(o)), "bytes")
	})
}
