package fleet_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/standin/fleet"
)

const (
	// Reorders of one wave.
	waveKeys = 24
	// Pause before a reorder runs. A fault in the middle of a wave finds some
	// reorders before their dispatch, some running and some answered.
	orderDelayMS = 150
)

// plainFaults sets the faults of all plain services.
func plainFaults(t *testing.T, x *fleet.Fleet, faults map[string]any) {
	t.Helper()
	for _, n := range x.Names(plainService + "-") {
		e := x.Control(t.Context(), http.MethodPost, x.BackendURL(n)+"/control/faults", faults)
		if e != nil {
			t.Fatal(e)
		}
	}
}

func platformFaults(t *testing.T, x *fleet.Fleet, faults map[string]any) {
	t.Helper()
	e := x.Control(t.Context(), http.MethodPost, x.PlatformURL()+"/control/faults", faults)
	if e != nil {
		t.Fatal(e)
	}
}

// until polls for a condition. The test's own timeout ends one that never
// holds.
func until(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal(t.Context().Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// serves waits until a new reorder runs through each of the entries.
func (o *orders) serves(t *testing.T, entries ...int) {
	t.Helper()
	i := 0
	for _, u := range entries {
		until(t, func() bool {
			i++
			return o.send(t.Context(), u, fmt.Sprintf("probe-%d-%d", u, i)) == "ran"
		})
	}
}

// underFault starts a deployment, sends waves of reorders, and checks the runs once all
// processes have ended.
func underFault(t *testing.T, fault, heal func(x *fleet.Fleet), entries ...int) {
	t.Helper()
	x := startSmallKeyed(t)
	o := newOrders(x)
	o.waves(t, fault, heal, entries...)
	stopMembers(t, x)
	o.check(t)
}

// waves sends a wave of reorders through all entries with the same keys, makes the fault
// when some of them have run, and sends them again through the entries that are left.
// Heal, if there is one, ends the fault after the first answers.
func (o *orders) waves(t *testing.T, fault, heal func(x *fleet.Fleet), entries ...int) {
	t.Helper()
	x := o.x
	o.serves(t, 1, 2, 3)
	plainFaults(t, x, map[string]any{"delay-ms": orderDelayMS})
	l := o.spread(t.Context(), "first", waveKeys)
	until(t, func() bool { return len(o.runs(t)) > waveKeys/4 })
	fault(x)
	l = append(l, o.spread(t.Context(), "second", waveKeys)...)
	o.w.Wait()
	// Half of the reorders are not sent again: those that were told not-run
	// must stay without a run.
	o.resend(t.Context(), l[:len(l)/2], entries...)
	if heal != nil {
		heal(x)
	}
	o.serves(t, entries...)
	o.resend(t.Context(), l[len(l)/4:len(l)*3/4], entries...)
}

// stopMembers shuts the processes of the system down, so that nothing runs later.
func stopMembers(t *testing.T, x *fleet.Fleet) {
	t.Helper()
	for _, r := range []string{"entry-", "sched-", "depot-"} {
		for _, n := range x.Names(r) {
			e := x.Terminate(n)
			if e != nil {
				t.Errorf("%s: %v", n, e)
			}
		}
	}
}

// P6, no fault: a reorder sent through all entries at the same moment runs at
// most once, and callers that get an answer get the same one.
func TestReorderThroughAllEntries(t *testing.T) {
	underFault(t, func(*fleet.Fleet) {}, nil, 1, 2, 3)
}

// P6 and P5, an entry is killed while its reorders wait, run and are answered:
// a reorder that is sent again through another entry does not run twice.
func TestReorderEntryKilled(t *testing.T) {
	underFault(t, func(x *fleet.Fleet) { x.Kill("entry-1") }, nil, 2, 3)
}

// P6 and P5, the platform loses the answers of writes to the claims: a claim
// whose outcome is unknown is never dispatched twice, and not-run stays true.
func TestReorderClaimAnswersLost(t *testing.T) {
	underFault(t,
		func(x *fleet.Fleet) {
			platformFaults(t, x, map[string]any{"lost-answers": map[string]any{"kind": "claims"}})
		},
		func(x *fleet.Fleet) { platformFaults(t, x, map[string]any{}) }, 1, 2, 3)
}

// P6 and P5, a scheduler is killed with reorders in its queue and in flight:
// no reorder that may have run is dispatched by another scheduler.
func TestReorderSchedulerKilled(t *testing.T) {
	underFault(t, func(x *fleet.Fleet) { x.Kill("sched-1") }, nil, 1, 2, 3)
}

// P6 and P5, a scheduler is frozen with reorders in its queue and in flight
// and runs on after their callers were told the verdict: what was told not-run
// does not run then, and nothing runs twice.
func TestReorderSchedulerFrozen(t *testing.T) {
	underFault(t, func(x *fleet.Fleet) { x.Freeze("sched-1") }, func(x *fleet.Fleet) { x.Thaw("sched-1") }, 1, 2, 3)
}

// P6 and P5, the plain services run reorders and close the connection instead
// of answering: the reorder does not run again.
func TestReorderConnectionClosed(t *testing.T) {
	underFault(t, func(x *fleet.Fleet) {
		plainFaults(t, x, map[string]any{"delay-ms": orderDelayMS, "close-after-run": waveKeys / 4})
	}, nil, 1, 2, 3)
}
