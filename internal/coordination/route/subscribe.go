package route

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// A scheduler sends its totals at once when it is asked; one that doesn't
	// within this time has gone silent.
	firstReportTimeout  = 2 * time.Second
	resubscribeInterval = 500 * time.Millisecond
)

// subscribe keeps a subscription to the reports of m until c ends.
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

// markFailed avoids the scheduler until a new subscription to it works.
func (s *Router) markFailed(id string) {
	s.do(func(o *state) {
		o.table.markFailed(id)
		f := o.renewSubscription[id]
		if f != nil {
			f()
		}
	})
}

// receiveReports takes reports until the stream breaks.
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
			// A report that came before the scheduler failed proves nothing.
			if ctx.Err() == nil {
				o.table.applyReport(scheduler.GetId(), r)
			}
		})
		if f != nil {
			f(r)
		}
	}
}

// abort ends both directions of a stream. Closing ends only the own one, and a
// receiver would wait for the peer to close the other.
func abort(stream *frame.Stream) {
	_ = stream.Close()
	_ = stream.SetReadDeadline(time.Unix(1, 0))
}
