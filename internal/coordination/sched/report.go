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
func (s *Sched) ServeReport(c context.Context, f *frame.Stream, _ *wire.ReportRequest) {
	c, g := context.WithCancel(c)
	defer g()
	go func() {
		defer g()
		_ = f.Recv(&wire.Report{})
	}()
	h := context.AfterFunc(c, func() { _ = f.SetDeadline(time.Unix(1, 0)) })
	defer h()
	o := make(chan *wire.Report, 1)
	if !s.send(c, subscription{out: o}) {
		return
	}
	defer s.send(s.c, subscription{out: o, end: true})
	for {
		select {
		case r := <-o:
			if f.Send(r) != nil {
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
// to change a choice of scheduler, and at least once in quietPeriod after any
// change. A report that a subscriber has not taken yet is replaced.
func (t *task) report(now time.Time) {
	l := t.p.Loads(now)
	t.s.n.load(l)
	if len(t.reports) == 0 {
		return
	}
	i := t.member.GetId()
	r := wire.Report_builder{
		MemberId: &i,
		Services: l,
		Leaving:  &t.draining,
		Crashes:  t.p.RecentCrashes(now.Add(-crashPeriod)),
	}.Build()
	for o, s := range t.reports {
		if s.r != nil && (proto.Equal(s.r, r) || now.Sub(s.at) < quietPeriod && !differ(s.r, r)) {
			continue
		}
		select {
		case <-o:
		default:
		}
		o <- r
		t.reports[o] = sent{r, now}
	}
}

// sent is the last report to a subscriber.
type sent struct {
	r  *wire.Report
	at time.Time
}

const (
	// Small changes wait so long, so that the reports of a busy scheduler stay
	// within the control-plane budget of 9 KB/s per process.
	quietPeriod = time.Second
	// Crashes are repeated in the reports for so long.
	crashPeriod = 30 * time.Second
	// Part of a value by which it must change to be reported at once.
	minChange = 0.25
)

// differ returns whether a subscriber could choose otherwise by b than by a.
func differ(a, b *wire.Report) bool {
	if a.GetLeaving() != b.GetLeaving() || len(a.GetServices()) != len(b.GetServices()) || len(a.GetCrashes()) != len(b.GetCrashes()) {
		return true
	}
	for i, x := range a.GetServices() {
		y := b.GetServices()[i]
		if x.GetService() != y.GetService() || x.GetRunners() != y.GetRunners() ||
			moved(int64(x.GetFreeOnlineSlots()), int64(y.GetFreeOnlineSlots())) ||
			moved(int64(x.GetQueuedOnline()), int64(y.GetQueuedOnline())) ||
			moved(x.GetExpectedWaitMs(), y.GetExpectedWaitMs()) {
			return true
		}
	}
	return false
}

// moved returns whether a value came to or from 0 or changed much.
func moved(a, b int64) bool {
	if (a == 0) != (b == 0) {
		return true
	}
	return math.Abs(float64(a-b)) > minChange*float64(max(a, b))
}
