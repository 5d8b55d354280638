package daemon

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/httpd"
)

// runDisk answers requests to evacuate hosts with disks until c ends. Nothing is
// kept on the disks, so an evacuation is done at once.
func runDisk(c context.Context, p *process) error {
	s := httpd.New(nil, p.logger, prometheus.NewRegistry())
	p.serveMetrics(c, s)
	i := inform.New(c, p.store, "evacuations", p.logger)
	for {
		w := i.Changed()
		var r <-chan time.Time
		for n, o := range i.All() {
			if !p.confirmEvacuation(c, n, o, i) {
				r = time.After(evacuationRetryInterval)
			}
		}
		select {
		case <-w:
		case <-r:
		case <-c.Done():
			return nil
		}
	}
}

// Pause before an evacuation is answered again.
const evacuationRetryInterval = 500 * time.Millisecond

// confirmEvacuation reports that a host can be taken away. Every process with the role
// does so, since the host's own may be gone; one of them succeeds. It returns
// false when that must be tried again.
func (p *process) confirmEvacuation(ctx context.Context, name string, obj object.Object, evacuations *inform.Informer) bool {
	v := &wire.Evacuation{}
	e := obj.Decode(v)
	if e != nil {
		p.logger.WithError(e).WithField("evacuation", name).Warn("disk: evacuation is not readable")
		return true
	}
	if v.GetDone() {
		return true
	}
	v.SetDone(true)
	n, e := object.Encode("evacuations", name, obj.Version(), v)
	if e != nil {
		p.logger.WithError(e).Error("disk: evacuation not encoded")
		return true
	}
	n, e = p.store.Update(ctx, n)
	l := p.logger.WithFields(log.Fields{"evacuation": name})
	switch {
	case e == nil:
		evacuations.Put(n)
		l.Info("disk: host can be taken away, it keeps nothing")
	case errors.Is(e, trail.ErrConflict), errors.Is(e, trail.ErrNotFound):
		l.Debug("disk: evacuation was answered by another process")
	default:
		l.WithError(e).Warn("disk: evacuation not answered yet")
		return false
	}
	return true
}
