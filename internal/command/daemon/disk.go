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

// runDisk confirms evacuations of hosts with disks until ctx is cancelled. No data
// is stored on the disks, so every evacuation is confirmed immediately.
func runDisk(ctx context.Context, process *process) error {
	s := httpd.New(nil, process.logger, prometheus.NewRegistry())
	process.serveMetrics(ctx, s)
	i := inform.New(ctx, process.store, "evacuations", process.logger)
	for {
		w := i.Changed()
		var r <-chan time.Time
		for n, o := range i.All() {
			if !process.confirmEvacuation(ctx, n, o, i) {
				r = time.After(evacuationRetryInterval)
			}
		}
		select {
		case <-w:
		case <-r:
		case <-ctx.Done():
			return nil
		}
	}
}

// Time after a failed confirmation before it is retried.
const evacuationRetryInterval = 500 * time.Millisecond

// confirmEvacuation marks an evacuation as done, so that the host can be
// removed. Every process of the role tries this, since the process on the host
// itself may already be gone; one of them succeeds. It returns false if the
// attempt must be repeated.
func (p *process) confirmEvacuation(ctx context.Context, name string, obj object.Object, evacuations *inform.Informer) bool {
	v := &wire.Evacuation{}
	e := obj.Decode(v)
	if e != nil {
		p.logger.WithError(e).WithField("evacuation", name).Warn("disk: evacuation could not be decoded")
		return true
	}
	if v.GetDone() {
		return true
	}
	v.SetDone(true)
	n, e := object.Encode("evacuations", name, obj.Version(), v)
	if e != nil {
		p.logger.WithError(e).Error("disk: evacuation could not be encoded")
		return true
	}
	n, e = p.store.Update(ctx, n)
	l := p.logger.WithFields(log.Fields{"evacuation": name})
	switch {
	case e == nil:
		evacuations.Put(n)
		l.Info("disk: evacuation confirmed, host holds no data")
	case errors.Is(e, trail.ErrConflict), errors.Is(e, trail.ErrNotFound):
		l.Debug("disk: evacuation already changed or deleted by another process")
	default:
		l.WithError(e).Warn("disk: evacuation not answered yet")
		return false
	}
	return true
}
