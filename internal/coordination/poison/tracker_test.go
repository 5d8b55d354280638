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
	r := poison.New()
	n := time.UnixMilli(0)
	check(t, "false false []", state(r, n, 7))
	r.AddCrash(n, 7, "a")
	r.AddCrash(n, 7, "a")
	check(t, "true false [a]", state(r, n, 7))
	r.ClearSuspect(n, 7)
	check(t, "false false []", state(r, n, 7))
	r.AddCrash(n, 7, "a")
	r.AddCrash(n, 7, "b")
	r.ClearSuspect(n, 7)
	check(t, "false true [a b]", state(r, n, 7))

	h := "a"
	f := uint64(8)
	w := wire.Crash_builder{Fingerprint: &f, Hosts: []string{h}}.Build()
	r.Merge(n, []*wire.Crash{w})
	r.Merge(n, []*wire.Crash{w})
	check(t, "true false [a]", state(r, n, 8))
	w.SetHosts([]string{"c"})
	r.Merge(n, []*wire.Crash{w})
	check(t, "false true [a c]", state(r, n, 8))

	for i := range uint64(5000) {
		r.AddCrash(n.Add(time.Duration(i)), 100+i, "a")
	}
	check(t, "4097", fmt.Sprint(len(r.LocalCrashes(n))))
	check(t, "false false []", state(r, n, 100))
	r.AddCrash(n.Add(time.Hour), 9, "a")
	// Rejections that ended long ago are gone too.
	check(t, "1 1", fmt.Sprint(len(r.LocalCrashes(n)), len(r.LocalCrashes(n.Add(time.Hour)))))
}

// Guards against a request that is rejected for good, though nothing has crashed
// since, and against an old rejection that the platform or a peer brings back.
func TestRejectionOutlivesItsEvidence(t *testing.T) {
	r := poison.New()
	n := time.UnixMilli(1_000_000)
	r.AddCrash(n, 7, "a")
	r.AddCrash(n, 7, "b")
	w := r.LocalCrashes(n)
	check(t, "false true [a b]", state(r, n.Add(29*time.Second), 7))
	check(t, "true false []", state(r, n.Add(30*time.Second), 7))
	n = n.Add(30 * time.Second)
	r.Merge(n, w)
	check(t, "true false []", state(r, n, 7))
	r.AddCrash(n, 7, "c")
	check(t, "false true [a b c]", state(r, n.Add(59*time.Second), 7))
	n = n.Add(time.Minute)
	r.ClearSuspect(n, 7)
	check(t, "false false []", state(r, n, 7))

	f := poison.New()
	f.Merge(n, w)
	check(t, "true false []", state(f, n, 7))
	check(t, "30s 0s", fmt.Sprint(poison.RejectionLeft(time.UnixMilli(1_000_000), w[0]), poison.RejectionLeft(n, w[0])))
}

func state(tracker *poison.Tracker, now time.Time, fingerprint uint64) string {
	_, o := tracker.RejectedUntil(now, fingerprint)
	return fmt.Sprint(tracker.IsSuspect(now, fingerprint), o, tracker.CrashedHosts(now, fingerprint))
}

func check(t *testing.T, want, got string) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
