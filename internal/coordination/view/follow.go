package view

import (
	"context"
	"slices"
	"sync"
	"time"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// Number of schedulers of each data centre that watch the platform. The
	// second one covers the time until the loss of the first is detected.
	watchersPerDataCentre = 2
	// Time for which a process that reaches no watcher watches the platform
	// itself before it tries the watchers again.
	directWatchDuration = 30 * time.Second
	// Number of schedulers that are queried for their view in addition to the
	// peers in the settings, which may no longer be members.
	maxQueriedSchedulers = 3
	queryTimeout         = 2 * time.Second
)

// watchers returns the members of this data centre that watch the platform.
func (v *Views) watchers(members []*wire.Member) []*wire.Member {
	var l []*wire.Member
	for _, m := range owner.Rank(members, "sched", "watch", v.self.GetDataCentre()) {
		if m.GetDataCentre() == v.self.GetDataCentre() && len(l) < watchersPerDataCentre {
			l = append(l, m)
		}
	}
	return l
}

// follow keeps the view up to date. A watcher follows the platform, another
// process follows a watcher of its data centre, or the platform if there is
// none. The source is chosen again when the watchers change.
func (v *Views) follow(ctx context.Context) {
	for ctx.Err() == nil {
		w := v.watchers(v.Latest().GetMembers())
		d, f := context.WithCancel(ctx)
		go v.cancelOnWatcherChange(d, f, w)
		switch {
		case len(w) == 0:
			v.watchPlatform(d)
		case slices.ContainsFunc(w, v.isSelf):
			v.watchPlatform(d)
		default:
			v.followWatchers(d, w)
		}
		f()
	}
}

func (v *Views) isSelf(member *wire.Member) bool { return member.GetId() == v.self.GetId() }

// cancelOnWatcherChange calls cancel when the watchers of this data centre are
// no longer the given ones.
func (v *Views) cancelOnWatcherChange(ctx context.Context, cancel func(), watchers []*wire.Member) {
	for n := range v.Subscribe(ctx) {
		if !slices.EqualFunc(watchers, v.watchers(n.GetMembers()), sameProcess) {
			cancel()
			return
		}
	}
}

func sameProcess(a, b *wire.Member) bool {
	return a.GetId() == b.GetId() && a.GetIncarnation() == b.GetIncarnation() && a.GetPeerAddress() == b.GetPeerAddress()
}

// followWatchers follows the first watcher until its stream fails, then the next
// one. After the last one, it watches the platform for directWatchDuration.
func (v *Views) followWatchers(ctx context.Context, watchers []*wire.Member) {
	for _, w := range watchers {
		e := v.followPeer(ctx, w.GetPeerAddress())
		if ctx.Err() != nil {
			return
		}
		v.logger.WithError(e).WithField("watcher", w.GetId()).Warn("view: stream from watcher failed, switching to the next source")
	}
	d, f := context.WithTimeout(ctx, directWatchDuration)
	defer f()
	v.watchPlatform(d)
}

// queryPeers gets the views of the peers in the settings and of a few schedulers
// when the platform does not answer. A process that starts during an outage of
// the platform, or that was frozen and missed changes, thus gets the latest
// state that they have.
func (v *Views) queryPeers(ctx context.Context) {
	l := slices.Clone(v.peers)
	r := owner.Rank(v.Latest().GetMembers(), "sched", "ask/"+v.self.GetId(), "")
	for _, m := range r[:min(len(r), maxQueriedSchedulers)] {
		l = append(l, m.GetPeerAddress())
	}
	slices.Sort(l)
	var w sync.WaitGroup
	for _, p := range slices.Compact(l) {
		if p != v.self.GetPeerAddress() {
			w.Go(func() { v.queryPeer(ctx, p) })
		}
	}
	w.Wait()
}

// queryPeer applies the first view that a peer sends, which is its complete one.
func (v *Views) queryPeer(ctx context.Context, address string) {
	c, f := context.WithTimeout(ctx, queryTimeout)
	defer f()
	s, e := v.mesh.Open(c, address, wire.Open_builder{Watch: &wire.WatchRequest{}}.Build())
	if e != nil {
		return
	}
	defer s.Close()
	g := context.AfterFunc(c, func() { _ = s.SetDeadline(time.Now()) })
	defer g()
	n := &wire.View{}
	e = s.Recv(n)
	if e == nil {
		v.publish(c, n)
	}
}

// followPeer applies the updates that a peer sends until the stream fails.
func (v *Views) followPeer(ctx context.Context, address string) error {
	s, e := v.mesh.Open(ctx, address, wire.Open_builder{Watch: &wire.WatchRequest{}}.Build())
	if e != nil {
		return e
	}
	f := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer f()
	defer s.Close()
	for {
		n := &wire.View{}
		e = s.Recv(n)
		if e != nil {
			return e
		}
		v.publish(ctx, n)
	}
}

// ServeWatch sends a subscriber the complete view, then the parts that change,
// until the subscriber closes the stream or ctx is done.
func (v *Views) ServeWatch(ctx context.Context, stream *frame.Stream, _ *wire.WatchRequest) {
	c, f := context.WithCancel(ctx)
	defer f()
	go func() {
		// The subscriber sends nothing, so Recv returns only when the stream
		// is closed.
		_ = stream.Recv(&wire.WatchRequest{})
		f()
	}()
	t := &wire.View{}
	for n := range v.Subscribe(c) {
		w := changedSince(n, t)
		t = n
		e := stream.Send(w)
		if e != nil {
			return
		}
	}
}
