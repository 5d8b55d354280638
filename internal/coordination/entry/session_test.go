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

// fakeScheduler is a scheduler that replies to each call as the next line of its
// script says.
type fakeScheduler struct {
	transcript *transcript
	script     []string
	// Receives a value when the script may continue after the step "wait".
	proceed chan struct{}
}

func (s *fakeScheduler) serve(ctx context.Context, stream *frame.Stream, open *wire.Open, _ *wire.Hello) {
	switch {
	case open.HasReport():
		l := wire.ServiceLoad_builder{Runners: new(int32(4)), FreeOnlineSlots: new(int32(8))}
		r := &wire.Report{}
		r.SetMemberId("sched-1")
		for _, v := range []string{"asistente", "pedidos"} {
			l.Service = &v
			r.SetServices(append(r.GetServices(), l.Build()))
		}
		_ = stream.Send(r)
		_ = stream.Recv(r)
	case open.HasDrain():
		_ = stream.Send(wire.DrainReply_builder{Accepted: new(true)}.Build())
	case open.HasCall():
		s.playScript(ctx, stream, open.GetCall())
	}
}

// playScript executes one line of the script, whose steps are joined by " + ".
func (s *fakeScheduler) playScript(ctx context.Context, stream *frame.Stream, call *wire.Call) {
	s.transcript.printf("runs: %s %s %q once=%v stream=%v cost=%d prefixes=%d headers=%v", call.GetMethod(), call.GetPath(), call.GetBody(),
		call.GetNonIdempotent(), call.GetStream(), call.GetCostTokens(), len(call.GetPrefixHashes()), headerNames(call.GetHeaders()))
	l := s.script[0]
	s.script = s.script[1:]
	o := int64(0)
	for w := range strings.SplitSeq(l, " + ") {
		k, v, _ := strings.Cut(w, " ")
		v = strings.NewReplacer(`\n`, "\n", `\r`, "\r").Replace(v)
		r := wire.Reply_builder{AttemptId: new(call.GetAttemptId())}.Build()
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
			case <-ctx.Done():
			}
			continue
		case "wait":
			<-s.proceed
			continue
		case "lose":
			return
		}
		_ = stream.Send(r)
	}
	// The router closes its side after the end of the replies, or to cancel the
	// call.
	if stream.Recv(&wire.Reply{}) == io.EOF && !strings.HasSuffix(l, "end") && !strings.HasPrefix(l, "refuse") {
		s.transcript.addAtStepEnd("cancelled: " + call.GetPath())
	}
}

func headerNames(headers []*wire.Header) []string {
	r := []string{}
	for _, h := range headers {
		r = append(r, h.GetName())
	}
	return r
}

// transcript collects requests, responses and log lines, to be compared with the
// golden file.
type transcript struct {
	sync.Mutex
	buffer bytes.Buffer
	// Lines that are written at the end of a step, because their order relative
	// to the other lines varies.
	stepEndLines string
}

func (t *transcript) addAtStepEnd(line string) {
	t.Lock()
	defer t.Unlock()
	t.stepEndLines += line + "\n"
}

// endStep waits until all goroutines are idle and writes the lines that belong at
// the end of the step.
func (t *transcript) endStep() {
	synctest.Wait()
	t.Lock()
	defer t.Unlock()
	t.buffer.WriteString(t.stepEndLines)
	t.stepEndLines = ""
}

func (t *transcript) printf(format string, args ...any) {
	t.Lock()
	defer t.Unlock()
	fmt.Fprintf(&t.buffer, format+"\n", args...)
}

// HandleLog implements log.Handler.
func (t *transcript) HandleLog(entry *log.Entry) error {
	l := entry.Message
	for _, k := range slices.Sorted(maps.Keys(entry.Fields)) {
		l += fmt.Sprintf(" %s=%v", k, entry.Fields[k])
	}
	t.printf("log: %s", l)
	return nil
}

var uuids = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

func (t *transcript) redactedText() string {
	t.Lock()
	defer t.Unlock()
	return uuids.ReplaceAllString(t.buffer.String(), "<uuid>")
}

// system consists of two entries that share one scheduler and all fakes.
type system struct {
	transcript *transcript
	faults     *faults
	store      *fakeStore
	bulk       *fakeBulk
	sched      *fakeScheduler
	entries    []*entry.Entry
	// Requests that run in the background.
	background sync.WaitGroup
}

func newSystem(t *testing.T, ctx context.Context, script string) *system {
	n := &transcript{}
	f := &faults{modes: map[string]string{}}
	s := &system{
		transcript: n,
		faults:     f,
		store:      &fakeStore{faults: f, objects: map[string]object.Object{}},
		bulk:       &fakeBulk{faults: f, segments: map[string][]byte{}},
		sched:      &fakeScheduler{transcript: n, proceed: make(chan struct{}), script: strings.Split(strings.TrimSpace(script), "\n")},
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
	m := mesh.New(ctx, wire.Hello_builder{MemberId: new("sched-1")}.Build(), o, l)
	k := o.Listen("10.0.0.1:1")
	go func() { _ = m.Serve(ctx, k, s.sched.serve) }()
	h := &fakeClaims{faults: f, held: map[string]*wire.ClaimEntry{}}
	a := &fakeAnswers{faults: f, byRequest: map[string]*wire.Answer{}}
	for _, i := range []string{"entry-1", "entry-2"} {
		m := mesh.New(ctx, wire.Hello_builder{MemberId: &i}.Build(), o, l)
		r := route.New(ctx, i, "mx-centro-a", m, fixedViews{v}, l, prometheus.NewRegistry())
		x, e := entry.New(l, prometheus.NewRegistry(), entry.WithRouter(r, r.Loads), entry.WithClaims(h), entry.WithAnswers(a),
			entry.WithBulk(s.bulk), entry.WithStore(s.store), entry.WithViews(fixedViews{v}), entry.WithMesh(m), entry.WithTextParser(parseText),
			entry.WithKeys(map[string]string{"key-ana": "ana", "key-luis": "luis"}, "secret"), entry.WithMaxBodyBytes(1000))
		if e != nil {
			t.Fatal(e)
		}
		s.entries = append(s.entries, x)
	}
	synctest.Wait()
	return s
}

func (s *system) logger() *log.Logger {
	return &log.Logger{Handler: s.transcript, Level: log.InfoLevel}
}

// shownHeaders are the response headers that the transcript contains.
var shownHeaders = []string{"Allow", "Content-Type", "X-Request-Id", "Bulrushtrail-Verdict", "Bulrushtrail-Stored", "Retry-After"}

// longAnswerTime is the duration from which on the transcript says how long a
// response took.
const longAnswerTime = 5 * time.Second

// serveRequest sends one request to an entry and writes the response to the
// transcript.
func (s *system) serveRequest(index int, r *http.Request) {
	b := r.Method + " " + r.URL.String()
	w := httptest.NewRecorder()
	f := time.Now()
	defer func() {
		if p := recover(); p != nil {
			s.transcript.printf("<- %s: %v after %q", b, p, w.Body.String())
		}
	}()
	s.entries[index].ServeHTTP(w, r)
	t := fmt.Sprintf("<- %s: %d", b, w.Code)
	if d := time.Since(f); d >= longAnswerTime {
		t += " after " + d.String()
	}
	for _, k := range shownHeaders {
		if v := w.Header().Get(k); v != "" {
			t += "\n   " + k + ": " + v
		}
	}
	s.transcript.printf("%s\n%s", t, strings.TrimRight(w.Body.String(), "\n"))
}

// runStep runs one step: it sets a fault, waits, drains the first entry, stores
// an object or a segment, or sends a request. The options of a request are "@2"
// for the second entry, "&" to run it in the background, and "gone" for a caller
// that disconnects after 500 ms.
func (s *system) runStep(t *testing.T, ctx context.Context, text string) {
	h, b, _ := strings.Cut(strings.TrimSuffix(text, "\n"), "\n\n")
	l := strings.Split(strings.TrimSpace(h), "\n")
	f := strings.Fields(l[0])
	s.transcript.printf("\n-> %s", l[0])
	defer s.transcript.endStep()
	switch f[0] {
	case "fault":
		s.faults.set(f[1], f[2])
		return
	case "wait":
		s.background.Wait()
		return
	case "drain":
		s.transcript.addAtStepEnd(fmt.Sprintf("drained: %v", s.entries[0].Drain(ctx)))
		return
	case "put":
		s.store.version++
		k, n, _ := strings.Cut(f[1], "/")
		s.store.objects[f[1]] = object.New(k, n, s.store.version, []byte(b))
		return
	case "segment":
		_, _ = s.bulk.Put(ctx, strings.NewReader(b))
		return
	}
	r, e := newRequest(ctx, f[0], f[1], b)
	if e != nil {
		t.Fatal(e)
	}
	for _, k := range l[1:] {
		n, v, _ := strings.Cut(k, ": ")
		r.Header.Set(n, v)
	}
	if slices.Contains(f, "gone") {
		d, g := context.WithTimeout(ctx, 500*time.Millisecond)
		defer g()
		r = r.WithContext(d)
	}
	n := 0
	if slices.Contains(f, "@2") {
		n = 1
	}
	if !slices.Contains(f, "&") {
		s.serveRequest(n, r)
		return
	}
	s.background.Go(func() { s.serveRequest(n, r) })
}

func newRequest(ctx context.Context, method, path, body string) (*http.Request, error) {
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
	r, e := http.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if e != nil {
		return nil, e
	}
	r.Header.Set("Content-Type", k)
	r.Header.Set("Authorization", "Bearer key-ana")
	r.Header.Set("Bulrushtrail-Operator-Key", "secret")
	return r, nil
}

// Guards against changes of the API's responses to callers and operators, and
// of the log lines written meanwhile. The header of each golden file says which
// failure it guards against.
func TestAPIResponseDiffersFromGolden(t *testing.T) {
	golden.Run(t, "testdata/*.txtar", func(t *testing.T, c context.Context, input ...string) string {
		s := newSystem(t, c, input[0])
		for k := range strings.SplitSeq(input[1], "==\n") {
			s.runStep(t, c, k)
		}
		s.background.Wait()
		return s.transcript.redactedText()
	})
}
