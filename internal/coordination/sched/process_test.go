package sched_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/coordination/sched"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/invoke"
	"bulrushtrail.example/trail/internal/transport/scrape"
)

// Time between the tokens of a runner. A batch answer takes longer than the tests
// need to preempt it, an online answer ends before the next fetch of metrics.
const tokenTime = 50 * time.Millisecond

// runner is a model engine whose tokens name its software version.
type runner struct {
	network *memnet.Network
	address string
	version string
	// Whether the metrics name the start of the process.
	namesStart bool
	start      time.Time
	server     *http.Server
}

// startProcess ends the process of the runner, if there is one, and starts the next
// one at the same address.
func (r *runner) startProcess(version string) {
	if r.server != nil {
		_ = r.server.Close()
		synctest.Wait()
	}
	r.version, r.start = version, time.Now()
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", r.metrics(r.start))
	m.HandleFunc("POST /", r.stream(version))
	r.server = &http.Server{Handler: m}
	go func(s *http.Server) { _ = s.Serve(r.network.Listen(r.address)) }(r.server)
	synctest.Wait()
}

func (r *runner) metrics(start time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "engine_requests_running 0")
		if r.namesStart {
			fmt.Fprintf(w, "process_start_time_seconds %f\n", float64(start.UnixMilli())/1000)
		}
	}
}

// stream answers with as many tokens as the request asks for.
func (r *runner) stream(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var b struct {
			Tokens int `json:"max_tokens"`
		}
		_ = json.NewDecoder(q.Body).Decode(&b)
		w.Header().Set("Content-Type", "text/event-stream")
		n, _ := strconv.Atoi(q.Header.Get("Resume-Offset"))
		for ; n < b.Tokens && q.Context().Err() == nil; n++ {
			time.Sleep(tokenTime)
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%s.%d \"}}]}\n\n", version, n)
			_ = http.NewResponseController(w).Flush()
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// runnerTest runs a scheduler with the runners a and b, one slot each.
type runnerTest struct {
	harness
	runners map[string]*runner
}

// runWithRunners starts runners and a scheduler in a synctest bubble.
func runWithRunners(t *testing.T, namesStart bool, test func(r *runnerTest)) {
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		n := memnet.New()
		r := &runnerTest{harness{t: t, views: &fakeViews{updates: make(chan *wire.View)}}, map[string]*runner{}}
		for _, a := range []string{"a", "b"} {
			r.runners[a] = &runner{network: n, address: a + ":1", namesStart: namesStart}
			r.runners[a].startProcess("v1")
		}
		p, e := policy.New(policy.RoundRobin)
		if e != nil {
			t.Fatal(e)
		}
		m := &wire.Member{}
		m.SetId("sched-1")
		l := &log.Logger{Handler: discard.New()}
		o := prometheus.NewRegistry()
		r.scheduler = sched.New(c, m, p, r.views, invoke.New(n, l, o), scrape.New(n), l, o)
		r.listRunners("v1", "v1")
		time.Sleep(1500 * time.Millisecond)
		test(r)
		g()
		for _, s := range r.runners {
			_ = s.server.Close()
		}
		time.Sleep(time.Minute)
	})
}

// listRunners publishes the host list with the given versions of a and b.
func (r *runnerTest) listRunners(versions ...string) {
	var l []string
	for i, n := range []string{"a", "b"} {
		l = append(l, fmt.Sprintf(`{"name":%q,"service":"lm","address":"%s:1","ready":true,"version":%q}`, n, n, versions[i]))
	}
	r.applyView(strings.ReplaceAll(viewWithHosts(strings.Join(l, ",")), `"slots":2`, `"slots":1`))
}

// stream starts a call for a stream.
func (r *runnerTest) stream(class string, tokens int) *requester {
	b, e := protojson.Marshal(wire.Call_builder{Body: fmt.Appendf(nil, `{"max_tokens":%d}`, tokens)}.Build())
	if e != nil {
		r.t.Fatal(e)
	}
	return r.call(fmt.Sprintf(`{"class":"CLASS_%s","stream":true,"method":"POST","path":"/v1/chat/completions","model":"lm",%s`, class, b[1:]))
}

// versions returns the versions that have sent tokens of an answer, in the order of
// their first tokens, and how it has ended.
func versions(call *requester) string {
	var l []string
	for _, v := range []string{"v1", "v2", "v3"} {
		if strings.Contains(call.body, v+".") {
			l = append(l, v)
		}
	}
	return strings.Join(l, " and ") + " " + call.outcome.GetVerdict().String() + call.outcome.GetCode()
}

// Guards against an answer that is joined from two software versions: a runner has
// started again under its name and address, and the host list names the process
// before. The preempted stream began there, or a free slot is there.
func TestPreemptedStreamIsJoinedByRunnerThatStartedAgain(t *testing.T) {
	for _, k := range []struct {
		name       string
		namesStart bool
		// Called before the batch stream starts at a, and before it is preempted.
		before, during func(r *runnerTest)
		want           string
	}{
		{"nothing has changed", true, nil, nil, "v1 VERDICT_RAN"},
		{"no runner names its start", false, nil, nil, "v1 VERDICT_RAN"},
		{"began at a process that is not listed", true, func(r *runnerTest) { r.runners["a"].startProcess("v2") }, nil, "v2 VERDICT_RAN"},
		{"free slot at a process that is not listed", true, nil, func(r *runnerTest) { r.runners["b"].startProcess("v2") }, "v1 VERDICT_RAN"},
		{"both, in the list too", true, func(r *runnerTest) {
			r.runners["a"].startProcess("v2")
			r.runners["b"].startProcess("v2")
			r.listRunners("v2", "v2")
		}, nil, "v2 VERDICT_RAN"},
	} {
		t.Run(k.name, func(t *testing.T) {
			runWithRunners(t, k.namesStart, func(r *runnerTest) {
				if k.before != nil {
					k.before(r)
				}
				x := r.stream("BATCH", 100)
				time.Sleep(2 * tokenTime)
				if k.during != nil {
					k.during(r)
				}
				r.stream("ONLINE", 1)
				r.stream("ONLINE", 3)
				time.Sleep(20 * time.Second)
				// What the receiver of the replies has written is read below.
				synctest.Wait()
				if d := cmp.Diff(k.want, versions(x)); d != "" {
					r.t.Error(d)
				}
			})
		})
	}
}

// Guards against a drain mark that is lost because its answer is the first one of its
// process, which ends what the process before has told.
func TestDrainMarkOfNewProcessHolds(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		r.metrics.Store("process_start_time_seconds 1\n")
		time.Sleep(1100 * time.Millisecond)
		r.call(`{"caller":"batch","class":"CLASS_BATCH","stream":true}`)
		a := r.attempts[0]
		h := wire.Header_builder{Name: proto.String("Draining"), Values: []string{"true"}}.Build()
		a.replies <- wire.Reply_builder{
			AttemptId: proto.String(a.request.GetAttemptId()),
			Head:      wire.Head_builder{Status: proto.Int32(200), Headers: []*wire.Header{h}, ProcessStartUnixMs: proto.Int64(2000)}.Build(),
		}.Build()
		synctest.Wait()
		checkEqual(t, "body= end=not_run code=no-backend-server", r.call(`{"caller":"shop"}`).String())
	})
}
