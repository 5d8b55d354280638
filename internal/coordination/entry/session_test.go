package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/coordination/entry"
	"bulrushtrail.example/trail/internal/coordination/route"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// sched is a scheduler that answers each call by the next line of its script.
type sched struct {
	t      *transcript
	script []string
	// Lets the step "wait" pass.
	proceed chan struct{}
}

func (s *sched) serve(c context.Context, n *frame.Stream, o *wire.Open, _ *wire.Hello) {
	switch {
	case o.HasReport():
		l := wire.ServiceLoad_builder{Runners: new(int32(4)), FreeOnlineSlots: new(int32(8))}
		r := &wire.Report{}
		r.SetMemberId("sched-1")
		for _, v := range []string{"asistente", "pedidos"} {
			l.Service = &v
			r.SetServices(append(r.GetServices(), l.Build()))
		}
		_ = n.Send(r)
		_ = n.Recv(r)
	case o.HasDrain():
		_ = n.Send(wire.DrainReply_builder{Accepted: new(true)}.Build())
	case o.HasCall():
		s.call(c, n, o.GetCall())
	}
}

// call plays one line of the script: steps joined by " + ".
func (s *sched) call(c context.Context, n *frame.Stream, q *wire.Call) {
	s.t.printf("runs: %s %s %q once=%v stream=%v cost=%d prefixes=%d headers=%v", q.GetMethod(), q.GetPath(), q.GetBody(),
		q.GetNonIdempotent(), q.GetStream(), q.GetCostTokens(), len(q.GetPrefixHashes()), names(q.GetHeaders()))
	l := s.script[0]
	s.script = s.script[1:]
	o := int64(0)
	for w := range strings.SplitSeq(l, " + ") {
		k, v, _ := strings.Cut(w, " ")
		v = strings.NewReplacer(`\n`, "\n", `\r`, "\r").Replace(v)
		r := wire.Reply_builder{AttemptId: new(q.GetAttemptId())}.Build()
		switch k {
		case "head":
			h := wire.Header_builder{Name: new("Content-Type"), Values: []string{"application/json"}}
			f := strings.Fields(v)
			if len(f) > 1 {
				h.Values = f[1:]
			}
			var p int32
			_, _ = fmt.Sscan(v, &p)
			r.SetHead(wire.Head_builder{Status: &p, Headers: []*wire.Header{h.Build()}}.Build())
		case "data":
			r.SetData(wire.Data_builder{Offset: &o, Chunk: []byte(v)}.Build())
			o += int64(len(v))
		case "end":
			r.SetEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		case "refuse":
			r.SetEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_NOT_RUN.Enum(), Code: &v, Message: new("the queue is full"), RetryAfterMs: new(int64(300))}.Build())
		case "sleep":
			d, _ := time.ParseDuration(v)
			select {
			case <-time.After(d):
			case <-c.Done():
			}
			continue
		case "wait":
			<-s.proceed
			continue
		case "lose":
			return
		}
		_ = n.Send(r)
	}
	// The router closes its side when it has the end, or to cancel.
	if n.Recv(&wire.Reply{}) == io.EOF && !strings.HasSuffix(l, "end") && !strings.HasPrefix(l, "refuse") {
		s.t.later("cancelled: " + q.GetPath())
	}
}

func names(l []*wire.Header) []string {
	r := []string{}
	for _, h := range l {
		r = append(r, h.GetName())
	}
	return r
}

// transcript collects what happens.
type transcript struct {
	sync.Mutex
	b bytes.Buffer
	// Lines that stand at the end of a step, because they have no fixed order
	// to the others.
	rest string
}

func (t *transcript) later(line string) {
	t.Lock()
	defer t.Unlock()
	t.rest += line + "\n"
}

// settle ends a step.
func (t *transcript) settle() {
	synctest.Wait()
	t.Lock()
	defer t.Unlock()
	t.b.WriteString(t.rest)
	t.rest = ""
}

func (t *transcript) printf(text string, arguments ...any) {
	t.Lock()
	defer t.Unlock()
	fmt.Fprintf(&t.b, text+"\n", arguments...)
}

// HandleLog takes log lines.
func (t *transcript) HandleLog(e *log.Entry) error {
	l := e.Message
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		l += fmt.Sprintf(" %s=%v", k, e.Fields[k])
	}
	t.printf("log: %s", l)
	return nil
}

var uuids = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

func (t *transcript) text() string {
	t.Lock()
	defer t.Unlock()
	return uuids.ReplaceAllString(t.b.String(), "<uuid>")
}

// system is two entries over the same fakes and one scheduler.
type system struct {
	t       *transcript
	f       *faults
	store   *store
	bulk    *bulk
	sched   *sched
	entries []*entry.Entry
	// Requests in the background.
	work sync.WaitGroup
}

func newSystem(t *testing.T, c context.Context, script string) *system {
	n := &transcript{}
	f := &faults{modes: map[string]string{}}
	s := &system{
		t:     n,
		f:     f,
		store: &store{f: f, objects: map[string]object.Object{}},
		bulk:  &bulk{f: f, m: map[string][]byte{}},
		sched: &sched{t: n, proceed: make(chan struct{}), script: strings.Split(strings.TrimSpace(script), "\n")},
	}
	v := &wire.View{}
	b, e := os.ReadFile("testdata/view.json")
	if e != nil {
		t.Fatal(e)
	}
	e = object.New("", "", 0, b).Decode(v)
	if e != nil {
		t.Fatal(e)
	}
	l := s.logger()
	o := memnet.New()
	m := mesh.New(c, wire.Hello_builder{MemberId: new("sched-1")}.Build(), o, l)
	k := o.Listen("10.0.0.1:1")
	go func() { _ = m.Serve(c, k, s.sched.serve) }()
	h := &claims{f: f, held: map[string]*wire.ClaimEntry{}}
	a := &answers{f: f, known: map[string]*wire.Answer{}}
	for _, i := range []string{"entry-1", "entry-2"} {
		m := mesh.New(c, wire.Hello_builder{MemberId: &i}.Build(), o, l)
		r := route.New(c, i, "mx-centro-a", m, views{v}, l, prometheus.NewRegistry())
		x, e := entry.New(l, prometheus.NewRegistry(), entry.WithRoute(r, r.Loads), entry.WithClaims(h), entry.WithAnswers(a),
			entry.WithBulk(s.bulk), entry.WithStore(s.store), entry.WithViews(views{v}), entry.WithMesh(m), entry.WithCheck(check),
			entry.WithKeys(map[string]string{"key-ana": "ana", "key-luis": "luis"}, "secret"), entry.WithBodyBytes(1000))
		if e != nil {
			t.Fatal(e)
		}
		s.entries = append(s.entries, x)
	}
	synctest.Wait()
	return s
}

func (s *system) logger() *log.Logger { return &log.Logger{Handler: s.t, Level: log.InfoLevel} }

// shown are the response headers in the transcript.
var shown = []string{"Allow", "Content-Type", "X-Request-Id", "Bulrushtrail-Verdict", "Bulrushtrail-Stored", "Retry-After"}

// do sends one request to an entry and writes the answer to the transcript.
// longWait is the time from which a session shows how long an answer took.
const longWait = 5 * time.Second

func (s *system) do(n int, r *http.Request) {
	b := r.Method + " " + r.URL.String()
	w := httptest.NewRecorder()
	f := time.Now()
	defer func() {
		if p := recover(); p != nil {
			s.t.printf("<- %s: %v after %q", b, p, w.Body.String())
		}
	}()
	s.entries[n].ServeHTTP(w, r)
	t := fmt.Sprintf("<- %s: %d", b, w.Code)
	if d := time.Since(f); d >= longWait {
		t += " after " + d.String()
	}
	for _, k := range shown {
		if v := w.Header().Get(k); v != "" {
			t += "\n   " + k + ": " + v
		}
	}
	s.t.printf("%s\n%s", t, strings.TrimRight(w.Body.String(), "\n"))
}

// step runs one block: a fault, a pause, or a request with "@2" for the second
// entry, "&" for the background, and "gone" for a caller that goes away.
func (s *system) step(t *testing.T, c context.Context, text string) {
	h, b, _ := strings.Cut(strings.TrimSuffix(text, "\n"), "\n\n")
	l := strings.Split(strings.TrimSpace(h), "\n")
	f := strings.Fields(l[0])
	s.t.printf("\n-> %s", l[0])
	defer s.t.settle()
	switch f[0] {
	case "fault":
		s.f.set(f[1], f[2])
		return
	case "wait":
		s.work.Wait()
		return
	case "drain":
		s.t.later(fmt.Sprintf("drained: %v", s.entries[0].Drain(c)))
		return
	case "put":
		s.store.version++
		k, n, _ := strings.Cut(f[1], "/")
		s.store.objects[f[1]] = object.New(k, n, s.store.version, []byte(b))
		return
	case "segment":
		_, _ = s.bulk.Put(c, strings.NewReader(b))
		return
	}
	r, e := request(c, f[0], f[1], b)
	if e != nil {
		t.Fatal(e)
	}
	for _, k := range l[1:] {
		n, v, _ := strings.Cut(k, ": ")
		r.Header.Set(n, v)
	}
	if slices.Contains(f, "gone") {
		d, g := context.WithTimeout(c, 500*time.Millisecond)
		defer g()
		r = r.WithContext(d)
	}
	n := 0
	if slices.Contains(f, "@2") {
		n = 1
	}
	if !slices.Contains(f, "&") {
		s.do(n, r)
		return
	}
	s.work.Go(func() { s.do(n, r) })
}

func request(c context.Context, method, path, body string) (*http.Request, error) {
	k := "application/json"
	if method == "UPLOAD" {
		method = http.MethodPost
		w := &bytes.Buffer{}
		m := multipart.NewWriter(w)
		_ = m.WriteField("purpose", "batch")
		p, e := m.CreateFormFile("file", "input.jsonl")
		if e != nil {
			return nil, e
		}
		_, _ = io.WriteString(p, body)
		_ = m.Close()
		body, k = w.String(), m.FormDataContentType()
	}
	r, e := http.NewRequestWithContext(c, method, path, strings.NewReader(body))
	if e != nil {
		return nil, e
	}
	r.Header.Set("Content-Type", k)
	r.Header.Set("Authorization", "Bearer key-ana")
	r.Header.Set("Bulrushtrail-Operator-Key", "secret")
	return r, nil
}

// Guards the API as callers and operators see it.
func TestSessions(t *testing.T) {
	golden.Run(t, "testdata/*.txtar", func(t *testing.T, c context.Context, input ...string) string {
		s := newSystem(t, c, input[0])
		for k := range strings.SplitSeq(input[1], "==\n") {
			s.step(t, c, k)
		}
		s.work.Wait()
		return s.t.text()
	})
}
