package owner_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const keys = 2000

func members(count int) []*wire.Member {
	l := make([]*wire.Member, count)
	for i := range l {
		l[i] = wire.Member_builder{
			Id: new(fmt.Sprintf("sched-%03d", i)), Role: new("sched"), DataCentre: new(fmt.Sprintf("dc-%02d", i%16)),
		}.Build()
	}
	return l
}

// Removing a member must move only the keys that it owned. If other keys moved,
// their new owners would reload claims and jobs without need.
func TestRemovedMemberMovesOnlyItsKeys(t *testing.T) {
	l := members(25)
	n := 0
	for i := range keys {
		k := fmt.Sprintf("claims/shard-%d", i)
		a := owner.First(l, "sched", k, "").GetId()
		b := owner.First(l[1:], "sched", k, "").GetId()
		if a != "sched-000" {
			if d := cmp.Diff(a, b); d != "" {
				t.Fatal(d)
			}
			continue
		}
		n++
	}
	// The expected number is 80 keys, with a standard deviation of about 9; the
	// bounds are four standard deviations.
	if n < 44 || n > 116 {
		t.Errorf("one of 25 members owned %d of %d keys, want 44 to 116", n, keys)
	}
}

// A member that is leaving or has another role must not own a key.
func TestLeavingMemberOwnsNoKey(t *testing.T) {
	l := members(3)
	l[0].SetLeaving(true)
	l[1].SetRole("depot")
	var g []string
	for _, m := range owner.Rank(l, "sched", "jobs/1", "dc-00") {
		g = append(g, m.GetId())
	}
	if d := cmp.Diff([]string{"sched-002"}, g); d != "" {
		t.Error(d)
	}
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{9, 100, 400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			l := members(n)
			for b.Loop() {
				owner.First(l, "sched", "claims/shard-7", "dc-03")
			}
		})
	}
}
