package jobs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/jobs"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// fixture is a platform with the job "j1" and its input.
type fixture struct {
	t        *testing.T
	ctx      context.Context
	platform *platform
	caller   *caller
}

// run runs a test with a job of the given number of items and a deadline in one
// hour.
func run(t *testing.T, items int, test func(w *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		w := &fixture{t: t, ctx: c, platform: newPlatform(), caller: &caller{delay: 100 * time.Millisecond, answerSize: 10}}
		w.submit(items)
		test(w)
		g()
		// Let delayed writes take effect.
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// submit creates the job "j1" and its input of two segments.
func (w *fixture) submit(items int) {
	var b bytes.Buffer
	for i := range items {
		fmt.Fprintf(&b, `{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions","body":"i%d"}`+"\n", i, i)
	}
	f := &wire.File{}
	f.SetId("f1")
	d := b.Bytes()
	for _, x := range [][]byte{d[:len(d)/2], d[len(d)/2:]} {
		g, _ := bulk{&client{platform: w.platform}}.Put(w.ctx, bytes.NewReader(x))
		f.SetSegments(append(f.GetSegments(), g))
	}
	w.create("files", "f1", f)
	j := &wire.Job{}
	j.SetId("j1")
	j.SetCaller("coladores")
	j.SetService("asistente-lm")
	j.SetInputFileId("f1")
	j.SetItems(int32(items))
	j.SetState(wire.JobState_JOB_STATE_IN_PROGRESS)
	j.SetDeadlineUnix(time.Now().Add(time.Hour).Unix())
	w.create("jobs", "j1", j)
}

func (w *fixture) create(kind, name string, message proto.Message) {
	o, e := object.Encode(kind, name, 0, message)
	if e != nil {
		w.t.Fatal(e)
	}
	_, e = w.platform.write("", o)
	if e != nil {
		w.t.Fatal(e)
	}
}

// start runs the jobs of a scheduler.
func (w *fixture) start(id string, views *views, chooseFault func(string) fault) (*jobs.Jobs, context.CancelFunc) {
	c, g := context.WithCancel(w.ctx)
	s := &client{w.platform, id, chooseFault}
	return jobs.New(c, id, s, bulk{s}, w.caller, views, &log.Logger{Handler: discard.New()}, nil), g
}

// job returns the job as stored on the platform.
func (w *fixture) job() *wire.Job {
	o, e := (&client{platform: w.platform}).Get(w.ctx, "jobs", "j1")
	if e != nil {
		w.t.Fatal(e)
	}
	j := &wire.Job{}
	_ = o.Decode(j)
	return j
}

// update changes the job in the way of an entry, by a conditional update.
func (w *fixture) update(change func(j *wire.Job)) {
	for {
		o, _ := (&client{platform: w.platform}).Get(w.ctx, "jobs", "j1")
		j := &wire.Job{}
		_ = o.Decode(j)
		h := proto.CloneOf(j)
		change(j)
		if proto.Equal(h, j) {
			return
		}
		n, _ := object.Encode("jobs", "j1", o.Version(), j)
		_, e := w.platform.write("", n)
		if e == nil {
			return
		}
	}
}

type outputLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// results returns the committed result of each item as text. It fails when an
// item has two results or when the done bits don't match the results.
func (w *fixture) results() map[string]string {
	w.t.Helper()
	j := w.job()
	r := map[string]string{}
	for i, l := range [][]*wire.Segment{j.GetResults(), j.GetErrors()} {
		for _, g := range l {
			for b := range strings.Lines(w.platform.segmentText(g.GetId())) {
				var o outputLine
				e := json.Unmarshal([]byte(b), &o)
				if e != nil || r[o.CustomID] != "" {
					w.t.Fatalf("result not decodable or second for its item: %s", b)
				}
				s := fmt.Sprint([]string{"success", "failure"}[i])
				if o.Response != nil {
					s += fmt.Sprint(" ", o.Response.StatusCode)
				}
				if o.Error != nil {
					s += " " + o.Error.Code
				}
				r[o.CustomID] = s
			}
		}
	}
	n := 0
	for _, b := range j.GetDone() {
		for ; b != 0; b &= b - 1 {
			n++
		}
	}
	if n != len(r) {
		w.t.Fatalf("%d done bits and %d results", n, len(r))
	}
	return r
}

// resultCounts returns the number of items by result, and 1 for the state of the
// job.
func (w *fixture) resultCounts() map[string]int {
	w.t.Helper()
	n := map[string]int{strings.ToLower(w.job().GetState().String()[len("JOB_STATE_"):]): 1}
	for _, s := range w.results() {
		n[s]++
	}
	return n
}

func (w *fixture) expectCounts(want map[string]int) {
	w.t.Helper()
	if d := cmp.Diff(want, w.resultCounts()); d != "" {
		w.t.Fatal(d)
	}
}

// expectOwnerWrites fails when a scheduler changed a job that another one owned.
func (w *fixture) expectOwnerWrites() {
	w.t.Helper()
	for i, j := range w.platform.history {
		if x := w.platform.writers[i]; x != "" && x != j.GetOwner() {
			w.t.Fatalf("scheduler %s changed a job owned by %s", x, j.GetOwner())
		}
	}
}

// expectSingleCalls fails when more than one call was made for an item.
func (w *fixture) expectSingleCalls() {
	w.t.Helper()
	for d, n := range w.caller.calls {
		if n > 1 {
			w.t.Fatalf("item %s: %d calls, want 1", d, n)
		}
	}
}

// faultOn injects a fault into the nth operation of the given name, counted from
// 1.
func faultOn(operation string, nth int, injected fault) func(string) fault {
	return func(o string) fault {
		if o != operation {
			return noFault
		}
		nth--
		if nth == 0 {
			return injected
		}
		return noFault
	}
}

// Guards against a completed job without a result for each item or without its
// output files.
func TestJobCompletesWithOutputFiles(t *testing.T) {
	run(t, 100, func(w *fixture) {
		w.caller.answer = func(d string, _ int) (*wire.Head, *wire.End) {
			if d == "i7" {
				return head(400), end("", wire.Verdict_VERDICT_RAN)
			}
			return head(200), end("", wire.Verdict_VERDICT_RAN)
		}
		w.start("a", newViews("a"), nil)
		time.Sleep(time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 99, "failure 400": 1})
		w.expectSingleCalls()
		j := w.job()
		for _, d := range []string{j.GetOutputFileId(), j.GetErrorFileId()} {
			_, e := (&client{platform: w.platform}).Get(w.ctx, "files", d)
			if e != nil {
				w.t.Fatal(d, e)
			}
		}
		if d := cmp.Diff(int32(1), j.GetFailed()); d != "" {
			w.t.Fatal(d)
		}
	})
}

// Guards against a job that runs twice because the watch reports it again, also
// in a new list.
func TestReportedAgainRunsOnce(t *testing.T) {
	run(t, 1000, func(w *fixture) {
		w.start("a", newViews("a"), nil)
		for range 20 {
			time.Sleep(time.Second)
			w.platform.closeWatches()
		}
		time.Sleep(time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 1000})
		w.expectSingleCalls()
	})
}

// Guards against results that are lost or counted twice when the response to a
// commit is lost, whether the commit took effect, did not, or does so later.
func TestLostCommitResponseCountsOnce(t *testing.T) {
	for _, f := range []fault{requestLost, responseLost, appliedLate, requestRefused} {
		for n := 1; n <= 3; n++ {
			run(t, 200, func(w *fixture) {
				w.start("a", newViews("a"), faultOn("update jobs", n, f))
				time.Sleep(5 * time.Minute)
				w.expectCounts(map[string]int{"completed": 1, "success 200": 200})
				w.expectSingleCalls()
			})
		}
	}
}

// Guards against an owner that is paused during a commit and, when it resumes,
// changes the job although another scheduler has acquired it.
func TestPausedOwnerDoesNotWriteAfterTakeover(t *testing.T) {
	run(t, 50, func(w *fixture) {
		v := newViews("a")
		w.start("a", v, faultOn("update jobs", 2, clientPaused))
		time.Sleep(3 * time.Second)
		w.start("b", newViews("b"), nil)
		v.set("b")
		time.Sleep(5 * time.Minute)
		w.expectCounts(map[string]int{"completed": 1, "success 200": 50})
		w.expectOwnerWrites()
	})
}
