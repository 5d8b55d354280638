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
	// Timeout of one write, and the pause before the next attempt while the
	// platform is down. Rejections are rare, so that no exponential backoff is
	// needed.
	persistTimeout       = 5 * time.Second
	persistRetryInterval = time.Second
)

// PersistRejections sets the store for requests that are rejected because of
// their crashes. Each is written by conditional create to the object
// crashes/<fingerprint>, with the fingerprint in 16 hexadecimal digits, and
// replaced after a further crash. A failed write is repeated until it succeeds or
// the scheduler stops.
func (s *Scheduler) PersistRejections(store trail.Store) {
	s.sendEvent(s.ctx, setRejectionStore{store})
}

// HandleReport merges the crashes in a scheduler's report. Reports of this
// scheduler itself are ignored.
func (s *Scheduler) HandleReport(report *wire.Report) {
	if len(report.GetCrashes()) > 0 {
		s.sendEvent(s.ctx, peerReport{report})
	}
}

// setRejectionStore sets the store for rejections.
type setRejectionStore struct{ store trail.Store }

func (e setRejectionStore) apply(t *task, _ time.Time) []decide.Decision {
	t.rejectionStore = e.store
	return nil
}

// peerReport is a report with the crashes of a scheduler.
type peerReport struct{ report *wire.Report }

func (e peerReport) apply(t *task, now time.Time) []decide.Decision {
	if e.report.GetMemberId() == t.member.GetId() {
		return nil
	}
	return t.mergeCrashes(now, e.report.GetCrashes())
}

// mergeCrashes merges crashes seen by other schedulers. Together with local
// ones they may cause a request to be rejected.
func (t *task) mergeCrashes(now time.Time, crashes []*wire.Crash) []decide.Decision {
	if len(crashes) == 0 {
		return nil
	}
	d := t.placer.CrashesReported(now, crashes)
	t.persistRejections(now)
	return d
}

// crashesOf returns the recent crashes of a request on this scheduler, for the
// scheduler to which the call is forwarded next.
func (t *task) crashesOf(request *wire.Call) []*wire.Crash {
	var l []*wire.Crash
	for _, k := range t.placer.RecentCrashes(time.Now().Add(-crashReportPeriod)) {
		if k.GetFingerprint() == request.GetFingerprint() {
			l = append(l, k)
		}
	}
	return l
}

// persistRejections starts the writes of the new rejections.
func (t *task) persistRejections(now time.Time) {
	if t.rejectionStore == nil {
		return
	}
	for _, k := range t.placer.RecentCrashes(now.Add(-crashReportPeriod)) {
		if !k.GetRejected() || t.persistedRejections[k.GetFingerprint()] == k.GetLastUnixMs() {
			continue
		}
		t.persistedRejections[k.GetFingerprint()] = k.GetLastUnixMs()
		go persistRejection(t.ctx, t.rejectionStore, t.logger, k)
	}
}

// persistRejection writes one rejection. The object may exist already, written
// by another scheduler, by an earlier write whose response was lost, or for an
// earlier crash.
func persistRejection(ctx context.Context, store trail.Store, logger log.Interface, rejection *wire.Crash) {
	n := fmt.Sprintf("%016x", rejection.GetFingerprint())
	logger = logger.WithField("fingerprint", n).WithField("backend-servers", rejection.GetHosts())
	o, e := object.Encode(kindCrashes, n, 0, rejection)
	if e != nil {
		logger.WithError(e).Error("sched: rejection not encoded, it will not be persisted")
		return
	}
	for {
		d, f := context.WithTimeout(ctx, persistTimeout)
		_, e = store.Create(d, o)
		if errors.Is(e, trail.ErrExists) {
			e = renewRejection(d, store, o.Name(), rejection)
		}
		f()
		if e == nil {
			logger.Info("sched: rejection persisted")
			return
		}
		logger.WithError(e).Warn("sched: rejection not persisted yet, write will be repeated")
		select {
		case <-ctx.Done():
			return
		case <-time.After(persistRetryInterval):
		}
	}
}

// renewRejection replaces the object of a rejection unless it tells of a crash
// that is as recent.
func renewRejection(ctx context.Context, store trail.Store, name string, rejection *wire.Crash) error {
	o, e := store.Get(ctx, kindCrashes, name)
	if e != nil {
		return e
	}
	var k wire.Crash
	e = o.Decode(&k)
	if e != nil || k.GetLastUnixMs() >= rejection.GetLastUnixMs() {
		return e
	}
	n, e := object.Encode(kindCrashes, name, o.Version(), rejection)
	if e != nil {
		return e
	}
	_, e = store.Update(ctx, n)
	return e
}
