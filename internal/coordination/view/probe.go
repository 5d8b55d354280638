package view

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	probeInterval = 5 * time.Second
	probeTimeout  = 4 * time.Second
	// A member is removed after this many consecutive failed probes, which is
	// after 30 s.
	maxFailedProbes = 6
	// Number of schedulers that probe a member from its own data centre, to
	// detect the loss of a host, and from other data centres, to detect the
	// loss of a data centre.
	localProbers  = 2
	remoteProbers = 1
)

// probeMembers pings members periodically and removes unreachable ones from the
// platform. Only a few schedulers probe each member.
func (v *Views) probeMembers(ctx context.Context) {
	if v.self.GetRole() != "sched" {
		return
	}
	// Number of consecutive failed probes, by member id.
	n := map[string]int{}
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n = v.probeAll(ctx, n)
		}
	}
}

// probeAll probes each member that this process is responsible for and removes
// those that reach maxFailedProbes. It takes and returns the numbers of
// consecutive failed probes by member id.
func (v *Views) probeAll(ctx context.Context, failed map[string]int) map[string]int {
	l := v.Latest().GetMembers()
	type pingResult struct {
		member *wire.Member
		err    error
	}
	a := make(chan pingResult)
	k := 0
	for _, m := range l {
		if v.isSelf(m) || !v.isProber(l, m) {
			continue
		}
		k++
		go func() {
			d, f := context.WithTimeout(ctx, probeTimeout)
			defer f()
			_, e := v.mesh.Ping(d, m.GetPeerAddress())
			a <- pingResult{m, e}
		}()
	}
	n := map[string]int{}
	for range k {
		b := <-a
		if b.err == nil {
			continue
		}
		i := b.member.GetId()
		n[i] = failed[i] + 1
		if n[i] >= maxFailedProbes {
			v.removeUnreachable(ctx, b.member)
		}
	}
	return n
}

// isProber returns whether this process probes the member.
func (v *Views) isProber(members []*wire.Member, member *wire.Member) bool {
	n, f := 0, 0
	for _, p := range owner.Rank(members, "sched", "probe/"+member.GetId(), "") {
		if p.GetId() == member.GetId() {
			continue
		}
		if p.GetDataCentre() == member.GetDataCentre() {
			n++
			if n > localProbers {
				continue
			}
		} else {
			f++
			if f > remoteProbers {
				continue
			}
		}
		if v.isSelf(p) {
			return true
		}
	}
	return false
}

// removeUnreachable deletes the member object unless another process has
// replaced it.
func (v *Views) removeUnreachable(ctx context.Context, member *wire.Member) {
	o, e := v.store.Get(ctx, kindMembers, member.GetId())
	if e != nil {
		return
	}
	q := &wire.Member{}
	e = o.Decode(q)
	if e != nil || !sameProcess(q, member) {
		return
	}
	e = v.store.Delete(ctx, o)
	v.logger.WithField("member", member.GetId()).WithField("failed", e != nil).Warn("view: removing unreachable member from the platform")
}
