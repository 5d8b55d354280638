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

// sched is a scheduler that answers each call with the next part of its script.
type sched struct {
	member *wire.Member
	report *wire.Report
	// One element for each call; the last one applies to all later calls.
	script []string
}

func (s *sched) serve(ctx context.Context, stream *frame.Stream, open *wire.Open, _ *wire.Hello) {
	if open.HasReport() {
		if s.script[0] != "mute" {
			_ = stream.Send(s.report)
		}
		_ = stream.Recv(&wire.Report{})
		return
	}
	w := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	s.answer(ctx, stream, w, open.GetCall().GetAttemptId())
}

// answer sends the replies of one element of a script: words joined by +.
func (s *sched) answer(ctx context.Context, stream *frame.Stream, script, attempt string) {
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
			<-ctx.Done()
			return
		case "lose":
			return
		}
		_ = stream.Send(r)
	}
	// Wait for the router to close the stream after it has received the end.
	_ = stream.Recv(&wire.Reply{})
}

// views implements trail.Views with a view that never changes.
type views struct{ view *wire.View }

func (v views) Latest() *wire.View { return v.view }

func (v views) Subscribe(ctx context.Context) <-chan *wire.View {
	k := make(chan *wire.View)
	context.AfterFunc(ctx, func() { close(k) })
	return k
}

// session connects a router to scripted schedulers and records a transcript.
type session struct {
	ctx     context.Context
	network *memnet.Network
	// By member id.
	scheds     map[string]*sched
	router     *route.Router
	registry   *prometheus.Registry
	transcript *bytes.Buffer
	logger     log.Interface
}

// HandleLog writes log entries to the transcript.
func (s *session) HandleLog(entry *log.Entry) error {
	fmt.Fprintf(s.transcript, "  %s", entry.Message)
	for _, k := range slices.Sorted(maps.Keys(entry.Fields)) {
		fmt.Fprintf(s.transcript, " %s=%v", k, entry.Fields[k])
	}
	fmt.Fprintln(s.transcript)
	return nil
}

func newSession(ctx context.Context, schedulers string) *session {
	s := &session{ctx: ctx, network: memnet.New(), scheds: map[string]*sched{}, registry: prometheus.NewRegistry(), transcript: &bytes.Buffer{}}
	s.logger = &log.Logger{Handler: s, Level: log.InfoLevel}
	v := &wire.View{}
	for t := range strings.Lines(schedulers) {
		o := newSched(strings.Fields(t))
		s.scheds[o.member.GetId()] = o
		v.SetMembers(append(v.GetMembers(), o.member))
		if o.script[0] != "down" {
			s.listen(o)
		}
	}
	m := mesh.New(ctx, wire.Hello_builder{MemberId: new("entry-1")}.Build(), s.network, s.logger)
	s.router = route.New(ctx, "entry-1", "mx-centro-a", m, views{v}, s.logger, s.registry)
	synctest.Wait()
	return s
}

func (s *session) listen(scheduler *sched) {
	m := mesh.New(s.ctx, wire.Hello_builder{MemberId: new(scheduler.member.GetId())}.Build(), s.network, s.logger)
	k := s.network.Listen(scheduler.member.GetPeerAddress())
	go func() { _ = m.Serve(s.ctx, k, scheduler.serve) }()
}

// newSched parses the fields id, data-centre, runners, free, wait, script. The
// value of wait is used for both the expected wait of online calls in
// milliseconds and the number of queued batch calls.
func newSched(fields []string) *sched {
	a := fields[0] + ":1"
	o := &sched{
		member: wire.Member_builder{Id: &fields[0], Role: new("sched"), DataCentre: &fields[1], PeerAddress: &a}.Build(),
		script: fields[5:],
	}
	l := wire.ServiceLoad_builder{Service: new("asistente")}.Build()
	l.SetRunners(int32(mustParseInt(fields[2])))
	l.SetFreeOnlineSlots(int32(mustParseInt(fields[3])))
	l.SetQueuedBatch(int32(mustParseInt(fields[4])))
	l.SetExpectedWaitMs(int64(mustParseInt(fields[4])))
	o.report = wire.Report_builder{MemberId: &fields[0], Services: []*wire.ServiceLoad{l}}.Build()
	return o
}

func mustParseInt(text string) int {
	n, e := strconv.Atoi(text)
	if e != nil {
		panic(e)
	}
	return n
}

// call runs the call of one line: a request id, then flags.
func (s *session) call(fields []string) {
	fmt.Fprintln(s.transcript, strings.Join(fields, " "))
	r := wire.Call_builder{RequestId: &fields[0], AttemptId: new("attempt-" + fields[0])}.Build()
	b := false
	for _, k := range fields[1:] {
		k, v, _ := strings.Cut(k, "=")
		switch k {
		case "prefix":
			r.SetPrefixHashes([]uint64{uint64(mustParseInt(v))})
		case "once":
			r.SetNonIdempotent(true)
		case "deadline-ms":
			r.SetDeadlineUnixMs(time.Now().UnixMilli() + int64(mustParseInt(v)))
		case "batch":
			r.SetClass(wire.Class_CLASS_BATCH)
		case "hold":
			b = true
		}
	}
	p, e := s.router.Call(s.ctx, "asistente", r)
	if e != nil {
		s.writeError(e)
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
			s.writeError(e)
			return
		case r.GetAttemptId() != "attempt-"+fields[0]:
			// After a retry, replies must still have the attempt id that the
			// caller set.
			fmt.Fprintf(s.transcript, "  reply of attempt %s\n", r.GetAttemptId())
		case r.HasHead():
			fmt.Fprintln(s.transcript, "  head")
		case r.HasData():
			fmt.Fprintf(s.transcript, "  data %s\n", r.GetData().GetChunk())
		case r.HasEnd():
			fmt.Fprintf(s.transcript, "  end %s %s\n", r.GetEnd().GetVerdict(), r.GetEnd().GetCode())
		}
	}
}

func (s *session) writeError(err error) {
	fmt.Fprintf(s.transcript, "  error %s %s: %s\n", trail.CodeOf(err), trail.VerdictOf(err), err)
}

// step runs one line of a session: a call, a sleep or a change to a scheduler.
func (s *session) step(fields []string) {
	switch fields[0] {
	case "sleep-ms":
		time.Sleep(time.Duration(mustParseInt(fields[1])) * time.Millisecond)
	case "silence":
		s.network.Blackhole(fields[1] + ":1")
	case "up":
		o := s.scheds[fields[1]]
		b := o.script[0] == "down"
		o.script = fields[2:]
		if b {
			s.listen(o)
		}
	case "warm-up":
		w := s.transcript
		s.transcript = &bytes.Buffer{}
		for i := range mustParseInt(fields[1]) {
			s.call([]string{"warm-" + strconv.Itoa(i)})
		}
		s.transcript = w
	default:
		s.call(fields)
	}
}

// dropped returns the counters of dropped replies.
func (s *session) dropped() string {
	l, _ := s.registry.Gather()
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

// A call must go to the right scheduler and be retried at another one only when
// that is safe. Each golden file begins with the failure that it guards against.
func TestSchedulerChoiceAndRetry(t *testing.T) {
	golden.Run(t, "testdata/*.txtar", func(_ *testing.T, c context.Context, input ...string) string {
		s := newSession(c, input[0])
		for k := range strings.Lines(input[1]) {
			s.step(strings.Fields(k))
		}
		return s.transcript.String() + s.dropped()
	})
}
