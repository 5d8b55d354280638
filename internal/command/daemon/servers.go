package daemon

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/platform/server"
)

// recordNotice records what a backend server says of itself with a response.
func (s *frontRole) recordNotice(backendServer *wire.BackendServer, notice trail.ServerNotice) {
	if notice.Leaving() && s.fleet.MarkLeaving(time.Now(), backendServer, notice.Born()) {
		s.logger.WithField("server", backendServer.GetId()).Info("bulrushd: backend server says that it is about to stop")
	}
	if s.fleet.RecordLimit(time.Now(), backendServer, notice.Born(), notice.RequestsPerSecond()) {
		s.logger.WithFields(log.Fields{
			"server": backendServer.GetId(), "requests-per-second": notice.RequestsPerSecond(),
		}).Info("bulrushd: backend server has changed its limit")
		s.gossip.TriggerSend()
	}
}

// connect returns an upstream that sends to backend servers directly.
func (s *frontRole) connect(onNotice func(server *wire.BackendServer, notice trail.ServerNotice)) trail.Upstream {
	return server.New(s.pool, s.reportsProcess, s.recordProcess, onNotice)
}

// recordProcess records which process of a backend server has answered, and its memory.
func (s *frontRole) recordProcess(backendServer *wire.BackendServer, born, memoryTokens int64) {
	s.fleet.RecordProcess(backendServer.GetId(), born)
	s.fleet.RecordMemory(backendServer.GetId(), born, memoryTokens)
}

// reportsProcess reports whether the servers of a service tell which process they are,
// as model engines do.
func (s *frontRole) reportsProcess(service string) bool {
	t := s.direct.Table()
	return t != nil && t.Service(service).GetEngine()
}

// applyPathChange is called when this front has lost its paths to the backend
// servers, or has them back.
func (s *frontRole) applyPathChange(bool) {
	s.fleet.ForgiveFailures()
	s.gossip.TriggerSend()
	s.jobs.TriggerDispatch()
}

// watchHosts updates the fleet after each change of the registered backend
// servers until ctx is cancelled.
func (s *frontRole) watchHosts(ctx context.Context) {
	for {
		w := s.hosts.Changed()
		d := s.syncServers()
		select {
		case <-w:
		case <-d:
		case <-ctx.Done():
			return
		}
	}
}

// syncServers passes the registered backend servers to the fleet. It returns a
// channel that delivers a value when it must be called again to drop expired
// entries that the fleet has kept, or nil if none are kept.
func (s *frontRole) syncServers() <-chan time.Time {
	if !s.hosts.HasSynced() {
		return nil
	}
	var l []*wire.BackendServer
	k := map[string]*wire.BackendServer{}
	for n, o := range s.hosts.All() {
		b := &wire.BackendServer{}
		e := o.Decode(b)
		if e != nil {
			s.logger.WithError(e).WithField("server", n).Warn("bulrushd: backend server ignored, its entry could not be decoded")
			continue
		}
		l = append(l, b)
		k[n] = b
	}
	d := s.logServerChanges(k)
	w := time.Now()
	c := s.hosts.ConfirmedBeforeChange()
	o, e := s.hosts.Outage()
	a := s.fleet.SetServers(w, l, c, fleet.LapsedUntil(w, c, o, e))
	s.jobs.TriggerDispatch()
	s.builds.TriggerCheck()
	if len(d) > 0 {
		s.logger.WithFields(log.Fields{
			"servers": d, "use-ms": max(a.Sub(w), 0).Milliseconds(),
			"outage": o, "copy-age-ms": w.Sub(c).Milliseconds(),
		}).Info("bulrushd: servers that are no longer listed may be used for a while")
	}
	if a.After(w) {
		return time.After(a.Sub(w) + time.Millisecond)
	}
	return nil
}

// logServerChanges logs the backend servers that were registered, changed or
// removed since the last call, and returns the ids of the removed ones. It closes
// the idle connections to addresses that are no longer in use.
func (s *frontRole) logServerChanges(servers map[string]*wire.BackendServer) []string {
	var d []string
	for n, b := range servers {
		o := s.lastServers[n]
		if !proto.Equal(o, b) {
			s.logger.WithFields(log.Fields{
				"server": n, "service": b.GetService(), "address": b.GetAddress(), "draining": b.GetDraining(), "version": b.GetVersion(), "born": b.GetBorn(),
			}).Info("bulrushd: backend server listed")
		}
	}
	for n, o := range s.lastServers {
		if b := servers[n]; b == nil || b.GetAddress() != o.GetAddress() {
			s.pool.CloseIdle(o.GetAddress())
		}
		if servers[n] == nil {
			s.logger.WithField("server", n).Info("bulrushd: backend server no longer listed")
			d = append(d, n)
		}
	}
	s.lastServers = servers
	return d
}
