package route_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/route"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// sched is a scheduler that answers calls as its script says.
type sched struct {
	member *wire.Member
	report *wire.Report
	// What it does with each call; the last word holds for all later ones.
	does []string
}

func (s *sched) serve(c context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
	if o.HasReport() {
		if s.does[0] != "mute" {
			_ = n.Send(s.report)
		}
		_ = n.Recv(&wire.Report{})
		return
	}
	w := s.does[0]
	if len(s.does) > 1 {
		s.does = s.does[1:]
	}
	s.answer(c, n, w, o.GetCall().GetAttemptId())
}

// answer sends replies: words joined by +.
func (s *sched) answer(c context.Context, n *frame.Stream, script, attempt string) {
	o := int64(0)
	for w := range strings.SplitSeq(script, "+") {
		r := wire.Reply_builder{AttemptId: &attempt}.Build()
		k, v, _ := strings.Cut(w, ":")
		switch k {
		case "head":
			r.SetHead(&wire.Head{})
		case "data":
			r.SetData(wire.Data_builder{Offset: &o, Chunk: []byte(v)}.Build())
			o += int64(len(v))
		case "again":
			r.SetData(wire.Data_builder{Chunk: []byte(v)}.Build())
		case "skip":
			p := o + 1
			r.SetData(wire.Data_builder{Offset: &p, Chunk: []byte(v)}.Build())
		case "other":
			r.SetAttemptId("other")
			r.SetData(wire.Data_builder{Offset: &o, Chunk: []byte(v)}.Build())
		case "end":
			r.SetEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		case "refuse":
			r.SetEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum(), Code: &v, Message: &v}.Build())
		case "wait":
			<-c.Done()
			return
		case "lose":
			return
		}
		_ = n.Send(r)
	}
	// The router closes its side when it has the end.
	_ = n.Recv(&wire.Reply{})
}

// views is a view that does not change.
type views struct{ v *wire.View }

func (v views) Latest() *wire.View { return v.v }

func (v views) Subscribe(c context.Context) <-chan *wire.View {
	k := make(chan *wire.View)
	context.AfterFunc(c, func() { close(k) })
	return k
}

// session is a network of schedulers and a router.
type session struct {
	c context.Context
	n *memnet.Network
	// By id.
	scheds map[string]*sched
	r      *route.Router
	m      *prometheus.Registry
	w      *bytes.Buffer
	l      log.Interface
}

// HandleLog writes the decisions to the transcript.
func (s *session) HandleLog(e *log.Entry) error {
	fmt.Fprintf(s.w, "  %s", e.Message)
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(s.w, " %s=%v", k, e.Fields[k])
	}
	fmt.Fprintln(s.w)
	return nil
}

func newSession(c context.Context, schedulers string) *session {
	s := &session{c: c, n: memnet.New(), scheds: map[string]*sched{}, m: prometheus.NewRegistry(), w: &bytes.Buffer{}}
	s.l = &log.Logger{Handler: s, Level: log.InfoLevel}
	v := &wire.View{}
	for t := range strings.Lines(schedulers) {
		o := newSched(strings.Fields(t))
		s.scheds[o.member.GetId()] = o
		v.SetMembers(append(v.GetMembers(), o.member))
		if o.does[0] != "down" {
			s.listen(o)
		}
	}
	m := mesh.New(c, wire.Hello_builder{MemberId: new("entry-1")}.Build(), s.n, s.l)
	s.r = route.New(c, "entry-1", "mx-centro-a", m, views{v}, s.l, s.m)
	synctest.Wait()
	return s
}

func (s *session) listen(o *sched) {
	m := mesh.New(s.c, wire.Hello_builder{MemberId: new(o.member.GetId())}.Build(), s.n, s.l)
	k := s.n.Listen(o.member.GetPeerAddress())
	go func() { _ = m.Serve(s.c, k, o.serve) }()
}

// newSched reads: id data-centre runners free wait script... The wait is that of
// online calls in milliseconds, and the queued batch calls.
func newSched(f []string) *sched {
	a := f[0] + ":1"
	o := &sched{
		member: wire.Member_builder{Id: &f[0], Role: new("sched"), DataCentre: &f[1], PeerAddress: &a}.Build(),
		does:   f[5:],
	}
	l := wire.ServiceLoad_builder{Service: new("asistente")}.Build()
	l.SetRunners(int32(number(f[2])))
	l.SetFreeOnlineSlots(int32(number(f[3])))
	l.SetQueuedBatch(int32(number(f[4])))
	l.SetExpectedWaitMs(int64(number(f[4])))
	o.report = wire.Report_builder{MemberId: &f[0], Services: []*wire.ServiceLoad{l}}.Build()
	return o
}

func number(s string) int {
	n, e := strconv.Atoi(s)
	if e != nil {
		panic(e)
	}
	return n
}

// call runs one line: request-id, then flags.
func (s *session) call(f []string) {
	fmt.Fprintln(s.w, strings.Join(f, " "))
	r := wire.Call_builder{RequestId: &f[0], AttemptId: new("attempt-" + f[0])}.Build()
	b := false
	for _, k := range f[1:] {
		k, v, _ := strings.Cut(k, "=")
		switch k {
		case "prefix":
			r.SetPrefixHashes([]uint64{uint64(number(v))})
		case "once":
			r.SetNonIdempotent(true)
		case "deadline-ms":
			r.SetDeadlineUnixMs(time.Now().UnixMilli() + int64(number(v)))
		case "batch":
			r.SetClass(wire.Class_CLASS_BATCH)
		case "hold":
			b = true
		}
	}
	p, e := s.r.Call(s.c, "asistente", r)
	if e != nil {
		s.failed(e)
		return
	}
	if b {
		return
	}
	defer p.Close()
	for {
		r, e := p.Recv()
		switch {
		case e == io.EOF:
			return
		case e != nil:
			s.failed(e)
			return
		case r.GetAttemptId() != "attempt-"+f[0]:
			// Replies to a call that was passed on name the caller's attempt.
			fmt.Fprintf(s.w, "  reply of attempt %s\n", r.GetAttemptId())
		case r.HasHead():
			fmt.Fprintln(s.w, "  head")
		case r.HasData():
			fmt.Fprintf(s.w, "  data %s\n", r.GetData().GetChunk())
		case r.HasEnd():
			fmt.Fprintf(s.w, "  end %s %s\n", r.GetEnd().GetVerdict(), r.GetEnd().GetCode())
		}
	}
}

func (s *session) failed(e error) {
	fmt.Fprintf(s.w, "  error %s %s: %s\n", trail.CodeOf(e), trail.VerdictOf(e), e)
}

// step runs one line of a session: a call, a pause or a change.
func (s *session) step(f []string) {
	switch f[0] {
	case "sleep-ms":
		time.Sleep(time.Duration(number(f[1])) * time.Millisecond)
	case "silence":
		s.n.Silence(f[1] + ":1")
	case "up":
		o := s.scheds[f[1]]
		b := o.does[0] == "down"
		o.does = f[2:]
		if b {
			s.listen(o)
		}
	case "warm-up":
		w := s.w
		s.w = &bytes.Buffer{}
		for i := range number(f[1]) {
			s.call([]string{"warm-" + strconv.Itoa(i)})
		}
		s.w = w
	default:
		s.call(f)
	}
}

// dropped returns the counts of dropped replies.
func (s *session) dropped() string {
	l, _ := s.m.Gather()
	b := &strings.Builder{}
	for _, f := range l {
		for _, m := range f.GetMetric() {
			if strings.Contains(f.GetName(), "dropped") {
				fmt.Fprintf(b, "dropped %s %v\n", m.GetLabel()[0].GetValue(), m.GetCounter().GetValue())
			}
		}
	}
	return b.String()
}

// Guards the choice of scheduler and the rules by which a call is passed on.
func TestSessions(t *testing.T) {
	golden.Run(t, "testdata/*.txtar", func(_ *testing.T, c context.Context, input ...string) string {
		s := newSession(c, input[0])
		for k := range strings.Lines(input[1]) {
			s.step(strings.Fields(k))
		}
		return s.w.String() + s.dropped()
	})
}
