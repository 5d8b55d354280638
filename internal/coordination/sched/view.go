package sched

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// view takes a new snapshot of configuration, members and hosts.
func (t *task) view(now time.Time, v *wire.View) {
	if g := v.GetConfig(); g.GetVersion() > t.version {
		t.version = g.GetVersion()
		t.carryOut(t.p.Configured(now, g.GetText()))
	}
	t.carryOut(t.p.Crashes(now, v.GetCrashes()))
	if t.leaving(v) && !t.draining {
		t.carryOut(t.drain(now))
	}
	n := map[string]bool{}
	for _, h := range v.GetHosts() {
		n[h.GetName()] = true
		t.host(now, v, h)
	}
	for _, h := range t.sortedHosts() {
		if !n[h] {
			delete(t.hosts, h)
			t.carryOut(t.p.HostGone(now, h))
		}
	}
}

// leaving returns whether the view says that this process shuts down.
func (t *task) leaving(v *wire.View) bool {
	return slices.ContainsFunc(v.GetMembers(), func(m *wire.Member) bool {
		return m.GetId() == t.member.GetId() && m.GetLeaving()
	})
}

// host adds, changes or releases one backend server.
func (t *task) host(now time.Time, v *wire.View, h *wire.Host) {
	o := t.hosts[h.GetName()]
	m := owner.First(v.GetMembers(), "sched", h.GetName(), h.GetDataCentre())
	if m.GetId() == t.member.GetId() || t.draining && o != nil {
		if !proto.Equal(o, h) {
			t.hosts[h.GetName()] = h
			t.carryOut(t.p.HostSeen(now, h))
		}
		return
	}
	if o != nil {
		delete(t.hosts, h.GetName())
		t.carryOut(t.p.HostReleased(now, h.GetName()))
	}
}

func (t *task) sortedHosts() []string {
	l := make([]string, 0, len(t.hosts))
	for n := range t.hosts {
		l = append(l, n)
	}
	slices.SortFunc(l, cmp.Compare[string])
	return l
}
