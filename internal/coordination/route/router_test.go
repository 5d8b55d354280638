package route_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/txtar"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/route"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

var update = flag.Bool("update", false, "write the golden files")

// sched is a scheduler that answers calls as its script says.
type sched struct {
	member *wire.Member
	report *wire.Report
	// What it does with each call; the last word holds for all later ones.
	does   []string
	accept chan net.Conn
	// Closed while it accepts no connection.
	down atomic.Bool
}

func (s *sched) Accept() (net.Conn, error) {
	n, b := <-s.accept
	if !b {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (s *sched) Close() error   { return nil }
func (s *sched) Addr() net.Addr { return &net.TCPAddr{} }

func (s *sched) serve(c context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
	if o.HasReport() {
		_ = n.Send(s.report)
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

type network map[string]*sched

func (n network) DialContext(c context.Context, _, address string) (net.Conn, error) {
	s := n[address]
	if s.down.Load() {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	select {
	case s.accept <- b:
		return a, nil
	case <-c.Done():
		return nil, c.Err()
	}
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
	n network
	r *route.Router
	m *prometheus.Registry
	w *bytes.Buffer
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
	s := &session{c: c, n: network{}, m: prometheus.NewRegistry(), w: &bytes.Buffer{}}
	l := &log.Logger{Handler: s, Level: log.InfoLevel}
	v := &wire.View{}
	for t := range strings.Lines(schedulers) {
		o := newSched(strings.Fields(t))
		s.n[o.member.GetPeerAddress()] = o
		v.SetMembers(append(v.GetMembers(), o.member))
		m := mesh.New(c, wire.Hello_builder{MemberId: strptr(o.member.GetId())}.Build(), s.n, l)
		go func() { _ = m.Serve(c, o, o.serve) }()
		context.AfterFunc(c, func() { close(o.accept) })
	}
	m := mesh.New(c, wire.Hello_builder{MemberId: strptr("entry-1")}.Build(), s.n, l)
	s.r = route.New(c, "entry-1", "mx-centro-a", m, views{v}, l, s.m)
	synctest.Wait()
	return s
}

// newSched reads: id data-centre runners free wait-ms script...
func newSched(f []string) *sched {
	a := f[0] + ":1"
	o := &sched{
		member: wire.Member_builder{Id: &f[0], Role: strptr("sched"), DataCentre: &f[1], PeerAddress: &a}.Build(),
		does:   f[5:],
		accept: make(chan net.Conn),
	}
	o.down.Store(f[5] == "down")
	l := wire.ServiceLoad_builder{Service: strptr("asistente")}.Build()
	l.SetRunners(int32(number(f[2])))
	l.SetFreeOnlineSlots(int32(number(f[3])))
	l.SetExpectedWaitMs(int64(number(f[4])))
	o.report = wire.Report_builder{MemberId: &f[0], Services: []*wire.ServiceLoad{l}}.Build()
	return o
}

func strptr(s string) *string { return &s }

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
	r := wire.Call_builder{RequestId: &f[0], AttemptId: strptr("attempt-" + f[0])}.Build()
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
	case "up":
		s.n[f[1]+":1"].down.Store(false)
		s.n[f[1]+":1"].does = f[2:]
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

// emptyPools drops the timers that yamux keeps in a sync.Pool. One that was
// made under another paused clock can't be used. The second collection takes
// what the first one left in the pool's victim cache.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// Guards the choice of scheduler and the rules by which a call is passed on:
// each file names the failure that it guards against.
func TestSessions(t *testing.T) {
	l, e := filepath.Glob("testdata/*.txtar")
	if e != nil || len(l) == 0 {
		t.Fatal("no sessions", e)
	}
	for _, p := range l {
		t.Run(filepath.Base(p), func(t *testing.T) {
			a, e := txtar.ParseFile(p)
			if e != nil {
				t.Fatal(e)
			}
			var b string
			emptyPools()
			synctest.Test(t, func(t *testing.T) {
				c, f := context.WithCancel(t.Context())
				s := newSession(c, string(a.Files[0].Data))
				for k := range strings.Lines(string(a.Files[1].Data)) {
					s.step(strings.Fields(k))
				}
				b = s.w.String() + s.dropped()
				f()
				synctest.Wait()
			})
			if *update {
				a.Files[2].Data = []byte(b)
				e = os.WriteFile(p, txtar.Format(a), 0o644)
				if e != nil {
					t.Fatal(e)
				}
			}
			if d := cmp.Diff(string(a.Files[2].Data), b); d != "" {
				t.Error(d)
			}
		})
	}
}
