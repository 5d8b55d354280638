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

// Scheduler runs the calls of the backend servers that this process owns.
type Scheduler struct {
	// Context of the task.
	ctx      context.Context
	backends trail.Caller
	counters *counters
	// Messages to the task.
	events chan event
	done   chan struct{}
}

// New starts the task of the member, which ends with c. The member names the
// process's id, data centre and incarnation. Calls run at the backend servers
// that the views and rendezvous ownership give to the member. The backends'
// target is an IP and port.
func New(
	ctx context.Context,
	member *wire.Member,
	policy trail.Policy,
	views trail.Views,
	backends trail.Caller,
	metrics trail.Metrics,
	logger log.Interface,
	registerer prometheus.Registerer,
) *Scheduler {
	s := &Scheduler{
		ctx:      ctx,
		backends: backends,
		counters: newCounters(registerer),
		events:   make(chan event),
		done:     make(chan struct{}),
	}
	t := &task{
		ctx:         ctx,
		scheduler:   s,
		member:      member,
		placer:      place.New(policy, member.GetId()+"."+strconv.FormatUint(member.GetIncarnation(), 36)),
		metrics:     metrics,
		logger:      logger,
		exchanges:   map[uint64]*exchange{},
		cancelFuncs: map[string]context.CancelFunc{},
		hosts:       map[string]*wire.Host{},
		fetching:    map[string]bool{},
		subscribers: map[chan *wire.Report]sentReport{},
		persisted:   map[uint64]bool{},
	}
	go t.run(views.Latest(), views.Subscribe(ctx))
	return s
}

// ServeCall serves a call that a peer opened. It returns when the answer was
// sent, or when the peer has closed its side and so cancelled the call.
func (s *Scheduler) ServeCall(ctx context.Context, stream *frame.Stream, request *wire.Call) {
	c, g := context.WithCancel(ctx)
	defer g()
	go func() {
		defer g()
		// The peer sends nothing more; any outcome means that it is gone.
		_ = stream.Recv(&wire.Reply{})
	}()
	// Ends a send to a peer that takes no more bytes.
	h := context.AfterFunc(c, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer h()
	s.serve(c, request, func(r *wire.Reply) error { return stream.Send(r) })
}

// Call runs a call of this process. The error's verdict is NotRun.
func (s *Scheduler) Call(ctx context.Context, request *wire.Call) (trail.Replies, error) {
	select {
	case <-s.done:
		return nil, trail.NewError("scheduler-stopped", trail.NotRun, "scheduler has stopped")
	default:
	}
	c, g := context.WithCancel(ctx)
	p := &answerStream{ctx: c, cancel: g, out: make(chan *wire.Reply)}
	go func() {
		defer close(p.out)
		s.serve(c, request, func(m *wire.Reply) error {
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

// answerStream is the answer to a call of this process.
type answerStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	out    chan *wire.Reply
	ended  bool
}

func (r *answerStream) Recv() (*wire.Reply, error) {
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

func (r *answerStream) Close() error {
	r.cancel()
	return nil
}

// Drain refuses new calls and waits until the calls in progress have ended. It
// returns c's error when c ends first.
func (s *Scheduler) Drain(ctx context.Context) error {
	d := drain{idle: make(chan struct{})}
	if !s.sendEvent(ctx, d) {
		return ctx.Err()
	}
	select {
	case <-d.idle:
		return nil
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendEvent gives the task an event. It returns false when c or the task ended
// before.
func (s *Scheduler) sendEvent(ctx context.Context, event event) bool {
	select {
	case s.events <- event:
		return true
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}
