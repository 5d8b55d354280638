package daemon

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/state/rules"
)

// checkConfig returns an error for a configuration that a front of an earlier build has
// decoded. Whether it lists teams can't be told from it, so it is refused in any case.
func checkConfig(obj object.Object) error {
	t := &wire.RouteTable{}
	e := obj.Decode(t)
	if e != nil {
		return errors.Wrap(e, "decode configuration")
	}
	return rules.CheckDecoder(t)
}

// watchConfig applies each new configuration until ctx is cancelled.
func (s *frontRole) watchConfig(ctx context.Context) {
	for {
		w := s.configs.Changed()
		_, k := s.configs.Get(currentConfig)
		if k {
			e := s.applyConfig()
			if e != nil {
				s.logger.WithError(e).Error("bulrushd: configuration could not be decoded, keeping the one in force")
			}
		}
		select {
		case <-w:
		case <-ctx.Done():
			return
		}
	}
}

// applyConfig puts the newest known configuration in force if its version is higher
// than that of the one in force.
func (s *frontRole) applyConfig() error {
	s.configLock.Lock()
	defer s.configLock.Unlock()
	o, k := s.configs.Get(currentConfig)
	if !k {
		return errors.New("platform has no configuration that can be decoded")
	}
	t := &wire.RouteTable{}
	e := o.Decode(t)
	if e != nil {
		return errors.Wrap(e, "decode configuration")
	}
	r := rules.New(t)
	h := s.direct.Table()
	if h != nil && h.Version() >= r.Version() {
		return nil
	}
	s.direct.SetTable(r)
	s.builds.TriggerCheck()
	s.jobs.ApplyRoutes()
	s.logger.WithFields(log.Fields{"config-version": r.Version(), "keyed": r.Keyed()}).Info("bulrushd: configuration in force")
	if l := r.SharingTeams(); len(l) > 0 {
		s.logger.WithFields(log.Fields{"config-version": r.Version(), "teams": l}).Warn("bulrushd: teams hold the same key, which is valid for none of them")
	}
	return nil
}

// Table implements trail.Routes.
func (s *frontRole) Table() *rules.Table { return s.direct.Table() }

// Refresh implements trail.Routes. It reads the configuration through another front
// while the platform does not answer this one.
func (s *frontRole) Refresh(ctx context.Context) error {
	e := s.configs.ListThrough(ctx, s.relay)
	if e != nil {
		return e
	}
	return s.applyConfig()
}
