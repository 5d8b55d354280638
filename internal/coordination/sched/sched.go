package sched

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/place"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// Sched runs the calls of the backend servers that this process owns.
type Sched struct {
	// Context of the task.
	c        context.Context
	backends trail.Caller
	n        *counters
	// Messages to the task.
	events chan event
	done   chan struct{}
}

// New starts the task of the member, which ends with c. The member names the
// process's id, data centre and incarnation. Calls run at the backend servers
// that the views and rendezvous ownership give to the member. The backends'
// target is an IP and port.
func New(
	c context.Context,
	member *wire.Member,
	policy trail.Policy,
	views trail.Views,
	backends trail.Caller,
	metrics trail.Metrics,
	l log.Interface,
	r prometheus.Registerer,
) *Sched {
	s := &Sched{
		c:        c,
		backends: backends,
		n:        newCounters(r),
		events:   make(chan event),
		done:     make(chan struct{}),
	}
	t := &task{
		c:         c,
		s:         s,
		member:    member,
		p:         place.New(policy, member.GetId()+"."+strconv.FormatUint(member.GetIncarnation(), 36)),
		metrics:   metrics,
		l:         l,
		exchanges: map[uint64]*exchange{},
		cancels:   map[string]context.CancelFunc{},
		hosts:     map[string]*wire.Host{},
		fetching:  map[string]bool{},
		reports:   map[chan *wire.Report]sent{},
		kept:      map[uint64]bool{},
	}
	go t.run(views.Latest(), views.Subscribe(c))
	return s
}

// ServeCall serves a call that a peer opened. It returns when the answer was
// sent, or when the peer has closed its side and so cancelled the call.
func (s *Sched) ServeCall(c context.Context, f *frame.Stream, o *wire.Call) {
	c, g := context.WithCancel(c)
	defer g()
	go func() {
		defer g()
		// The peer sends nothing more; any outcome means that it is gone.
		_ = f.Recv(&wire.Reply{})
	}()
	// Ends a send to a peer that takes no more bytes.
	h := context.AfterFunc(c, func() { _ = f.SetDeadline(time.Unix(1, 0)) })
	defer h()
	s.serve(c, o, func(r *wire.Reply) error { return f.Send(r) })
}

// Call runs a call of this process. The error's verdict is NotRun.
func (s *Sched) Call(c context.Context, r *wire.Call) (trail.Replies, error) {
	select {
	case <-s.done:
		return nil, trail.NewError("scheduler-stopped", trail.NotRun, "scheduler has stopped")
	default:
	}
	c, g := context.WithCancel(c)
	p := &replies{c: c, cancel: g, out: make(chan *wire.Reply)}
	go func() {
		defer close(p.out)
		s.serve(c, r, func(m *wire.Reply) error {
			select {
			case p.out <- m:
				return nil
			case <-c.Done():
				return c.Err()
			}
		})
	}()
	return p, nil
}

// replies is the answer to a call of this process.
type replies struct {
	c      context.Context
	cancel context.CancelFunc
	out    chan *wire.Reply
	ended  bool
}

func (r *replies) Recv() (*wire.Reply, error) {
	if r.ended {
		return nil, io.EOF
	}
	m, k := <-r.out
	if !k {
		return nil, trail.NewError("call-cancelled", trail.MayHaveRun, "call was cancelled")
	}
	r.ended = m.HasEnd()
	return m, nil
}

func (r *replies) Close() error {
	r.cancel()
	return nil
}

// Drain refuses new calls and waits until the calls in progress have ended. It
// returns c's error when c ends first.
func (s *Sched) Drain(c context.Context) error {
	d := drain{idle: make(chan struct{})}
	if !s.send(c, d) {
		return c.Err()
	}
	select {
	case <-d.idle:
		return nil
	case <-s.done:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// send gives the task an event. It returns false when c or the task ended
// before.
func (s *Sched) send(c context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-c.Done():
	case <-s.done:
	}
	return false
}
