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

// Scheduler runs calls on the backend servers that this process owns.
type Scheduler struct {
	// Lifetime of the task.
	ctx      context.Context
	backends trail.Caller
	counters *counters
	events   chan event
	done     chan struct{}
}

// New returns a Scheduler and starts its task, which runs until ctx is
// cancelled. The member gives the id, data centre and incarnation of the
// process. Calls run on the backend servers that are assigned to the member by
// rendezvous hashing over the members of the views. The target passed to
// backends is an IP address and port.
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
		ctx:                 ctx,
		scheduler:           s,
		member:              member,
		placer:              place.New(policy, member.GetId()+"."+strconv.FormatUint(member.GetIncarnation(), 36)),
		metrics:             metrics,
		logger:              logger,
		exchanges:           map[uint64]*exchange{},
		cancelFuncs:         map[string]context.CancelFunc{},
		hosts:               map[string]*wire.Host{},
		fetching:            map[string]bool{},
		subscribers:         map[chan *wire.Report]sentReport{},
		persistedRejections: map[uint64]int64{},
	}
	go t.run(views.Latest(), views.Subscribe(ctx))
	return s
}

// ServeCall serves a call that a peer opened. It returns once the answer is
// sent, or when the peer cancels the call by closing its side.
func (s *Scheduler) ServeCall(ctx context.Context, stream *frame.Stream, request *wire.Call) {
	c, g := context.WithCancel(ctx)
	defer g()
	go func() {
		defer g()
		// The peer sends nothing after the call; any result means that it has
		// closed its side.
		_ = stream.Recv(&wire.Reply{})
	}()
	// Unblocks a send to a peer that has stopped reading.
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

// answerStream is the stream of replies to a call of this process.
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

// Drain rejects new calls and waits until the calls in progress have ended. It
// returns ctx.Err() if ctx ends first.
func (s *Scheduler) Drain(ctx context.Context) error {
	d := drainRequest{idle: make(chan struct{})}
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

// sendEvent sends an event to the task. It returns false if ctx or the task
// ended before the task received the event.
func (s *Scheduler) sendEvent(ctx context.Context, event event) bool {
	select {
	case s.events <- event:
		return true
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}
