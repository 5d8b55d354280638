package view

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// Views maintains the view of one process. It implements trail.Views.
type Views struct {
	// Never nil. Snapshots are immutable and replaced as a whole, so that
	// readers need no lock.
	latest atomic.Pointer[wire.View]
	self   *wire.Member
	store  trail.Store
	mesh   *mesh.Mesh
	peers  []string
	logger log.Interface
	// Received by the goroutine of run, which owns the subscriptions.
	updates     chan *wire.View
	subscribers chan subscriber
	done        chan struct{}
	// Set by Leave, so that register does not write the member object again.
	leaving atomic.Bool
	version prometheus.Gauge
}

type subscriber struct {
	ctx  context.Context
	feed chan *wire.View
}

// New starts to maintain the view of the process self and registers it on the
// platform as soon as the platform answers. Peers are the addresses of processes
// to query while the platform is down.
func New(ctx context.Context, self *wire.Member, store trail.Store, mesh *mesh.Mesh, peers []string, logger log.Interface, registry prometheus.Registerer) *Views {
	v := &Views{
		self: self, store: store, mesh: mesh, peers: peers, logger: logger,
		updates: make(chan *wire.View), subscribers: make(chan subscriber), done: make(chan struct{}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{Name: "bulrushtrail_config_version", Help: "Version of the configuration in force."}),
	}
	registry.MustRegister(v.version)
	v.latest.Store(&wire.View{})
	go v.run(ctx)
	go v.follow(ctx)
	go v.register(ctx)
	go v.probeMembers(ctx)
	return v
}

// Latest returns the latest snapshot, which must not be modified.
func (v *Views) Latest() *wire.View { return v.latest.Load() }

// Subscribe returns a channel that delivers the latest snapshot and then each
// newer one. Snapshots that the subscriber is too slow to receive are dropped.
// The channel is closed when ctx is done.
func (v *Views) Subscribe(ctx context.Context) <-chan *wire.View {
	s := subscriber{ctx, make(chan *wire.View, 1)}
	select {
	case v.subscribers <- s:
	case <-v.done:
		close(s.feed)
	}
	return s.feed
}

// Known returns whether the members are known, and the configuration or that
// there is none. A process that accepted work earlier would refuse calls to
// services that exist.
func (v *Views) Known() bool {
	n := v.Latest()
	return n.HasConfig() && n.GetMembersVersion() > 0
}

// Wait blocks until Known is true or ctx is done.
func (v *Views) Wait(ctx context.Context) error {
	c, f := context.WithCancel(ctx)
	defer f()
	for w := range v.Subscribe(c) {
		if w.HasConfig() && w.GetMembersVersion() > 0 {
			return nil
		}
	}
	return c.Err()
}

func (v *Views) run(ctx context.Context) {
	defer close(v.done)
	s := map[subscriber]bool{}
	defer func() {
		for t := range s {
			close(t.feed)
		}
	}()
	g := make(chan subscriber)
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-v.updates:
			v.apply(n, s)
		case t := <-v.subscribers:
			s[t] = true
			t.feed <- v.latest.Load()
			context.AfterFunc(t.ctx, func() {
				select {
				case g <- t:
				case <-v.done:
				}
			})
		case t := <-g:
			delete(s, t)
			close(t.feed)
		}
	}
}

func (v *Views) apply(update *wire.View, subscribers map[subscriber]bool) {
	w, o := merge(v.latest.Load(), update)
	if !o {
		return
	}
	if w.GetConfig().GetVersion() > v.latest.Load().GetConfig().GetVersion() {
		v.logger.WithField("version", w.GetConfig().GetVersion()).Info("view: configuration in force")
		v.version.Set(float64(w.GetConfig().GetVersion()))
	}
	v.latest.Store(w)
	for s := range subscribers {
		select {
		case <-s.feed:
		default:
		}
		s.feed <- w
	}
}

// publish sends parts of a view to the goroutine of run.
func (v *Views) publish(ctx context.Context, update *wire.View) {
	select {
	case v.updates <- update:
	case <-ctx.Done():
	}
}

// sleep waits for the duration. It returns false if ctx is done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
