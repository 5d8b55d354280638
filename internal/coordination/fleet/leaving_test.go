package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// process returns the entry of a server whose process started at a time in Unix
// milliseconds.
func process(id string, born int64) *wire.BackendServer {
	b := server(id, "a", 4)
	b.SetBorn(born)
	return b
}

// Guards against requests and batch items for a server that has said that it is
// about to stop: while it is listed as ready, when its entry has lapsed and come
// back, and when the answer comes while it is not listed.
func TestServerThatLeavesGetsRequests(t *testing.T) {
	s := process("s", 1)
	l := map[string]struct {
		after func(f *fleet.Fleet)
		want  string
	}{
		"listed": {func(f *fleet.Fleet) { f.MarkLeaving(start, s, 1) }, ""},
		"listed again": {func(f *fleet.Fleet) {
			f.MarkLeaving(start, s, 1)
			f.SetServers(start, []*wire.BackendServer{s}, start, start)
		}, ""},
		"lapsed and back": {func(f *fleet.Fleet) {
			f.MarkLeaving(start, s, 1)
			f.SetServers(start.Add(time.Second), nil, start, start)
			f.SetServers(start.Add(3*time.Second), []*wire.BackendServer{s}, start, start)
		}, ""},
		"answer while not listed": {func(f *fleet.Fleet) {
			f.SetServers(start, nil, start, start)
			f.MarkLeaving(start, s, 1)
			f.SetServers(start, []*wire.BackendServer{s}, start, start)
		}, ""},
		"started again": {func(f *fleet.Fleet) {
			f.MarkLeaving(start, s, 1)
			f.SetServers(start, []*wire.BackendServer{process("s", 2)}, start, start)
		}, "s"},
		"process that is not listed yet": {func(f *fleet.Fleet) { f.MarkLeaving(start, s, 2) }, ""},
		"process that is listed later": {func(f *fleet.Fleet) {
			f.MarkLeaving(start, s, 2)
			f.SetServers(start, []*wire.BackendServer{process("s", 2)}, start, start)
		}, ""},
		"process after one that was not listed": {func(f *fleet.Fleet) {
			f.MarkLeaving(start, s, 2)
			f.SetServers(start, []*wire.BackendServer{process("s", 3)}, start, start)
		}, "s"},
		"process does not tell its start": {func(f *fleet.Fleet) { f.MarkLeaving(start, s, 0) }, ""},
		"late answer of the process before": {func(f *fleet.Fleet) {
			f.SetServers(start, []*wire.BackendServer{process("s", 2)}, start, start)
			f.MarkLeaving(start, s, 1)
		}, "s"},
	}
	for n, k := range l {
		t.Run(n, func(t *testing.T) {
			f := newFleet(s)
			k.after(f)
			g := []string{acquire(f, start)[0], f.AcquireBatch(start, service, nil).GetId()}
			if d := cmp.Diff([]string{k.want, k.want}, g); d != "" {
				t.Error(d)
			}
		})
	}
}
