package sched_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/coordination/sched"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// harness runs a scheduler with simulated backend servers.
type harness struct {
	t         *testing.T
	scheduler *sched.Scheduler
	views     *fakeViews
	// Attempts that reached a backend server, in order.
	attempts []*fakeAttempt
	// Guards attempts while calls run.
	mu sync.Mutex
	// If set, simulates the backend server of each attempt; it must close the
	// attempt's channel.
	generate func(a *fakeAttempt)
	// If set, called by the task for each log line.
	onLog func(e *log.Entry)
	// Response to GET /metrics.
	metrics atomic.Value
	// Error in place of that response, nil for none.
	fetchError atomic.Pointer[error]
	logLines   *memory.Handler
	registry   *prometheus.Registry
	callCount  int
}

// fakeAttempt is one attempt at a simulated backend server.
type fakeAttempt struct {
	harness *harness
	ctx     context.Context
	address string
	request *wire.Call
	replies chan any
	// Bytes of the body sent.
	bytesSent int64
}

// fakeViews implements trail.Views for one subscriber.
type fakeViews struct {
	latest  *wire.View
	updates chan *wire.View
}

func (v *fakeViews) Latest() *wire.View { return v.latest }

func (v *fakeViews) Subscribe(context.Context) <-chan *wire.View { return v.updates }

// runScheduler starts a scheduler with the view given in JSON and runs the test
// in a synctest bubble.
func runScheduler(t *testing.T, view string, test func(r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		r := &harness{
			t:        t,
			views:    &fakeViews{updates: make(chan *wire.View)},
			logLines: memory.New(),
			registry: prometheus.NewRegistry(),
		}
		p, e := policy.New(policy.Fair)
		if e != nil {
			t.Fatal(e)
		}
		m := &wire.Member{}
		m.SetId("sched-1")
		l := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			if r.onLog != nil {
				r.onLog(e)
			}
			return r.logLines.HandleLog(e)
		})}
		r.scheduler = sched.New(c, m, p, r.views, r, r, l, r.registry)
		r.applyView(view)
		test(r)
		g()
		synctest.Wait()
	})
}

// applyView publishes a view given in JSON.
func (r *harness) applyView(text string) {
	r.t.Helper()
	v := &wire.View{}
	e := protojson.Unmarshal([]byte(text), v)
	if e != nil {
		r.t.Fatal(e)
	}
	r.views.latest = v
	r.views.updates <- v
	synctest.Wait()
}

// Call implements trail.Caller for the backend servers.
func (r *harness) Call(ctx context.Context, address string, request *wire.Call) (trail.Replies, error) {
	if strings.HasPrefix(address, "refused") {
		return nil, trail.NewError("backend-refused", trail.NotRun, "connection refused")
	}
	a := &fakeAttempt{harness: r, ctx: ctx, address: address, request: request, replies: make(chan any, 1000)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
	if r.generate != nil {
		go r.generate(a)
	}
	return a, nil
}

// Fetch implements trail.Metrics.
func (r *harness) Fetch(context.Context, string) (io.ReadCloser, error) {
	if e := r.fetchError.Load(); e != nil {
		return nil, *e
	}
	m, _ := r.metrics.Load().(string)
	return io.NopCloser(strings.NewReader(m)), nil
}

func (a *fakeAttempt) Recv() (*wire.Reply, error) {
	select {
	case m := <-a.replies:
		return a.replyOrError(m)
	default:
	}
	if a.harness.generate != nil {
		// Replies continue to arrive after a cancellation.
		return a.replyOrError(<-a.replies)
	}
	select {
	case m := <-a.replies:
		return a.replyOrError(m)
	case <-a.ctx.Done():
		return nil, a.ctx.Err()
	}
}

func (a *fakeAttempt) replyOrError(value any) (*wire.Reply, error) {
	if value == nil {
		return nil, io.EOF
	}
	if e, k := value.(error); k {
		return nil, e
	}
	return value.(*wire.Reply), nil
}

func (a *fakeAttempt) Close() error { return nil }

func (a *fakeAttempt) cancelled() bool { return a.ctx.Err() != nil }

func (a *fakeAttempt) sendHead(status int32, headers ...*wire.Header) {
	a.replies <- wire.Reply_builder{
		AttemptId: proto.String(a.request.GetAttemptId()),
		Head:      wire.Head_builder{Status: &status, Headers: headers}.Build(),
	}.Build()
}

func (a *fakeAttempt) sendData(text string) {
	a.sendFrame(a.request.GetAttemptId(), a.bytesSent, text)
	a.bytesSent += int64(len(text))
}

func (a *fakeAttempt) sendFrame(id string, offset int64, text string) {
	a.replies <- wire.Reply_builder{
		AttemptId: &id,
		Data:      wire.Data_builder{Offset: &offset, Chunk: []byte(text)}.Build(),
	}.Build()
}

func (a *fakeAttempt) sendEnd(end *wire.End) {
	a.replies <- wire.Reply_builder{AttemptId: proto.String(a.request.GetAttemptId()), End: end}.Build()
	synctest.Wait()
}

// sendAnswer sends a complete answer.
func (a *fakeAttempt) sendAnswer(text string) {
	a.sendHead(200)
	a.sendData(text)
	a.sendEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
}

func (a *fakeAttempt) sendCrash() {
	a.sendEnd(wire.End_builder{
		Verdict: wire.Verdict_VERDICT_MAY_HAVE_RUN.Enum(),
		Code:    proto.String("backend-lost"),
		Crashed: proto.Bool(true),
	}.Build())
}

// requester records the replies to one call.
type requester struct {
	replies   trail.Replies
	cancel    context.CancelFunc
	headCount int
	body      string
	faults    []string
	outcome   *wire.End
}

// call starts a call given in JSON.
func (r *harness) call(text string) *requester {
	r.t.Helper()
	q := &wire.Call{}
	e := protojson.Unmarshal([]byte(text), q)
	if e != nil {
		r.t.Fatal(e)
	}
	r.callCount++
	q.SetService(cmp.Or(q.GetService(), "lm"))
	q.SetAttemptId("entry." + string(rune('a'+r.callCount)))
	q.SetRequestId(q.GetAttemptId())
	c, f := context.WithCancel(r.t.Context())
	p, e := r.scheduler.Call(c, q)
	if e != nil {
		r.t.Fatal(e)
	}
	s := &requester{replies: p, cancel: f}
	go s.receive(q.GetAttemptId())
	synctest.Wait()
	return s
}

func (s *requester) receive(id string) {
	for {
		m, e := s.replies.Recv()
		if e != nil {
			return
		}
		if m.GetAttemptId() != id {
			s.faults = append(s.faults, "reply of attempt "+m.GetAttemptId())
		}
		switch m.WhichPart() {
		case wire.Reply_Head_case:
			s.headCount++
		case wire.Reply_Data_case:
			if m.GetData().GetOffset() != int64(len(s.body)) {
				s.faults = append(s.faults, "offset")
			}
			s.body += string(m.GetData().GetChunk())
		case wire.Reply_End_case:
			s.outcome = m.GetEnd()
		}
	}
}

// String returns the replies received, on one line.
func (s *requester) String() string {
	l := []string{"body=" + s.body}
	if s.headCount > 1 {
		l = append(l, "heads repeat")
	}
	l = append(l, s.faults...)
	if o := s.outcome; o != nil {
		v := strings.ToLower(strings.TrimPrefix(o.GetVerdict().String(), "VERDICT_"))
		l = append(l, "end="+v)
		if o.GetCode() != "" {
			l = append(l, "code="+o.GetCode())
		}
	}
	return strings.Join(l, " ")
}

// inFlight returns the address and the caller of each attempt in flight.
func (r *harness) inFlight() []string {
	l := []string{}
	for _, a := range r.attempts {
		if !a.cancelled() {
			l = append(l, a.address+" "+a.request.GetCaller())
		}
	}
	slices.Sort(l)
	return l
}

// counterValue returns the value of a counter for a reason.
func (r *harness) counterValue(name, reason string) int {
	r.t.Helper()
	l, e := r.registry.Gather()
	if e != nil {
		r.t.Fatal(e)
	}
	n := 0
	for _, f := range l {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, p := range m.GetLabel() {
				if p.GetName() == "reason" && p.GetValue() == reason {
					n += int(m.GetCounter().GetValue())
				}
			}
		}
	}
	return n
}

// fieldNames returns the sorted field names of a log line.
func fieldNames(e *log.Entry) string {
	l := e.Fields.Names()
	slices.Sort(l)
	return fmt.Sprint(l)
}
