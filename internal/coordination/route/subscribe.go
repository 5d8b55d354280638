package route

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// A scheduler sends its first report as soon as the stream is open. One
	// that does not within this time is considered unresponsive.
	firstReportTimeout  = 2 * time.Second
	resubscribeInterval = 500 * time.Millisecond
)

// subscribe keeps a subscription to the load reports of a scheduler until ctx is
// done. It opens a new stream at once after markFailed, else after
// resubscribeInterval.
func (s *Router) subscribe(ctx context.Context, scheduler *wire.Member) {
	for ctx.Err() == nil {
		d, f := context.WithCancel(ctx)
		s.do(func(o *state) {
			if ctx.Err() == nil {
				o.renewSubscription[scheduler.GetId()] = f
			}
		})
		s.receiveReports(d, scheduler)
		e := d.Err()
		f()
		if e != nil {
			continue
		}
		s.do(func(o *state) {
			if ctx.Err() == nil {
				o.table.markFailed(scheduler.GetId())
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeInterval):
		}
	}
}

// markFailed makes calls avoid the scheduler until a new stream of the
// subscription to it delivers a report.
func (s *Router) markFailed(id string) {
	s.do(func(o *state) {
		o.table.markFailed(id)
		f := o.renewSubscription[id]
		if f != nil {
			f()
		}
	})
}

// receiveReports applies load reports until the stream fails or ctx is done.
func (s *Router) receiveReports(ctx context.Context, scheduler *wire.Member) {
	n, e := s.mesh.Open(ctx, scheduler.GetPeerAddress(), wire.Open_builder{Report: &wire.ReportRequest{}}.Build())
	if e != nil {
		return
	}
	f := context.AfterFunc(ctx, func() { abort(n) })
	defer f()
	defer abort(n)
	_ = n.SetReadDeadline(time.Now().Add(firstReportTimeout))
	for {
		r := &wire.Report{}
		e = n.Recv(r)
		if e != nil {
			return
		}
		_ = n.SetReadDeadline(time.Time{})
		var f func(*wire.Report)
		s.do(func(o *state) {
			f = o.onReport
			// A report that was received before the scheduler was marked as
			// failed does not show that it answers now.
			if ctx.Err() == nil {
				o.table.applyReport(scheduler.GetId(), r)
			}
		})
		if f != nil {
			f(r)
		}
	}
}

// abort ends both directions of a stream. Close ends only the sending direction;
// without the read deadline in the past, Recv would block until the peer closes
// the other one.
func abort(stream *frame.Stream) {
	_ = stream.Close()
	_ = stream.SetReadDeadline(time.Unix(1, 0))
}
