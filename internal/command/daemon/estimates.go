package daemon

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/coordination/meter"
)

// Interval at which the estimates of the backend servers are reported.
const reportInterval = time.Second

// reportEstimates reports what is learned of the backend servers until ctx is cancelled.
func (s *frontRole) reportEstimates(ctx context.Context) {
	r := meter.New(s.fleet, s.logger, s.registry)
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case o := <-t.C:
			r.Update(o)
		case <-ctx.Done():
			return
		}
	}
}
