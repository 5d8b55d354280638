package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const heartbeatInterval = 250 * time.Millisecond

// Guards against a front that does not notice that another one may have presumed
// it dead, because datagrams were lost in both directions or in one, or because
// this process was suspended.
func TestLastPresumedDead(t *testing.T) {
	for _, k := range []struct {
		name string
		// After ten normal heartbeat intervals: intervals in which the other
		// front is silent, then those in which it reports this one as unheard,
		// then those in which this process is suspended.
		silent, unheard, stopped int
		// The other front has announced that it is about to stop.
		leaving bool
		// LastPresumedDead is expected within this time before now.
		since time.Duration
		want  bool
	}{
		{"no failure", 0, 0, 0, false, time.Hour, false},
		{"one datagram lost", 1, 0, 0, false, time.Hour, false},
		{"silent", 5, 0, 0, false, 0, true},
		{"partitioned, may be alive", 40, 0, 0, false, 0, true},
		{"dead", 80, 0, 0, false, time.Second, false},
		{"planned stop", 40, 0, 0, true, time.Hour, false},
		{"unheard", 0, 1, 0, false, 0, true},
		{"suspended", 0, 0, 5, false, 0, true},
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
				n = n.Add(heartbeatInterval)
				h()
				f.ExpirePeers(n)
			}
			// The first check always counts as presumed dead, since nothing is
			// known from before it.
			b := n
			for range k.silent {
				n = n.Add(heartbeatInterval)
				f.ExpirePeers(n)
			}
			for range k.unheard {
				n = n.Add(heartbeatInterval)
				h("front-b")
				f.ExpirePeers(n)
			}
			n = n.Add(time.Duration(k.stopped) * heartbeatInterval)
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
