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

// A member that goes must move only the keys that it owned: moving others
// would make their owners reload claims and jobs for nothing.
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
	// 80 keys on average; within four standard deviations of about 9.
	if n < 44 || n > 116 {
		t.Errorf("a member of 25 owned %d of %d keys", n, keys)
	}
}

// A member that is leaving, or has another role, must get no key.
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
