package fleet_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against requests for a process that has said that it is about to stop, when
// the process before or after it under the same id has said so too.
func TestMarkOfOneProcessReplacesThatOfAnother(t *testing.T) {
	s, n := process("s", 1), process("s", 2)
	for m, k := range map[string]func(f *fleet.Fleet){
		"late answer of the process before": func(f *fleet.Fleet) {
			f.SetServers(start, []*wire.BackendServer{n}, start, start)
			f.MarkLeaving(start, n, 2)
			f.MarkLeaving(start, s, 1)
		},
		"process that is not listed yet, after the one before": func(f *fleet.Fleet) {
			f.MarkLeaving(start, s, 1)
			f.MarkLeaving(start, s, 2)
			f.SetServers(start, []*wire.BackendServer{n}, start, start)
		},
	} {
		t.Run(m, func(t *testing.T) {
			f := newFleet(s)
			k(f)
			if d := cmp.Diff("", acquire(f, start)[0]); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against a process that is avoided for a failure of the one before it, which
// is noticed only after the registry has named the next one.
func TestProcessIsAvoidedForLateFailureOfTheOneBefore(t *testing.T) {
	f := newFleet(process("s", 1))
	b := acquire(f, start)[0]
	f.SetServers(start, []*wire.BackendServer{process("s", 2)}, start, start)
	// The request was sent to the first process, which has ended.
	f.ReleaseOnline(b, 0)
	f.RecordFailure(start, process("s", 1), true)
	if d := cmp.Diff("s", acquire(f, start)[0]); d != "" {
		t.Error(d)
	}
}

// Guards against a limit that is forgotten when the registry names the process that
// has named it, whose answers came while it named the process before; and against one
// that outlives its process.
func TestLimitIsForgottenWhenItsProcessIsListed(t *testing.T) {
	s := process("s", 1)
	for n, k := range map[string]struct {
		// Start of the process that names the limit, and of the one that is listed then.
		born, listed int64
		want         float64
	}{
		"process that is listed later":     {2, 2, 2},
		"process that ends before":         {2, 3, 0},
		"process that is listed":           {1, 2, 0},
		"process that was not asked":       {0, 2, 0},
		"process that is listed and stays": {1, 1, 2},
	} {
		t.Run(n, func(t *testing.T) {
			f := newFleet(s)
			f.RecordLimit(start, s, k.born, 2)
			f.SetServers(start, []*wire.BackendServer{process("s", k.listed)}, start, start)
			if d := cmp.Diff(k.want, f.Limit("s")); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against streams that begin or go on at a server whose process is not the one
// that the registry names, while others can take them.
func TestServerWithOtherProcessIsTakenForListed(t *testing.T) {
	f := newFleet(process("s", 1))
	l := func() string {
		b, _, _ := f.AcquireOnline(start, service, target, remaining, func(_ *wire.BackendServer, listed bool) bool { return listed }, 0)
		return b.GetId()
	}
	g := []string{l()}
	f.RecordProcess("s", 2)
	g = append(g, l(), acquire(f, start)[0])
	f.SetServers(start, []*wire.BackendServer{process("s", 2)}, start, start)
	g = append(g, l())
	if d := cmp.Diff([]string{"s", "", "s", "s"}, g); d != "" {
		t.Error(d)
	}
}
