//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Requests that wait at a backend server beside those that run.
	engineQueue = 24
	// Memory of a backend server in tokens. A larger request is rejected as if the
	// server were full.
	engineTokens = 147261
)

// engineBehaviour says how the backend servers of a case work.
type engineBehaviour struct {
	slots    int
	events   int
	interval time.Duration
	// Returns whether a request fails at each run; nil if none does.
	fails func(r *http.Request) bool
	// Added to the data of each event.
	text string
	// Returns the bytes that a faulty server sends in place of an event, after which it
	// breaks the answer off; nil for a sound answer. Nil if all servers are sound.
	spoil func(r *http.Request, event int) []byte
}

// engine is a backend server. It streams events, goes on after Last-Event-Id, and drops
// a request whose channel closes.
type engine struct {
	*record
	id        string
	behaviour engineBehaviour

	running, waiting, rejected, failed atomic.Int64
	slotsOnce                          sync.Once
	slots                              chan struct{}

	mu sync.Mutex
	// Last starts of the requests that ran, by id.
	starts map[string]time.Time
}

// ran returns whether a request ran.
func (g *engine) ran(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.starts[id].IsZero()
}

func (g *engine) markRun(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.starts == nil {
		g.starts = map[string]time.Time{}
	}
	g.starts[id] = time.Now()
}

// startsAfter returns how many requests that match were last started after a time.
func (g *engine) startsAfter(t time.Time, match func(id string) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for i, a := range g.starts {
		if match(i) && a.After(t) {
			n++
		}
	}
	return n
}

func (g *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.slotsOnce.Do(func() { g.slots = make(chan struct{}, g.behaviour.slots) })
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", g.id)
	case r.URL.Path == "/report":
		_, _ = fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":1,"QueueDepth":%d,"Running":%d,"KvUsed":0,"KvTotal":147261,"Handles":0}`,
			g.waiting.Load(), g.running.Load())
	default:
		g.serveRequest(w, r)
	}
}

func (g *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	i := r.Header.Get("X-Attempt-Id")
	_, e := io.ReadAll(r.Body)
	if e != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", i)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != g.id {
		w.Header().Set("X-Instance-Id", g.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if g.waiting.Add(1) > engineQueue || requestTokens(r) > engineTokens {
		g.waiting.Add(-1)
		g.rejected.Add(1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case g.slots <- struct{}{}:
		g.waiting.Add(-1)
	case <-r.Context().Done():
		g.waiting.Add(-1)
		return
	}
	g.running.Add(1)
	defer func() {
		g.running.Add(-1)
		<-g.slots
	}()
	g.markRun(i)
	if g.behaviour.fails != nil && g.behaviour.fails(r) {
		g.fail(w, r, i)
		return
	}
	g.stream(w, r, i)
}

// eventData returns the data of an event of a request.
func eventData(id string, event int) string { return fmt.Sprintf("part %d of %s", event, id) }

func (g *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	l := r.Header.Get("Last-Event-Id")
	g.add("server %s: runs %s after event %q", g.id, id, l)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", g.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	k := http.NewResponseController(w)
	n, _ := strconv.Atoi(l)
	for n++; n <= g.behaviour.events; n++ {
		select {
		case <-time.After(g.behaviour.interval):
		case <-r.Context().Done():
			g.add("server %s: %s dropped after event %d, its channel was closed", g.id, id, n-1)
			return
		}
		v := []byte(fmt.Sprintf("id: %d\ndata: %s%s\n\n", n, eventData(id, n), g.behaviour.text))
		var s []byte
		if g.behaviour.spoil != nil {
			s = g.behaviour.spoil(r, n)
		}
		if s != nil {
			v = s
		}
		_, e := w.Write(v)
		if e != nil || k.Flush() != nil {
			return
		}
		if s != nil {
			g.add("server %s: spoils event %d of %s with %q and breaks the answer off", g.id, n, id, s)
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	}
	g.add("server %s: %s complete", g.id, id)
}

// requestTokens returns the tokens of the prompt plus the maximum number of output
// tokens, as the request states them.
func requestTokens(r *http.Request) int {
	n := 0
	for _, v := range strings.Split(r.Header.Get("X-Token-Usage"), ",") {
		t, _ := strconv.Atoi(strings.TrimSpace(v))
		n += t
	}
	return n
}

// fail runs a request that fails, and answers 500.
func (g *engine) fail(w http.ResponseWriter, r *http.Request, id string) {
	g.add("server %s: runs %s", g.id, id)
	select {
	case <-time.After(failingRunTime):
	case <-r.Context().Done():
		g.add("server %s: %s dropped, its channel was closed", g.id, id)
		return
	}
	g.failed.Add(1)
	g.add("server %s: %s failed, answered with 500", g.id, id)
	w.Header().Set("X-Response-Signature", g.id+"."+id)
	w.WriteHeader(http.StatusInternalServerError)
}
