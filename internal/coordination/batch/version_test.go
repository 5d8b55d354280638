package batch_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

func versionServer(id, version string, born int64) *wire.BackendServer {
	return wire.BackendServer_builder{
		Id: &id, Service: proto.String("v"), Version: &version, DataCentre: proto.String("a"), Slots: proto.Int32(8), Born: &born,
	}.Build()
}

func setServers(f *fleet.Fleet, servers ...*wire.BackendServer) {
	f.SetServers(time.Now(), servers, time.Now(), time.Now())
}

// brokenBody returns a body that yields one event and breaks off two seconds
// later.
func brokenBody() io.ReadCloser {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, "id: 1\ndata: i0\n\n")
		time.Sleep(2 * time.Second)
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return r
}

// Guards against an item whose output is joined from two software versions of a
// backend server: it must go on at the version that began it, or start anew if
// that serves no more, or if the server has started again with another version.
func TestItemIsJoinedFromTwoVersions(t *testing.T) {
	a, b := versionServer("a", "v1", 1), versionServer("b", "v2", 1)
	l := []struct {
		name string
		// Start of the process that answers the first run, 0 if it does not tell.
		born int64
		// Servers when the first run breaks off.
		servers []*wire.BackendServer
		want    []string
	}{
		{"same version serves", 0, []*wire.BackendServer{a, b}, []string{"v1 ", "v1 1"}},
		{"only another version serves", 0, []*wire.BackendServer{b}, []string{"v1 ", "v2 "}},
		{"server has started again with another version", 0, []*wire.BackendServer{versionServer("a", "v2", 2)}, []string{"v1 ", "v2 "}},
		{"server has started again with the same version", 0, []*wire.BackendServer{versionServer("a", "v1", 2)}, []string{"v1 ", "v1 1"}},
		{"registry names the process before", 2, []*wire.BackendServer{a}, []string{"v1 ", "v1 "}},
		{"server has started again after the run", 1, []*wire.BackendServer{versionServer("a", "v2", 2), versionServer("c", "v1", 1)}, []string{"v1 ", "v1 1"}},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				f := fleet.New("front", "a")
				j := newJobsWithFleet(ctx, f, "front", store, engine, valueBytes)
				setServers(f, a)
				engine.setBodies("i0", brokenBody())
				engine.setBorn(k.born)
				accept(t, ctx, j, "j1", 1)
				time.Sleep(time.Second)
				engine.setBorn(0)
				setServers(f, k.servers...)
				time.Sleep(15 * time.Second)
				synctest.Wait()
				if d := cmp.Diff(k.want, engine.runsOf("i0")); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff([]string{"i0 " + wantOutput("i0")}, listResults(t, ctx, j, "j1")); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// runsOf returns the version of the server of each run of an item, and the event
// after which it resumed.
func (g *fakeEngine) runsOf(item string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []string
	for n, v := range g.versions[item] {
		l = append(l, fmt.Sprint(v, " ", g.resumedAfter[item][n]))
	}
	return l
}

// Guards against an item that goes on at another version after its job was handed
// over by a stopping front.
func TestHandedOverItemIsJoinedFromTwoVersions(t *testing.T) {
	for _, k := range []struct {
		version string
		want    []string
	}{{"v1", []string{"v1 ", "v1 1"}}, {"v2", []string{"v1 ", "v2 "}}} {
		t.Run(k.version, func(t *testing.T) {
			withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
				r := newCluster(ctx, store, engine, "front-1", "front-2")
				setServers(r.fleets["front-1"], versionServer("a", "v1", 1))
				setServers(r.fleets["front-2"], versionServer("b", k.version, 1))
				r.advance(5*time.Second, "")
				engine.setBodies("i0", brokenBody())
				accept(t, ctx, r.jobs["front-1"], "job", 1)
				r.advance(time.Second, "")
				d, f := context.WithTimeout(ctx, 100*time.Millisecond)
				defer f()
				r.jobs["front-1"].Drain(d)
				r.advance(10*time.Second, "front-1")
				if d := cmp.Diff(k.want, engine.runsOf("i0")); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against an item that goes on after the output of a process that the registry
// does not name: its version is unknown, which is not the same as a service whose
// servers name no version.
func TestItemOfUnlistedProcessGoesOnAtUnversionedServers(t *testing.T) {
	withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
		f := fleet.New("front", "a")
		j := newJobsWithFleet(ctx, f, "front", store, engine, valueBytes)
		setServers(f, versionServer("a", "", 1))
		engine.setBodies("i0", brokenBody())
		// The process that answers is one that the registry does not name yet.
		engine.setBorn(2)
		accept(t, ctx, j, "j1", 1)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		if d := cmp.Diff([]string{" ", " "}, engine.runsOf("i0")); d != "" {
			t.Error(d)
		}
	})
}
