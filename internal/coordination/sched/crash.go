package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	kindCrashes = "crashes"
	// Bound on one write, and the pause before the next while the platform is
	// down. Rejections are rare, so that the pause need not grow.
	persistTimeout       = 5 * time.Second
	persistRetryInterval = time.Second
)

// PersistRejections makes the scheduler write each request that it rejects for
// its crashes to the object crashes/<fingerprint>, the fingerprint in 16
// hexadecimal digits, by conditional create. A write is repeated until it has
// taken effect or the scheduler ends.
func (s *Scheduler) PersistRejections(store trail.Store) {
	s.sendEvent(s.ctx, rejectionStore{store})
}

// HandleReport takes the crashes in the report of a scheduler. The own reports are
// ignored.
func (s *Scheduler) HandleReport(report *wire.Report) {
	if len(report.GetCrashes()) > 0 {
		s.sendEvent(s.ctx, peerReport{report})
	}
}

// rejectionStore names the store for rejections.
type rejectionStore struct{ store trail.Store }

func (e rejectionStore) apply(t *task, _ time.Time) []decide.Decision {
	t.rejectionStore = e.store
	return nil
}

// peerReport is a report of a scheduler.
type peerReport struct{ report *wire.Report }

func (e peerReport) apply(t *task, now time.Time) []decide.Decision {
	if e.report.GetMemberId() == t.member.GetId() {
		return nil
	}
	return t.mergeCrashes(now, e.report.GetCrashes())
}

// mergeCrashes takes crashes that other schedulers have seen. One of them and an own
// one may reject a request.
func (t *task) mergeCrashes(now time.Time, crashes []*wire.Crash) []decide.Decision {
	if len(crashes) == 0 {
		return nil
	}
	d := t.placer.CrashesReported(now, crashes)
	t.persistRejections(now)
	return d
}

// crashesOf returns the crashes of a call here, for the scheduler that it is
// passed on to.
func (t *task) crashesOf(request *wire.Call) []*wire.Crash {
	var l []*wire.Crash
	for _, k := range t.placer.RecentCrashes(time.Now().Add(-crashReportPeriod)) {
		if k.GetFingerprint() == request.GetFingerprint() {
			l = append(l, k)
		}
	}
	return l
}

// persistRejections starts the writes of the rejections that are not kept yet.
func (t *task) persistRejections(now time.Time) {
	if t.rejectionStore == nil {
		return
	}
	for _, k := range t.placer.RecentCrashes(now.Add(-crashReportPeriod)) {
		if !k.GetRejected() || t.persisted[k.GetFingerprint()] {
			continue
		}
		t.persisted[k.GetFingerprint()] = true
		go persistRejection(t.ctx, t.rejectionStore, t.logger, k)
	}
}

// persistRejection writes one rejection. Another scheduler may have written it before, or
// an earlier try whose answer was lost.
func persistRejection(ctx context.Context, store trail.Store, logger log.Interface, rejection *wire.Crash) {
	n := fmt.Sprintf("%016x", rejection.GetFingerprint())
	logger = logger.WithField("fingerprint", n).WithField("backend-servers", rejection.GetHosts())
	o, e := object.Encode(kindCrashes, n, 0, rejection)
	if e != nil {
		logger.WithError(e).Error("sched: rejection not kept")
		return
	}
	for {
		d, f := context.WithTimeout(ctx, persistTimeout)
		_, e = store.Create(d, o)
		f()
		if e == nil || errors.Is(e, trail.ErrExists) {
			logger.Info("sched: rejection kept")
			return
		}
		logger.WithError(e).Warn("sched: rejection not kept yet")
		select {
		case <-ctx.Done():
			return
		case <-time.After(persistRetryInterval):
		}
	}
}
