package sched

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// ServeReport sends the load totals to a peer until it closes its side: once
// at first, then on change, at most 5 times a second.
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

// report gives each subscriber the current totals if they have changed. A
// report that a subscriber has not taken yet is replaced.
func (t *task) report(now time.Time) {
	if len(t.reports) == 0 {
		return
	}
	i := t.member.GetId()
	k, _ := t.p.KnownCrashes()
	r := wire.Report_builder{
		MemberId: &i,
		Services: t.p.Loads(now),
		Leaving:  &t.draining,
		Crashes:  k,
	}.Build()
	for o, l := range t.reports {
		if l != nil && proto.Equal(l, r) {
			continue
		}
		select {
		case <-o:
		default:
		}
		o <- r
		t.reports[o] = r
	}
}
