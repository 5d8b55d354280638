package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/poison"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against requests that are rejected although only one backend server
// crashed, reported once or repeatedly; against a completion that leaves a
// suspect in place or clears a rejected request; and against suspects that
// accumulate without bound.
func TestRejectionNeedsDifferentServers(t *testing.T) {
	r := poison.New(poison.DefaultRejectThreshold)
	n := time.UnixMilli(0)
	check(t, "false false []", state(r, 7))
	r.AddCrash(n, 7, "a")
	r.AddCrash(n, 7, "a")
	check(t, "true false [a]", state(r, 7))
	r.ClearSuspect(7)
	check(t, "false false []", state(r, 7))
	r.AddCrash(n, 7, "a")
	r.AddCrash(n, 7, "b")
	r.ClearSuspect(7)
	check(t, "false true [a b]", state(r, 7))

	h := "a"
	f := uint64(8)
	w := wire.Crash_builder{Fingerprint: &f, Hosts: []string{h}}.Build()
	r.Merge(n, []*wire.Crash{w})
	r.Merge(n, []*wire.Crash{w})
	check(t, "true false [a]", state(r, 8))
	w.SetHosts([]string{"c"})
	r.Merge(n, []*wire.Crash{w})
	check(t, "false true [a c]", state(r, 8))

	for i := range uint64(5000) {
		r.AddCrash(n.Add(time.Duration(i)), 100+i, "a")
	}
	check(t, "4097", fmt.Sprint(len(r.LocalCrashes(n))))
	check(t, "false false []", state(r, 100))
	r.AddCrash(n.Add(time.Hour), 9, "a")
	check(t, "2 1", fmt.Sprint(len(r.LocalCrashes(n)), len(r.LocalCrashes(n.Add(time.Hour)))))
}

func state(tracker *poison.Tracker, fingerprint uint64) string {
	return fmt.Sprint(tracker.IsSuspect(fingerprint), tracker.IsRejected(fingerprint), tracker.CrashedHosts(fingerprint))
}

func check(t *testing.T, want, got string) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
