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

// skipped returns how many copies a client has skipped.
func skipped(r *prometheus.Registry) float64 {
	l, _ := r.Gather()
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

// Guards against reads that ask depot after depot for a segment whose named
// depots are both gone: the first live one in rendezvous order has the copy.
func TestReadersFindCopies(t *testing.T) {
	for i := range 5 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			run(t, []string{"a", "a", "a", "a", "a"}, func(n *cluster) {
				g := n.put()
				time.Sleep(copied)
				n.kill(g.GetDepots()[0])
				time.Sleep(copied)
				n.kill(g.GetDepots()[1])
				r := prometheus.NewRegistry()
				b, e := bulk.New("a", n.mesh("e3"), n, n.l, r).Get(n.c, g, 0, 0)
				if e != nil {
					n.t.Fatal(e)
				}
				_ = b.Close()
				if d := cmp.Diff(0.0, skipped(r)); d != "" {
					n.t.Fatal(d)
				}
			})
		})
	}
}

// Guards against a depot that is shutting down and is not asked any more, while
// it has the only copy.
func TestLeavingDepotIsRead(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		g := n.put()
		n.kill("d1")
		m := proto.CloneOf(n.leave("d2"))
		m.SetLeaving(true)
		n.join(m)
		if d := cmp.Diff(string(payload), n.get(g, 0, 0)); d != "" {
			n.t.Fatal(d)
		}
	})
}

// Guards against a repeated transfer of a segment that the receiver has: the
// depot that it would be fetched from is not even reachable.
func TestCopyOfWhatIsThere(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		g := n.put()
		n.fail("d1")
		p := &wire.Copy{}
		p.SetSegment(g)
		p.SetFrom("d1")
		o := &wire.Open{}
		o.SetCopy(p)
		s := n.open("d2", o)
		defer s.Close()
		r := &wire.PutReply{}
		e := s.Recv(r)
		if d := cmp.Diff([]string{"", "d2"}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); d != "" || e != nil {
			n.t.Fatal(d, e)
		}
	})
}
