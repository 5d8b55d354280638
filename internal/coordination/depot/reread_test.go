package depot_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/bulk"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// skippedCopies returns the number of copies that a client has skipped.
func skippedCopies(registry *prometheus.Registry) float64 {
	l, _ := registry.Gather()
	for _, f := range l {
		for _, m := range f.GetMetric() {
			for _, p := range m.GetLabel() {
				if p.GetValue() == "skipped" {
					return m.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
}

// Guards against reads that query one depot after another when both recorded
// depots of a segment are lost: the first live depot in rendezvous order has
// the replaced copy.
func TestReadFindsReplacedCopyFirst(t *testing.T) {
	for i := range 5 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			runCluster(t, []string{"a", "a", "a", "a", "a"}, func(n *cluster) {
				g := n.putSegment()
				time.Sleep(checkTime)
				n.killDepot(g.GetDepots()[0])
				time.Sleep(checkTime)
				n.killDepot(g.GetDepots()[1])
				r := prometheus.NewRegistry()
				b, e := bulk.New("a", n.mesh("e3"), n, n.logger, r).Get(n.ctx, g, 0, 0)
				if e != nil {
					n.t.Fatal(e)
				}
				_ = b.Close()
				if d := cmp.Diff(0.0, skippedCopies(r)); d != "" {
					n.t.Fatal(d)
				}
			})
		})
	}
}

// Guards against excluding a depot that is shutting down from reads while it
// has the only copy.
func TestLeavingDepotServesReads(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		g := n.putSegment()
		n.killDepot("d1")
		m := proto.CloneOf(n.removeMember("d2"))
		m.SetLeaving(true)
		n.addMember(m)
		if d := cmp.Diff(string(payload), n.getSegment(g, 0, 0)); d != "" {
			n.t.Fatal(d)
		}
	})
}

// Guards against fetching a segment that the depot already has: the depot named
// as the source is unreachable, so a fetch would fail.
func TestCopyOfStoredSegmentIsNotFetched(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		g := n.putSegment()
		n.disconnect("d1")
		p := &wire.Copy{}
		p.SetSegment(g)
		p.SetFrom("d1")
		o := &wire.Open{}
		o.SetCopy(p)
		s := n.openStream("d2", o)
		defer s.Close()
		r := &wire.PutReply{}
		e := s.Recv(r)
		if d := cmp.Diff([]string{"", "d2"}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); d != "" || e != nil {
			n.t.Fatal(d, e)
		}
	})
}
