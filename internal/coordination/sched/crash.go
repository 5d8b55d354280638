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
	keepTimeout = 5 * time.Second
	keepPause   = time.Second
)

// KeepRejections makes the scheduler write each request that it rejects for
// its crashes to the object crashes/<fingerprint>, the fingerprint in 16
// hexadecimal digits, by conditional create. A write is repeated until it has
// taken effect or the scheduler ends.
func (s *Sched) KeepRejections(store trail.Store) {
	s.send(s.c, keeping{store})
}

// Reported takes the crashes in the report of a scheduler. The own reports are
// ignored.
func (s *Sched) Reported(r *wire.Report) {
	if len(r.GetCrashes()) > 0 {
		s.send(s.c, reported{r})
	}
}

// keeping names the store for rejections.
type keeping struct{ store trail.Store }

func (e keeping) apply(t *task, _ time.Time) []decide.Decision {
	t.store = e.store
	return nil
}

// reported is a report of a scheduler.
type reported struct{ r *wire.Report }

func (e reported) apply(t *task, now time.Time) []decide.Decision {
	if e.r.GetMemberId() == t.member.GetId() {
		return nil
	}
	return t.learn(now, e.r.GetCrashes())
}

// learn takes crashes that other schedulers have seen. One of them and an own
// one may reject a request.
func (t *task) learn(now time.Time, l []*wire.Crash) []decide.Decision {
	if len(l) == 0 {
		return nil
	}
	d := t.p.Crashes(now, l)
	t.keepRejections(now)
	return d
}

// crashesOf returns the crashes of a call here, for the scheduler that it is
// passed on to.
func (t *task) crashesOf(r *wire.Call) []*wire.Crash {
	var l []*wire.Crash
	for _, k := range t.p.RecentCrashes(time.Now().Add(-crashPeriod)) {
		if k.GetFingerprint() == r.GetFingerprint() {
			l = append(l, k)
		}
	}
	return l
}

// keepRejections starts the writes of the rejections that are not kept yet.
func (t *task) keepRejections(now time.Time) {
	if t.store == nil {
		return
	}
	for _, k := range t.p.RecentCrashes(now.Add(-crashPeriod)) {
		if !k.GetRejected() || t.kept[k.GetFingerprint()] {
			continue
		}
		t.kept[k.GetFingerprint()] = true
		go keep(t.c, t.store, t.l, k)
	}
}

// keep writes one rejection. Another scheduler may have written it before, or
// an earlier try whose answer was lost.
func keep(c context.Context, store trail.Store, l log.Interface, k *wire.Crash) {
	n := fmt.Sprintf("%016x", k.GetFingerprint())
	l = l.WithField("fingerprint", n).WithField("backend-servers", k.GetHosts())
	o, e := object.Encode(kindCrashes, n, 0, k)
	if e != nil {
		l.WithError(e).Error("sched: rejection not kept")
		return
	}
	for {
		d, f := context.WithTimeout(c, keepTimeout)
		_, e = store.Create(d, o)
		f()
		if e == nil || errors.Is(e, trail.ErrExists) {
			l.Info("sched: rejection kept")
			return
		}
		l.WithError(e).Warn("sched: rejection not kept yet")
		select {
		case <-c.Done():
			return
		case <-time.After(keepPause):
		}
	}
}
