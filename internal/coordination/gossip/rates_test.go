package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Count implements trail.RateCounter: it grants each request of the team "granted",
// denies those of the team "denied", and counts no other.
func (granter) Count(request *wire.RateRequest) *wire.RateReply {
	r := wire.RateReply_builder{Id: proto.Uint64(request.GetId()), Granted: proto.Bool(request.GetTeam() == "granted")}.Build()
	if request.GetTeam() == "denied" {
		r.SetWaitMs(7)
	}
	return r
}

// Guards against answers about teams that do not come from the front that was asked,
// or not to the question.
func TestRatesComeFromOtherFront(t *testing.T) {
	runFleet(t, 1, func(e *network, l []*front) {
		time.Sleep(2 * time.Second)
		q := func(team string) string {
			c, f := context.WithTimeout(context.Background(), 60*time.Millisecond)
			defer f()
			r, e := l[0].gossip.AskRate(c, l[1].name, wire.RateRequest_builder{Team: &team}.Build())
			return fmt.Sprint(e == nil, r.GetGranted(), r.GetWaitMs())
		}
		g := []string{q("granted"), q("denied"), q("other")}
		e.mu.Lock()
		e.muted[l[1].address] = true
		e.mu.Unlock()
		g = append(g, q("granted"))
		if d := cmp.Diff([]string{"true true 0", "true false 7", "true false 0", "false false 0"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against fronts of a large fleet that have other ones count for a team more
// than a heartbeat after the first of them has begun to count or has stopped, and
// against a fleet without losses of which a front counts a part only.
func TestFrontsDisagreeWhoCounts(t *testing.T) {
	for _, n := range []int{1, 12} {
		t.Run(fmt.Sprint(5*n, " fronts"), func(t *testing.T) {
			runFleet(t, n, func(_ *network, l []*front) {
				f := func() map[string]int {
					m := map[string]int{}
					for _, x := range l {
						m[x.fleet.RateCounter(time.Now(), "t")]++
						if s := x.fleet.RateShare(time.Now()); s != 1 {
							t.Errorf("%s counts %g of the limits", x.name, s)
						}
					}
					return m
				}
				time.Sleep(time.Second)
				if d := cmp.Diff(map[string]int{"": len(l)}, f()); d != "" {
					t.Error("fronts count that have just started:", d)
				}
				time.Sleep(1400 * time.Millisecond)
				m := f()
				if len(m) != 1 {
					t.Error("several fronts count:", m)
				}
				for _, x := range l {
					if m[x.name] > 0 {
						x.fleet.SetLeaving()
						x.gossip.Leave()
					}
				}
				time.Sleep(260 * time.Millisecond)
				a := f()
				for k := range m {
					if len(a) != 1 || a[k] > 0 {
						t.Error("a front that stops counts:", a)
					}
				}
				for range 40 {
					time.Sleep(250 * time.Millisecond)
					f()
				}
			})
		})
	}
}
