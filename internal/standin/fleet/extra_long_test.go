//go:build long

package fleet_test

import (
	"testing"

	"bulrushtrail.example/trail/internal/standin/fleet"
)

// As TestReorderRunsAgainAfterCopiedRefusal, with a scheduler killed, whose connections and attempts others don't know.
func TestCopiedRefusalWhileSchedulerIsKilled(t *testing.T) {
	underCopies(t, func(x *fleet.Fleet) { x.Kill("sched-1") }, nil, 1, 2, 3)
}

// The same with a scheduler frozen, which reads what has come meanwhile when it wakes.
func TestCopiedRefusalWhileSchedulerIsFrozen(t *testing.T) {
	underCopies(t, func(x *fleet.Fleet) { x.Freeze("sched-1") }, func(x *fleet.Fleet) { x.Thaw("sched-1") }, 1, 2, 3)
}

// The same with a planned stop of a scheduler that has attempts under way.
func TestCopiedRefusalWhileSchedulerStops(t *testing.T) {
	underCopies(t, func(x *fleet.Fleet) {
		e := x.Terminate("sched-1")
		if e != nil {
			t.Error(e)
		}
	}, nil, 1, 2, 3)
}

// The same with a plain service that starts again at its address under another id while
// its former entry is still listed: a request that one id refused is sent to the other
// one on connections to the same address.
func TestCopiedRefusalAtReusedAddress(t *testing.T) {
	underCopies(t, func(x *fleet.Fleet) {
		reuseAddress(t, x, plainService+"-01")
	}, nil, 1, 2, 3)
}

// reuseAddress kills a backend server and starts another one at its address, with an id
// of its own, while both ids are listed.
func reuseAddress(t *testing.T, x *fleet.Fleet, name string) {
	t.Helper()
	x.Kill(name)
	e := x.AddHost(t.Context(), name, name+"-next")
	if e != nil {
		t.Fatal(e)
	}
	e = x.Restart(t.Context(), name)
	if e != nil {
		t.Fatal(e)
	}
}

// As TestItemGetsCopiedAnswer, with the owner frozen until another scheduler has taken the job.
func TestItemGetsCopiedAnswerOfFormerOwner(t *testing.T) {
	itemsUnderCopies(t, func(s *small, id string) { s.replaceOwner(id) })
}

// The same with an engine that starts again at its address under another id while its
// former entry is still listed: an item goes on where the process before was.
func TestItemGetsCopiedAnswerAtReusedAddress(t *testing.T) {
	itemsUnderCopies(t, func(s *small, _ string) { reuseAddress(s.t, s.Fleet, s.engines()[0]) })
}
