package sched

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// ServeReport sends the load totals to a peer until it closes its side: once
// at first, then on change, at most 5 times a second. Services without backend
// servers of this scheduler are left out.
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
	if !s.sendEvent(c, subscription{out: o}) {
		return
	}
	defer s.sendEvent(s.ctx, subscription{out: o, unsubscribe: true})
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

// report gives each subscriber the current totals if they have changed enough
// to change a choice of scheduler, and at least once in coalescingWindow after any
// change. A report that a subscriber has not taken yet is replaced.
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

// sentReport is the last report to a subscriber.
type sentReport struct {
	report *wire.Report
	sentAt time.Time
}

const (
	// Small changes wait so long, so that the reports of a busy scheduler stay
	// within the control-plane budget of 9 KB/s per process.
	coalescingWindow = time.Second
	// Crashes are repeated in the reports for so long.
	crashReportPeriod = 30 * time.Second
	// Part of a value by which it must change to be reported at once.
	significantChange = 0.25
)

// differsSignificantly returns whether a subscriber could choose otherwise by b than by a.
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

// changedSignificantly returns whether a value came to or from 0 or changed much.
func changedSignificantly(previous, current int64) bool {
	if (previous == 0) != (current == 0) {
		return true
	}
	return math.Abs(float64(previous-current)) > significantChange*float64(max(previous, current))
}
