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
	// Schedulers of each data centre that watch the platform. The second one
	// covers the time until the first one's loss is noticed.
	watchersPerDataCentre = 2
	// How long a process that reaches no watcher watches the platform itself
	// before it tries the watchers again.
	directWatchDuration = 30 * time.Second
	// Schedulers that are asked for their view besides the peers of the
	// settings, which may have left since.
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

// follow keeps the view current from the best source: the platform for a
// watcher, else a watcher.
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

// cancelOnWatcherChange ends the current source when other members become the
// watchers.
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

// followWatchers follows one watcher after the other, and the platform for a while when
// none answers.
func (v *Views) followWatchers(ctx context.Context, watchers []*wire.Member) {
	for _, w := range watchers {
		e := v.followPeer(ctx, w.GetPeerAddress())
		if ctx.Err() != nil {
			return
		}
		v.logger.WithError(e).WithField("watcher", w.GetId()).Warn("view: watcher lost")
	}
	d, f := context.WithTimeout(ctx, directWatchDuration)
	defer f()
	v.watchPlatform(d)
}

// queryPeers takes the view of each peer of the settings and of a few schedulers
// while the platform does not answer. A process that starts then, or was frozen
// and missed changes, gets the newest that they hold.
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

// queryPeer applies the first view that a peer sends, which is all that it knows.
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

// followPeer applies what the peer sends until the stream ends.
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

// ServeWatch sends the parts of the view that have changed to a subscriber
// until its side closes.
func (v *Views) ServeWatch(ctx context.Context, stream *frame.Stream, _ *wire.WatchRequest) {
	c, f := context.WithCancel(ctx)
	defer f()
	go func() {
		// The subscriber sends nothing: the read ends when it leaves.
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
