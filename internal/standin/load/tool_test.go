package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/engine"
	"bulrushtrail.example/trail/internal/standin/load"
	"bulrushtrail.example/trail/internal/standin/plain"
)

// entry simulates a deployment with one handler over in-memory connections.
type entry struct {
	accept chan net.Conn
	// Input of the last job, and the number of its status polls.
	input []byte
	polls int
	// Requests refused so far.
	refusals int
}

func (s *entry) Accept() (net.Conn, error) {
	n, y := <-s.accept
	if !y {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (s *entry) Close() error   { return nil }
func (s *entry) Addr() net.Addr { return &net.TCPAddr{} }

func (s *entry) DialContext(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	s.accept <- b
	return a, nil
}

func (s *entry) handler(ctx context.Context) http.Handler {
	g := engine.New(ctx, engine.Model("fit-assistant"), engine.Timing(10*time.Millisecond, 0, 0))
	m := http.NewServeMux()
	m.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Authorization") {
		case "Bearer cut":
			panic(http.ErrAbortHandler)
		case "Bearer busy":
			s.refusals++
			w.WriteHeader(429)
			_, _ = io.WriteString(w, `{"error":{"code":"queue-full","verdict":"not-run","retry-after-ms":1000}}`)
		case "Bearer wrong":
			_, _ = io.WriteString(w, `{"choices":[{"message":{"content":"of another"}}]}`)
		default:
			g.ServeHTTP(w, r)
		}
	})
	m.Handle("/services/order-desk/", http.StripPrefix("/services/order-desk", plain.New()))
	m.HandleFunc("/v1/files", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		f, _, e := r.FormFile("file")
		if e != nil {
			panic(e)
		}
		s.input, _ = io.ReadAll(f)
		_, _ = io.WriteString(w, `{"id":"file-in"}`)
	})
	m.HandleFunc("POST /v1/batches", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"id":"batch-1","status":"in_progress"}`)
	})
	m.HandleFunc("GET /v1/batches/batch-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		s.polls++
		x := "in_progress"
		if s.polls == 3 {
			x = "completed"
		}
		_, _ = fmt.Fprintf(w, `{"id":"batch-1","status":%q,"output_file_id":"file-out","request_counts":{"completed":4,"failed":0}}`, x)
	})
	m.HandleFunc("GET /v1/files/file-out/content", s.output)
	return m
}

// output writes the results of the last job: item 1 with a wrong text, item 2
// twice, and none for item 3.
func (s *entry) output(w http.ResponseWriter, _ *http.Request) {
	n := json.NewDecoder(bytes.NewReader(s.input))
	for i := 0; n.More(); i++ {
		f := struct {
			CustomID string `json:"custom_id"`
			Body     json.RawMessage
		}{}
		e := n.Decode(&f)
		if e != nil {
			panic(e)
		}
		t, e := engine.Text(f.Body)
		if e != nil {
			panic(e)
		}
		x := fmt.Sprintf("{\"custom_id\":%q,\"response\":{\"body\":{\"choices\":[{\"message\":{\"content\":%q}}]}}}\n", f.CustomID, t)
		switch i {
		case 1:
			x = strings.Replace(x, t, "wrong", 1)
		case 2:
			x += x
		case 3:
			x = ""
		}
		_, _ = io.WriteString(w, x)
	}
}

// drive replays a trace and returns the report.
func drive(t *testing.T, s *entry, trace string, options ...func(*load.Tool)) map[string]any {
	t.Helper()
	c, f := context.WithCancel(t.Context())
	h := &http.Server{Handler: s.handler(c)}
	s.accept = make(chan net.Conn)
	go func() { _ = h.Serve(s) }()
	options = append(options, load.JSON(true), load.CheckText(true))
	var b bytes.Buffer
	e := load.New([]string{"10.0.0.1:80"}, s, &log.Logger{Handler: discard.New()}, options...).Run(c, strings.NewReader(trace), &b)
	if e != nil {
		t.Fatal(e)
	}
	close(s.accept)
	_ = h.Close()
	f()
	synctest.Wait()
	o := map[string]any{}
	e = json.Unmarshal(b.Bytes(), &o)
	if e != nil {
		t.Fatal(e)
	}
	return o
}

// pick returns values of the report by dotted paths.
func pick(o map[string]any, names ...string) []any {
	var l []any
	for _, n := range names {
		var v any = o
		for k := range strings.SplitSeq(n, ".") {
			v = v.(map[string]any)[k]
		}
		l = append(l, v)
	}
	return l
}

// Guards against coordinated omission: latency measured from a delayed actual
// start omits the queueing that a slow system causes.
func TestLatencyIsMeasuredFromPlannedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := `{"at-ms":0,"caller":"a","kind":"online","service":"fit-assistant","prompt":"x","answer-tokens":10,"stream":true}` + "\n"
		o := drive(t, &entry{}, x+x, load.MaxInFlight(1))
		l := pick(o, "online.answered", "online.first-token-ms.max", "online.between-tokens-ms.max", "online.total-ms.max", "online.between-tokens-ms.count")
		// The second one starts when the first has ended, after 100 ms.
		// Histograms keep three digits.
		w := []any{2.0, 110.0, 10.0, 200.0, 18.0}
		if d := cmp.Diff(w, l, cmp.Comparer(func(a, b float64) bool { return a-b < 0.2 && b-a < 0.2 })); d != "" {
			t.Fatal(d)
		}
	})
}

// A failure that is counted as an answer, or under a wrong code, hides a fault
// of the deployment.
func TestFailuresAreCountedByCodeAndVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		for _, n := range []string{"busy", "cut", "good", "wrong"} {
			fmt.Fprintf(&b, `{"at-ms":0,"caller":%q,"kind":"online","service":"fit-assistant","prompt":"x","answer-tokens":3}`+"\n", n)
		}
		b.WriteString(`{"at-ms":1,"caller":"good","kind":"service","service":"order-desk","method":"PUT","path":"/orders/7"}` + "\n")
		s := &entry{}
		o := drive(t, s, b.String(), load.MaxResends(2))
		l := pick(o, "online.sent", "online.answered", "online.attempts", "service.answered", "online.refused")
		w := []any{4.0, 1.0, 8.0, 1.0, []any{
			map[string]any{"code": "answer-wrong", "verdict": "ran", "count": 1.0},
			map[string]any{"code": "connection-lost", "verdict": "unknown", "count": 1.0},
			map[string]any{"code": "queue-full", "verdict": "not-run", "count": 1.0},
		}}
		if d := cmp.Diff(w, l); d != "" {
			t.Fatal(d)
		}
		if d := cmp.Diff(3, s.refusals); d != "" {
			t.Fatal(d)
		}
	})
}

// Items that are lost, duplicated or given another item's answer must appear in
// the report (P1, P4).
func TestBatchReportShowsLostDuplicatedAndWrongItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := drive(t, &entry{}, `{"at-ms":0,"caller":"studio","kind":"batch","service":"fit-assistant","items":4,"window":"15m","prompt-tokens":8,"answer-tokens":5}`)
		l := pick(o, "batch.jobs-ended", "batch.items-completed", "batch.items-missing", "batch.items-repeated", "batch.items-wrong", "batch.refused")
		if d := cmp.Diff([]any{1.0, 4.0, 1.0, 1.0, 1.0, []any{}}, l); d != "" {
			t.Fatal(d)
		}
		// Three polls of 1 s.
		r := pick(o, "batch.items-per-second")[0].(float64)
		if r < 1.3 || r > 4/3.0+0.01 {
			t.Fatalf("%f items a second", r)
		}
	})
}

// A trace that differs between runs with the same seed makes their results
// incomparable, and the tool rejects a trace that is out of order.
func TestGeneratedTraceIsReproducibleAndOrdered(t *testing.T) {
	for _, n := range []string{load.Coladores, load.Kowalchuk} {
		var a, b, x bytes.Buffer
		for w, s := range map[*bytes.Buffer]uint64{&a: 7, &b: 7, &x: 8} {
			e := load.Generate(w, n, s, 100*time.Second, 50)
			if e != nil {
				t.Fatal(e)
			}
		}
		if a.String() != b.String() || a.String() == x.String() {
			t.Fatal("the seed does not determine the trace")
		}
		k := map[string]int{}
		l := -1
		for d := json.NewDecoder(&a); d.More(); {
			f := struct {
				At   int `json:"at-ms"`
				Kind string
			}{}
			e := d.Decode(&f)
			if e != nil || f.At < l || f.At >= 100_000 {
				t.Fatal(e, f)
			}
			l = f.At
			k[f.Kind]++
		}
		// The mean is 5000; overlapping bursts reduce it.
		q := k["online"] + k["service"]
		if q < 4200 || q > 5400 || k["batch"] < 18 || k["service"] == 0 {
			t.Fatal(n, k)
		}
	}
}

// An invalid line must fail the run before any request is sent.
func TestInvalidTraceIsRejectedBeforeSending(t *testing.T) {
	for _, x := range []string{
		`{`, `{"caller":"a","kind":"online"}`, `{"caller":"a","service":"b","kind":"other"}`,
		`{"caller":"a","service":"b","kind":"batch"}`, `{"caller":"a","service":"b","kind":"service","method":"GET","path":"x"}`,
		`{"caller":"a","service":"b","kind":"online","at-ms":5}` + "\n" + `{"caller":"a","service":"b","kind":"online","at-ms":4}`,
	} {
		e := load.New([]string{"10.0.0.1:80"}, &entry{}, &log.Logger{Handler: discard.New()}).Run(t.Context(), strings.NewReader(x), io.Discard)
		if e == nil {
			t.Fatalf("%s was accepted", x)
		}
	}
}
