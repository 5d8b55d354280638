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

// rig is a scheduler with backend servers that the test plays.
type rig struct {
	t *testing.T
	s *sched.Sched
	v *views
	// Attempts that have reached a backend server, in order.
	attempts []*attempt
	// Guards attempts while calls run.
	m sync.Mutex
	// Plays each attempt when it is set; it closes the attempt's channel.
	generate func(a *attempt)
	// Called by the task for each line when it is set.
	logged func(e *log.Entry)
	// Text of GET /metrics.
	metrics atomic.Value
	lines   *memory.Handler
	r       *prometheus.Registry
	next    int
}

// attempt is one call at a backend server.
type attempt struct {
	r       *rig
	c       context.Context
	address string
	q       *wire.Call
	out     chan any
	// Bytes of the body sent.
	sent int64
}

// views holds one subscriber.
type views struct {
	v   *wire.View
	out chan *wire.View
}

func (v *views) Latest() *wire.View { return v.v }

func (v *views) Subscribe(context.Context) <-chan *wire.View { return v.out }

// run starts a scheduler with the view in JSON, and runs f in the bubble.
func run(t *testing.T, view string, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		r := &rig{
			t:     t,
			v:     &views{out: make(chan *wire.View)},
			lines: memory.New(),
			r:     prometheus.NewRegistry(),
		}
		p, e := policy.New(policy.Fair)
		if e != nil {
			t.Fatal(e)
		}
		m := &wire.Member{}
		m.SetId("sched-1")
		l := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			if r.logged != nil {
				r.logged(e)
			}
			return r.lines.HandleLog(e)
		})}
		r.s = sched.New(c, m, p, r.v, r, r, l, r.r)
		r.view(view)
		f(r)
		g()
		synctest.Wait()
	})
}

// view puts a view in force.
func (r *rig) view(text string) {
	r.t.Helper()
	v := &wire.View{}
	e := protojson.Unmarshal([]byte(text), v)
	if e != nil {
		r.t.Fatal(e)
	}
	r.v.v = v
	r.v.out <- v
	synctest.Wait()
}

// Call implements trail.Caller for the backend servers.
func (r *rig) Call(c context.Context, address string, q *wire.Call) (trail.Replies, error) {
	if strings.HasPrefix(address, "refused") {
		return nil, trail.NewError("backend-refused", trail.NotRun, "connection refused")
	}
	a := &attempt{r: r, c: c, address: address, q: q, out: make(chan any, 1000)}
	r.m.Lock()
	defer r.m.Unlock()
	r.attempts = append(r.attempts, a)
	if r.generate != nil {
		go r.generate(a)
	}
	return a, nil
}

// Fetch implements trail.Metrics.
func (r *rig) Fetch(context.Context, string) (io.ReadCloser, error) {
	m, _ := r.metrics.Load().(string)
	return io.NopCloser(strings.NewReader(m)), nil
}

func (a *attempt) Recv() (*wire.Reply, error) {
	select {
	case m := <-a.out:
		return a.reply(m)
	default:
	}
	if a.r.generate != nil {
		// Replies go on arriving after a cancellation.
		return a.reply(<-a.out)
	}
	select {
	case m := <-a.out:
		return a.reply(m)
	case <-a.c.Done():
		return nil, a.c.Err()
	}
}

func (a *attempt) reply(m any) (*wire.Reply, error) {
	if m == nil {
		return nil, io.EOF
	}
	if e, k := m.(error); k {
		return nil, e
	}
	return m.(*wire.Reply), nil
}

func (a *attempt) Close() error { return nil }

func (a *attempt) cancelled() bool { return a.c.Err() != nil }

func (a *attempt) head(status int32, h ...*wire.Header) {
	a.out <- wire.Reply_builder{
		AttemptId: proto.String(a.q.GetAttemptId()),
		Head:      wire.Head_builder{Status: &status, Headers: h}.Build(),
	}.Build()
}

func (a *attempt) data(text string) {
	a.frame(a.q.GetAttemptId(), a.sent, text)
	a.sent += int64(len(text))
}

func (a *attempt) frame(id string, offset int64, text string) {
	a.out <- wire.Reply_builder{
		AttemptId: &id,
		Data:      wire.Data_builder{Offset: &offset, Chunk: []byte(text)}.Build(),
	}.Build()
}

func (a *attempt) end(e *wire.End) {
	a.out <- wire.Reply_builder{AttemptId: proto.String(a.q.GetAttemptId()), End: e}.Build()
	synctest.Wait()
}

// answer sends a complete answer.
func (a *attempt) answer(text string) {
	a.head(200)
	a.data(text)
	a.end(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
}

func (a *attempt) crash() {
	a.end(wire.End_builder{
		Verdict: wire.Verdict_VERDICT_MAY_HAVE_RUN.Enum(),
		Code:    proto.String("backend-lost"),
		Crashed: proto.Bool(true),
	}.Build())
}

// requester is the requester of one call.
type requester struct {
	p       trail.Replies
	cancel  context.CancelFunc
	heads   int
	body    string
	faults  []string
	outcome *wire.End
}

// call starts a call given in JSON.
func (r *rig) call(text string) *requester {
	r.t.Helper()
	q := &wire.Call{}
	e := protojson.Unmarshal([]byte(text), q)
	if e != nil {
		r.t.Fatal(e)
	}
	r.next++
	q.SetService(cmp.Or(q.GetService(), "lm"))
	q.SetAttemptId("entry." + string(rune('a'+r.next)))
	q.SetRequestId(q.GetAttemptId())
	c, f := context.WithCancel(r.t.Context())
	p, e := r.s.Call(c, q)
	if e != nil {
		r.t.Fatal(e)
	}
	s := &requester{p: p, cancel: f}
	go s.receive(q.GetAttemptId())
	synctest.Wait()
	return s
}

func (s *requester) receive(id string) {
	for {
		m, e := s.p.Recv()
		if e != nil {
			return
		}
		if m.GetAttemptId() != id {
			s.faults = append(s.faults, "reply of attempt "+m.GetAttemptId())
		}
		switch m.WhichPart() {
		case wire.Reply_Head_case:
			s.heads++
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

// String returns what the requester has, as one line.
func (s *requester) String() string {
	l := []string{"body=" + s.body}
	if s.heads > 1 {
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

// live returns the addresses of the attempts in flight with their callers.
func (r *rig) live() []string {
	l := []string{}
	for _, a := range r.attempts {
		if !a.cancelled() {
			l = append(l, a.address+" "+a.q.GetCaller())
		}
	}
	slices.Sort(l)
	return l
}

// count returns a counter's value.
func (r *rig) count(name, reason string) int {
	r.t.Helper()
	l, e := r.r.Gather()
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

// fieldNames returns the sorted names of a line's fields.
func fieldNames(e *log.Entry) string {
	l := e.Fields.Names()
	slices.Sort(l)
	return fmt.Sprint(l)
}
