package sched

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// ServeReport sends load reports to a peer until it closes its side: one
// immediately, then one on each change, at most 5 per second. Services without
// backend servers or calls on this scheduler are left out.
func (s *Scheduler) ServeReport(ctx context.Context, stream *frame.Stream, _ *wire.ReportRequest) {
	c, g := context.WithCancel(ctx)
	defer g()
	go func() {
		defer g()
		_ = stream.Recv(&wire.Report{})
	}()
	h := context.AfterFunc(c, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer h()
	o := make(chan *wire.Report, 1)
	if !s.sendEvent(c, subscriptionChange{out: o}) {
		return
	}
	defer s.sendEvent(s.ctx, subscriptionChange{out: o, unsubscribe: true})
	for {
		select {
		case r := <-o:
			if stream.Send(r) != nil {
				return
			}
		case <-c.Done():
			return
		case <-s.done:
			return
		}
	}
}

// report sends the current load to each subscriber if it has changed enough to
// affect the choice of a scheduler, or if it has changed at all and the last
// report is older than coalescingWindow. It replaces a report that the
// subscriber has not received yet.
func (t *task) report(now time.Time) {
	l := t.placer.ServiceLoads(now)
	t.scheduler.counters.setLoads(l)
	if len(t.subscribers) == 0 {
		return
	}
	i := t.member.GetId()
	r := wire.Report_builder{
		MemberId: &i,
		Services: l,
		Leaving:  &t.draining,
		Crashes:  t.placer.RecentCrashes(now.Add(-crashReportPeriod)),
	}.Build()
	for o, s := range t.subscribers {
		if s.report != nil && (proto.Equal(s.report, r) || now.Sub(s.sentAt) < coalescingWindow && !differsSignificantly(s.report, r)) {
			continue
		}
		select {
		case <-o:
		default:
		}
		o <- r
		t.subscribers[o] = sentReport{r, now}
	}
}

// sentReport is the last report sent to a subscriber.
type sentReport struct {
	report *wire.Report
	sentAt time.Time
}

const (
	// Insignificant changes are coalesced over this window, so that the reports
	// of a busy scheduler stay within the control-plane budget of 9 KB/s per
	// process.
	coalescingWindow = time.Second
	// Period over which a crash is repeated in the reports.
	crashReportPeriod = 30 * time.Second
	// Relative change of a value above which it is reported immediately.
	significantChange = 0.25
)

// differsSignificantly returns whether the change could affect a subscriber's
// choice of a scheduler.
func differsSignificantly(previous, current *wire.Report) bool {
	if previous.GetLeaving() != current.GetLeaving() || len(previous.GetServices()) != len(current.GetServices()) || len(previous.GetCrashes()) != len(current.GetCrashes()) {
		return true
	}
	for i, x := range previous.GetServices() {
		y := current.GetServices()[i]
		if x.GetService() != y.GetService() || x.GetRunners() != y.GetRunners() ||
			changedSignificantly(int64(x.GetFreeOnlineSlots()), int64(y.GetFreeOnlineSlots())) ||
			changedSignificantly(int64(x.GetQueuedOnline()), int64(y.GetQueuedOnline())) ||
			changedSignificantly(x.GetExpectedWaitMs(), y.GetExpectedWaitMs()) {
			return true
		}
	}
	return false
}

// changedSignificantly returns whether a value changed to or from 0, or by more
// than the share significantChange.
func changedSignificantly(previous, current int64) bool {
	if (previous == 0) != (current == 0) {
		return true
	}
	return math.Abs(float64(previous-current)) > significantChange*float64(max(previous, current))
}
