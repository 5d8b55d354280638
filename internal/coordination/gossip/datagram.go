package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// encode returns the next datagram. It holds the loads of the whole data centre
// if totals is set, as for remote fronts of a large fleet, and those of this
// front otherwise.
func (t *Task) encode(now time.Time, totals bool) []byte {
	t.sequence++
	s := t.currentStatus()
	m := wire.Load_builder{
		Name: proto.String(t.self.GetName()), Incarnation: proto.Uint64(t.self.GetIncarnation()),
		DataCentre: proto.String(t.self.GetDataCentre()),
		Sequence:   proto.Uint64(t.sequence),
		Leaving:    &s.leaving, Released: &s.released, Missed: &s.missed, Troubled: &s.troubled, CutOff: &s.cutOff, CountsRates: &s.countsRates,
		Configs: proto.Uint64(t.configs.Digest()), Hosts: proto.Uint64(t.hosts.Digest()),
		ConfigsAgeMs: ageMillis(t.configs), HostsAgeMs: ageMillis(t.hosts),
		QuotaPressed: proto.Bool(t.jobs.QuotaNearLimit()),
	}
	if now.Sub(t.startTime) >= fleet.HeartbeatTimeout {
		// Before that, datagrams of live fronts may not have arrived yet. This
		// front does not report any as silent, and considers none lost.
		m.Unheard = t.unheard
	}
	if totals {
		m.All = t.fleet.DataCentreLoad(now)
	} else {
		m.Servers = t.fleet.LocalLoads(now)
		if !t.heartbeatOnly {
			m.Samples = t.fleet.TakeSamples(now)
		}
		m.Teams = t.fleet.TeamLoads()
	}
	if totals || t.crashReport.due(now, t.crashes.Changes()) {
		m.Crashes = t.crashes.Report(now)
	}
	if totals || t.limitReport.due(now, t.fleet.LimitChanges()) {
		m.Limits = t.fleet.OwnLimits(now)
	}
	m.Streams = t.streams.Report(now)
	if d, a := t.builds.Digest(now); a {
		m.RecordedVersions = &d
	}
	b, e := proto.Marshal(m.Build())
	if e != nil {
		t.logger.WithError(e).Error("gossip: loads not encoded")
	}
	return b
}

// changeReport decides when a part of the state is sent to the fronts that receive
// changes: with each heartbeat, and after each change.
type changeReport struct {
	sentAt time.Time
	// Number of changes when it was last sent.
	sentChanges uint64
}

// due returns whether the next datagram has the state, and records it as sent.
func (r *changeReport) due(now time.Time, changes uint64) bool {
	if changes == r.sentChanges && now.Sub(r.sentAt) < heartbeatInterval {
		return false
	}
	r.sentAt, r.sentChanges = now, changes
	return true
}

// ageMillis returns the age of a copy in milliseconds, or nil before its first
// list.
func ageMillis(informer *inform.Informer) *uint32 {
	a, k := informer.Age()
	if !k {
		return nil
	}
	// Rounded up, so that the copy never seems newer than it is.
	return proto.Uint32(uint32(min(a.Milliseconds()+1, math.MaxUint32)))
}

// confirmCopies confirms the local copies with the ages that another front has
// sent. An age counts only if the other front's copy has the same digest.
func (t *Task) confirmCopies(now time.Time, load *wire.Load) {
	if load.HasConfigsAgeMs() {
		t.configs.Confirm(load.GetConfigs(), now.Add(-time.Duration(load.GetConfigsAgeMs())*time.Millisecond))
	}
	if load.HasHostsAgeMs() {
		t.hosts.Confirm(load.GetHosts(), now.Add(-time.Duration(load.GetHostsAgeMs())*time.Millisecond))
	}
}
