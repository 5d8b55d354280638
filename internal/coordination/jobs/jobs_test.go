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

// world is one job on a platform.
type world struct {
	t *testing.T
	c context.Context
	p *platform
	k *caller
}

// run runs f with a job of so many items that is due in an hour.
func run(t *testing.T, items int, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, g := context.WithCancel(t.Context())
		w := &world{t: t, c: c, p: newPlatform(), k: &caller{delay: 100 * time.Millisecond, size: 10}}
		w.submit(items)
		f(w)
		g()
		// Late writes of the faults land.
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// submit creates the job "j1" and its input of two segments.
func (w *world) submit(items int) {
	var b bytes.Buffer
	for i := range items {
		fmt.Fprintf(&b, `{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions","body":"i%d"}`+"\n", i, i)
	}
	f := &wire.File{}
	f.SetId("f1")
	d := b.Bytes()
	for _, x := range [][]byte{d[:len(d)/2], d[len(d)/2:]} {
		g, _ := bulk{&client{p: w.p}}.Put(w.c, bytes.NewReader(x))
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

func (w *world) create(kind, name string, m proto.Message) {
	o, e := object.Encode(kind, name, 0, m)
	if e != nil {
		w.t.Fatal(e)
	}
	_, e = w.p.write("", o)
	if e != nil {
		w.t.Fatal(e)
	}
}

// start runs a scheduler.
func (w *world) start(id string, v *views, f func(string) fault) (*jobs.Jobs, context.CancelFunc) {
	c, g := context.WithCancel(w.c)
	s := &client{w.p, id, f}
	return jobs.New(c, id, s, bulk{s}, w.k, v, &log.Logger{Handler: discard.New()}, nil), g
}

// job returns the job as the platform has it.
func (w *world) job() *wire.Job {
	o, e := (&client{p: w.p}).Get(w.c, "jobs", "j1")
	if e != nil {
		w.t.Fatal(e)
	}
	j := &wire.Job{}
	_ = o.Decode(j)
	return j
}

// set changes the job as an entry does.
func (w *world) set(f func(j *wire.Job)) {
	for {
		o, _ := (&client{p: w.p}).Get(w.c, "jobs", "j1")
		j := &wire.Job{}
		_ = o.Decode(j)
		h := proto.CloneOf(j)
		f(j)
		if proto.Equal(h, j) {
			return
		}
		n, _ := object.Encode("jobs", "j1", o.Version(), j)
		_, e := w.p.write("", n)
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

// results returns the committed result of each item in words, and fails when
// an item has two or when bits and results differ.
func (w *world) results() map[string]string {
	w.t.Helper()
	j := w.job()
	r := map[string]string{}
	for i, l := range [][]*wire.Segment{j.GetResults(), j.GetErrors()} {
		for _, g := range l {
			for b := range strings.Lines(w.p.text(g.GetId())) {
				var o outputLine
				e := json.Unmarshal([]byte(b), &o)
				if e != nil || r[o.CustomID] != "" {
					w.t.Fatalf("second or broken result: %s", b)
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
		w.t.Fatalf("%d bits and %d results", n, len(r))
	}
	return r
}

// count returns how many items have each result, and the state.
func (w *world) count() map[string]int {
	w.t.Helper()
	n := map[string]int{strings.ToLower(w.job().GetState().String()[len("JOB_STATE_"):]): 1}
	for _, s := range w.results() {
		n[s]++
	}
	return n
}

func (w *world) check(want map[string]int) {
	w.t.Helper()
	if d := cmp.Diff(want, w.count()); d != "" {
		w.t.Fatal(d)
	}
}

// ownersWrote fails when a scheduler changed a job that another one had taken.
func (w *world) ownersWrote() {
	w.t.Helper()
	for i, j := range w.p.history {
		if x := w.p.writers[i]; x != "" && x != j.GetOwner() {
			w.t.Fatalf("%s changed a job of %s", x, j.GetOwner())
		}
	}
}

// once fails when an item was called more than once.
func (w *world) once() {
	w.t.Helper()
	for d, n := range w.k.calls {
		if n > 1 {
			w.t.Fatalf("item %s was called %d times", d, n)
		}
	}
}

// on returns a chooser that gives a fault to the n-th operation of a name, n
// from 1.
func on(operation string, n int, f fault) func(string) fault {
	return func(o string) fault {
		if o != operation {
			return none
		}
		n--
		if n == 0 {
			return f
		}
		return none
	}
}

// A job must end with each item's result and with its output files.
func TestCompletes(t *testing.T) {
	run(t, 100, func(w *world) {
		w.k.answer = func(d string, _ int) (*wire.Head, *wire.End) {
			if d == "i7" {
				return head(400), end("", wire.Verdict_VERDICT_RAN)
			}
			return head(200), end("", wire.Verdict_VERDICT_RAN)
		}
		w.start("a", newViews("a"), nil)
		time.Sleep(time.Minute)
		w.check(map[string]int{"completed": 1, "success 200": 99, "failure 400": 1})
		w.once()
		j := w.job()
		for _, d := range []string{j.GetOutputFileId(), j.GetErrorFileId()} {
			_, e := (&client{p: w.p}).Get(w.c, "files", d)
			if e != nil {
				w.t.Fatal(d, e)
			}
		}
		if d := cmp.Diff(int32(1), j.GetFailed()); d != "" {
			w.t.Fatal(d)
		}
	})
}

// A job that the watch reports again, also in a new list, must not run twice.
func TestReportedAgain(t *testing.T) {
	run(t, 1000, func(w *world) {
		w.start("a", newViews("a"), nil)
		for range 20 {
			time.Sleep(time.Second)
			w.p.closeWatches()
		}
		time.Sleep(time.Minute)
		w.check(map[string]int{"completed": 1, "success 200": 1000})
		w.once()
	})
}

// A commit whose answer is lost must count once, whether it took effect, did
// not, or does so later.
func TestLostAnswer(t *testing.T) {
	for _, f := range []fault{lostBefore, lostAfter, landsLate, refused} {
		for n := 1; n <= 3; n++ {
			run(t, 200, func(w *world) {
				w.start("a", newViews("a"), on("update jobs", n, f))
				time.Sleep(5 * time.Minute)
				w.check(map[string]int{"completed": 1, "success 200": 200})
				w.once()
			})
		}
	}
}

// An owner that is paused in its commit and wakes after another one took the
// job must not change the job any more.
func TestPausedOwner(t *testing.T) {
	run(t, 50, func(w *world) {
		v := newViews("a")
		w.start("a", v, on("update jobs", 2, paused))
		time.Sleep(3 * time.Second)
		w.start("b", newViews("b"), nil)
		v.set("b")
		time.Sleep(5 * time.Minute)
		w.check(map[string]int{"completed": 1, "success 200": 50})
		w.ownersWrote()
	})
}
