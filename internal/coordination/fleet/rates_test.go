package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against two fronts that count for a team at the same time, against a front
// that counts as if no other had done so before, against one that counts the whole
// limit while it does not hear all others, and against a reserve that is used before
// the other fronts are known. The team is one for which the other front is ahead.
func TestFrontCountsBesideOther(t *testing.T) {
	f := fleet.New("front-b", "")
	n := start
	var q uint64
	h := func(counts, leaving bool) {
		q++
		f.UpdatePeer(n, wire.Load_builder{Name: proto.String("front-a"), Incarnation: proto.Uint64(1), Sequence: &q, CountsRates: &counts, Leaving: &leaving}.Build())
	}
	// w lets heartbeats pass after which the other front counts, is silent or stops.
	w := func(beats int, does string) {
		for range beats {
			n = n.Add(heartbeatInterval)
			f.ExpirePeers(n)
			if does != "silent" {
				h(does != "waits", does == "stops")
			}
		}
	}
	f.ExpirePeers(n)
	k := "team-0"
	for i := 1; !ahead(k); i++ {
		k = fmt.Sprint("team-", i)
	}
	// c returns who counts, since how long this front does, or that it does not, and
	// which part.
	c := func() string {
		s, a := f.CountingSince(n, k)
		d := "not"
		if a {
			d = n.Sub(s).String()
		}
		return fmt.Sprintf("%s %s %.1f", f.RateCounter(n, k), d, f.RateShare(n))
	}
	l := []struct {
		does  string
		beats int
		want  string
	}{
		{"waits", 1, " not 1.0"},
		{"waits", 7, "front-b 0s 1.0"},
		{"waits", 4, "front-b 1s 1.0"},
		{"counts", 1, "front-a 1.25s 1.0"},
		{"counts", 2, "front-a not 1.0"},
		{"silent", 3, "front-a not 0.5"},
		{"silent", 6, "front-b 250ms 0.5"},
		{"silent", 3, "front-b 1s 0.5"},
		// The other front is back, and may have counted too.
		{"waits", 1, "front-b 0s 1.0"},
		{"counts", 4, "front-a not 1.0"},
		{"stops", 1, "front-b 0s 1.0"},
		{"stops", 2, "front-b 500ms 1.0"},
	}
	if _, _, a := f.RateReserve(n, k); a {
		t.Error("reserve used right after the start")
	}
	for i, x := range l {
		w(x.beats, x.does)
		if d := cmp.Diff(x.want, c()); d != "" {
			t.Error(i, x.does, d)
		}
	}
	if p, m, a := f.RateReserve(n, k); p != 0 || m != 1 || !a {
		t.Error("reserve:", p, m, a)
	}
	n = n.Add(1100 * time.Millisecond)
	if d := cmp.Diff(" not 1.0", c()); d != "" {
		t.Error("after it has stood still:", d)
	}
}

// ahead reports whether front-a comes before front-b for a team.
func ahead(team string) bool {
	f := fleet.New("front-b", "")
	f.ExpirePeers(start)
	for i := range 9 {
		o := start.Add(time.Duration(i) * heartbeatInterval)
		f.ExpirePeers(o)
		f.UpdatePeer(o, wire.Load_builder{Name: proto.String("front-a"), Incarnation: proto.Uint64(1), Sequence: proto.Uint64(uint64(i + 1)), CountsRates: proto.Bool(true)}.Build())
	}
	return f.RateCounter(start.Add(8*heartbeatInterval), team) == "front-a"
}
