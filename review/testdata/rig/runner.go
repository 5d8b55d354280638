package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Requests that a runner processes at once, and waiting ones that it queues.
	runnerSlots = 8
	runnerQueue = 24
	runnerKV    = 147261
	// Interval at which a runner writes its entry.
	beatInterval = 1200 * time.Millisecond
)

// run is one run of a request at a runner.
type run struct {
	id, path, lastEvent string
	at                  time.Time
}

// runner is a stand-in of a model runner that streams events at a fixed pace.
type runner struct {
	rig     *rig
	id      string
	service string
	zone    string
	address string
	events  int
	pace    time.Duration
	born    int64
	slots   chan struct{}

	mu       sync.Mutex
	sequence int
	queued   int
	runs     []run
}

func (r *rig) addRunner(id, service, zone string, events int, pace time.Duration) *runner {
	g := &runner{rig: r, id: id, service: service, zone: zone, events: events, pace: pace, born: time.Now().UnixMilli(), slots: make(chan struct{}, runnerSlots)}
	g.address = r.serve("127.0.0.1", g)
	r.runners = append(r.runners, g)
	g.beat()
	go func() {
		for range time.Tick(beatInterval) {
			g.beat()
		}
	}()
	return g
}

// beat writes the runner's entry.
func (g *runner) beat() {
	g.mu.Lock()
	g.sequence++
	n := g.sequence
	g.mu.Unlock()
	g.rig.store.Put("servers", g.id, fmt.Sprintf(
		`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Sequence":%d,"born":%d}`,
		g.service, g.address, g.zone, runnerSlots, n, g.born))
}

func (g *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	i := q.Header.Get("X-Attempt-Id")
	if i != "" {
		w.Header().Set("X-Attempt-Id", i)
	}
	b, e := io.ReadAll(q.Body)
	if e != nil {
		return
	}
	x := q.Header.Get("X-Expect-Instance")
	switch {
	case x != "" && x != g.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case q.URL.Path == "/report":
		g.report(w)
	case q.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", g.id)
		w.WriteHeader(http.StatusOK)
	case i == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case !g.admit(q):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		g.stream(w, q, i, b)
		<-g.slots
	}
}

func (g *runner) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"QueueDepth":0,"Running":%d,"KvUsed":0,"KvTotal":%d,"Handles":0,"born":%d}`,
		len(g.slots), runnerKV, g.born)
}

// admit waits for a slot. It returns false if the queue is full or the caller has left.
func (g *runner) admit(q *http.Request) bool {
	g.mu.Lock()
	g.queued++
	f := g.queued > runnerQueue
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.queued--
		g.mu.Unlock()
	}()
	if f {
		return false
	}
	select {
	case g.slots <- struct{}{}:
		return true
	case <-q.Context().Done():
		return false
	}
}

func (g *runner) stream(w http.ResponseWriter, q *http.Request, id string, _ []byte) {
	l := q.Header.Get("Last-Event-Id")
	g.mu.Lock()
	g.runs = append(g.runs, run{id, q.URL.Path, l, time.Now()})
	g.mu.Unlock()
	g.note("runner %s: runs %s %s after event %q", g.id, id, q.URL.Path, l)
	w.Header().Set("X-Response-Signature", g.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	k := http.NewResponseController(w)
	n, _ := strconv.Atoi(l)
	for n++; n <= g.events; n++ {
		select {
		case <-time.After(g.pace):
		case <-q.Context().Done():
			g.note("runner %s: %s dropped before event %d", g.id, id, n)
			return
		}
		_, e := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		if e != nil || k.Flush() != nil {
			return
		}
	}
	g.note("runner %s: %s complete", g.id, id)
}

func eventData(id string, index int) string { return fmt.Sprintf("token %d of %s", index, id) }

// wholeOutput returns the output of a complete item.
func wholeOutput(id string, events int) string {
	l := make([]string, 0, events)
	for n := range events {
		l = append(l, eventData(id, n+1))
	}
	return strings.Join(l, "\n")
}

// note writes a line on a run to the record, unless there are too many.
func (g *runner) note(text string, arguments ...any) {
	if !g.rig.quiet {
		g.rig.note(text, arguments...)
	}
}
