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
	firstReportTimeout = 2 * time.Second
	resubscribePeriod  = 500 * time.Millisecond
)

// subscribe keeps a subscription to the reports of m until c ends.
func (s *Router) subscribe(c context.Context, m *wire.Member) {
	for c.Err() == nil {
		d, f := context.WithCancel(c)
		s.do(func(o *state) {
			if c.Err() == nil {
				o.renewals[m.GetId()] = f
			}
		})
		s.reports(d, m)
		e := d.Err()
		f()
		if e != nil {
			continue
		}
		s.do(func(o *state) {
			if c.Err() == nil {
				o.table.failed(m.GetId())
			}
		})
		select {
		case <-c.Done():
		case <-time.After(resubscribePeriod):
		}
	}
}

// failed avoids the scheduler until a new subscription to it works.
func (s *Router) failed(id string) {
	s.do(func(o *state) {
		o.table.failed(id)
		f := o.renewals[id]
		if f != nil {
			f()
		}
	})
}

// reports takes reports until the stream breaks.
func (s *Router) reports(c context.Context, m *wire.Member) {
	n, e := s.m.Open(c, m.GetPeerAddress(), wire.Open_builder{Report: &wire.ReportRequest{}}.Build())
	if e != nil {
		return
	}
	f := context.AfterFunc(c, func() { abort(n) })
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
			f = o.reported
			// A report that came before the scheduler failed proves nothing.
			if c.Err() == nil {
				o.table.reported(m.GetId(), r)
			}
		})
		if f != nil {
			f(r)
		}
	}
}

// abort ends both directions of a stream. Closing ends only the own one, and a
// receiver would wait for the peer to close the other.
func abort(n *frame.Stream) {
	_ = n.Close()
	_ = n.SetReadDeadline(time.Unix(1, 0))
}
