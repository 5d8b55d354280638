package sched

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// applyView applies a new snapshot of configuration, crashes, members and
// hosts.
func (t *task) applyView(now time.Time, view *wire.View) {
	if g := view.GetConfig(); g.GetVersion() > t.configVersion {
		t.configVersion = g.GetVersion()
		t.execute(t.placer.ServicesConfigured(now, g.GetText()))
	}
	t.execute(t.placer.CrashesReported(now, view.GetCrashes()))
	if t.isLeaving(view) && !t.draining {
		t.execute(t.drain(now))
	}
	n := map[string]bool{}
	for _, h := range view.GetHosts() {
		n[h.GetName()] = true
		t.updateHost(now, view, h)
	}
	for _, h := range t.sortedHosts() {
		if !n[h] {
			delete(t.hosts, h)
			t.execute(t.placer.HostRemoved(now, h))
		}
	}
}

// isLeaving returns whether the view marks this process as leaving.
func (t *task) isLeaving(view *wire.View) bool {
	return slices.ContainsFunc(view.GetMembers(), func(m *wire.Member) bool {
		return m.GetId() == t.member.GetId() && m.GetLeaving()
	})
}

// updateHost adds, updates or releases one backend server, depending on which
// scheduler owns it.
func (t *task) updateHost(now time.Time, view *wire.View, host *wire.Host) {
	o := t.hosts[host.GetName()]
	m := owner.First(view.GetMembers(), "sched", host.GetName(), host.GetDataCentre())
	if m.GetId() == t.member.GetId() || t.draining && o != nil {
		if !proto.Equal(o, host) {
			t.hosts[host.GetName()] = host
			t.execute(t.placer.HostUpdated(now, host))
		}
		return
	}
	if o != nil {
		delete(t.hosts, host.GetName())
		t.execute(t.placer.HostReleased(now, host.GetName()))
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
