package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Time between datagrams.
const tick = 250 * time.Millisecond

// Guards against a front that does not notice that another one may have counted
// it as gone: because they do not hear each other, or only one way, or because
// this process did not run.
func TestDoubted(t *testing.T) {
	for _, k := range []struct {
		name string
		// Ticks in which the other front is silent, or reports that it does
		// not hear this one, or this process does not run, after ten without.
		silent, unheard, stopped int
		// The other front has said that it is about to stop.
		leaving bool
		// How long ago the doubt may have been.
		since time.Duration
		want  bool
	}{
		{"quiet", 0, 0, 0, false, time.Hour, false},
		{"one datagram lost", 1, 0, 0, false, time.Hour, false},
		{"silent", 5, 0, 0, false, 0, true},
		{"cut off, may live", 40, 0, 0, false, 0, true},
		{"gone", 80, 0, 0, false, time.Second, false},
		{"planned stop", 40, 0, 0, true, time.Hour, false},
		{"unheard", 0, 1, 0, false, 0, true},
		{"stopped", 0, 0, 5, false, 0, true},
	} {
		t.Run(k.name, func(t *testing.T) {
			f := newFleet(server("s", "a", 1))
			n := start
			var q uint64
			h := func(unheard ...string) {
				q++
				f.UpdatePeer(n, wire.Load_builder{Name: proto.String("front-a"), Incarnation: proto.Uint64(1), Sequence: &q, Unheard: unheard, Leaving: &k.leaving}.Build())
			}
			for range 10 {
				n = n.Add(tick)
				h()
				f.ExpirePeers(n)
			}
			// The first look doubts, since nothing is known before.
			b := n
			for range k.silent {
				n = n.Add(tick)
				f.ExpirePeers(n)
			}
			for range k.unheard {
				n = n.Add(tick)
				h("front-b")
				f.ExpirePeers(n)
			}
			n = n.Add(time.Duration(k.stopped) * tick)
			if d := cmp.Diff(k.want, f.LastPresumedDead(n).After(later(b, n.Add(-k.since-1)))); d != "" {
				t.Error(d)
			}
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
