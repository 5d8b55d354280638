package batch_test

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// cluster is a set of fronts that receive each other's heartbeats.
type cluster struct {
	names    []string
	fleets   map[string]*fleet.Fleet
	jobs     map[string]*batch.Jobs
	sequence uint64
	// A front that receives no heartbeats, or the empty string.
	deaf string
	// A front that announces that it stops, or the empty string.
	leaving string
	// A front that the platform turns away, or the empty string.
	troubled string
	// Ends the work of a front of its own accord.
	stops map[string]context.CancelFunc
}

func newCluster(ctx context.Context, store *memStore, engine *fakeEngine, names ...string) *cluster {
	r := &cluster{names: names, fleets: map[string]*fleet.Fleet{}, jobs: map[string]*batch.Jobs{}, stops: map[string]context.CancelFunc{}}
	for _, n := range names {
		r.start(ctx, store, engine, n)
	}
	return r
}

// start starts a front, or starts it again.
func (r *cluster) start(ctx context.Context, store *memStore, engine *fakeEngine, name string) {
	c, f := context.WithCancel(ctx)
	r.stops[name] = f
	r.fleets[name] = fleet.New(name, "a")
	r.jobs[name] = newJobsWithFleet(c, r.fleets[name], name, store, engine, valueBytes)
}

// advance lets time pass in which every front receives the heartbeats of all
// others, except those of the silent one.
func (r *cluster) advance(d time.Duration, silent string) {
	for b := time.Now(); time.Since(b) < d; time.Sleep(250 * time.Millisecond) {
		r.sequence++
		for _, n := range r.names {
			if n != silent {
				r.sendHeartbeat(n)
			}
			l := r.fleets[n].ExpirePeers(time.Now())
			if len(l) > 0 {
				r.jobs[n].HandlePeerLost(l)
			}
		}
	}
}

// sendHeartbeat sends the heartbeat of a front to all others.
func (r *cluster) sendHeartbeat(name string) {
	l := wire.Load_builder{Name: &name, Incarnation: proto.Uint64(1), Sequence: &r.sequence, Leaving: proto.Bool(name == r.leaving), Troubled: proto.Bool(name == r.troubled)}
	for _, p := range r.names {
		if p != name && !r.fleets[name].ReceivedWithin(time.Now(), p, fleet.HeartbeatTimeout) {
			l.Unheard = append(l.Unheard, p)
		}
	}
	for _, p := range r.names {
		if p != name && p != r.deaf {
			r.fleets[p].UpdatePeer(time.Now(), l.Build())
		}
	}
}
