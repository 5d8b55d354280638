//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Requests that wait at a backend server beside those that run.
	queueLength = 24
	// Time from the slot to the first event, and between events.
	firstEventTime = 40 * time.Millisecond
	eventInterval  = 20 * time.Millisecond
	eventsPerRun   = 22
	eventBytes     = 75
	// Part of the path of a request that crashes each server that begins to run it.
	crashMark = "/crash-"
	// Header of an item with the number of its events, which stands for its prompt.
	headerEvents = "X-Events"
)

// backend is a backend server: a model engine, or a plain service.
type backend struct {
	play    *play
	id      string
	service string
	zone    string
	engine  bool
	slots   chan struct{}
	waiting chan struct{}
	born    int64
	// Requests a second that it names, 0 for none.
	limit float64
	// Time between events of an item.
	interval time.Duration
	// How long it is away after a crash.
	away time.Duration

	server   *http.Server
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]bool
	ended  bool
	runsAt []time.Time
}

// startBackend starts a backend server and registers it.
func (p *play) startBackend(service, zone string, slots int, engine bool, limit float64) *backend {
	s := &backend{
		play: p, id: "i-" + randomID()[:8], service: service, zone: zone, engine: engine, limit: limit,
		slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queueLength), born: time.Now().UnixMilli(),
		conns: map[net.Conn]bool{}, interval: eventInterval, away: 3 * time.Second,
	}
	l, e := net.Listen("tcp", "127.0.0.1:0")
	check(e)
	s.listener = l
	s.server = &http.Server{Handler: s, ConnState: s.track}
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	go func() { _ = s.server.Serve(l) }()
	s.register()
	return s
}

func (s *backend) register() {
	m := map[string]any{
		"Service": s.service, "Address": s.listener.Addr().String(), "Zone": s.zone, "Version": "v1", "Slots": cap(s.slots), "State": "ready",
		"ColdLeftMs": 0, "Sequence": 1, "born": s.born,
	}
	b, e := json.Marshal(m)
	check(e)
	s.play.platform.Put("servers", s.id, string(b))
}

func (s *backend) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// crash resets all connections and closes the port. It returns false if the server has
// crashed before.
func (s *backend) crash() bool {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return false
	}
	s.ended = true
	l := s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for c := range l {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return true
}

// crashAndReturn crashes, and starts again some seconds later with a new id. The entry
// is removed after the silence of three heartbeats.
func (s *backend) crashAndReturn() {
	if !s.crash() {
		return
	}
	s.play.record.add("server %s of %s crashed", s.id, s.service)
	time.AfterFunc(3*1200*time.Millisecond, func() { s.play.platform.Remove("servers", s.id) })
	time.AfterFunc(s.away, func() {
		n := s.play.startBackend(s.service, s.zone, cap(s.slots), s.engine, s.limit)
		s.play.record.add("server %s of %s started", n.id, n.service)
	})
}

// ServeHTTP implements http.Handler.
func (s *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" && s.engine {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":1,"QueueDepth":0,"Running":%d,"KvUsed":0,"KvTotal":147261,"Handles":0,"born":%d}`, len(s.slots), s.born)
		return
	}
	i := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", i)
	if s.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', 1, 64))
		s.mu.Lock()
		s.runsAt = append(s.runsAt, time.Now())
		s.mu.Unlock()
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c := r.Context()
	if n, e := strconv.Atoi(r.Header.Get("X-Time-Budget-Ms")); e == nil {
		d, f := context.WithTimeout(c, time.Duration(n)*time.Millisecond)
		defer f()
		c = d
	}
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		s.refuse(w)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-c.Done():
		s.refuse(w)
		return
	}
	pause(c, firstEventTime)
	if c.Err() != nil {
		return
	}
	s.play.record.add("run %s %s at %s", r.URL.Path, i, s.id)
	if s.play.trouble && strings.Contains(r.URL.Path, crashMark) {
		s.crashAndReturn()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", s.id+"."+i)
	w.Header().Set("X-Weight-Versions", "1")
	if !s.engine {
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
		return
	}
	s.stream(c, w, r)
}

func (s *backend) refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stream sends the events of a run.
func (s *backend) stream(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	m := eventsPerRun
	if n, e := strconv.Atoi(r.Header.Get(headerEvents)); e == nil {
		m = n
	}
	b, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	k := http.NewResponseController(w)
	t := s.play.beginRun(r)
	for n := b + 1; n <= m && ctx.Err() == nil; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", eventBytes))
		_ = k.Flush()
		pause(ctx, s.interval)
	}
	s.play.endRun(t, ctx.Err() == nil)
	if ctx.Err() != nil {
		s.play.record.add("run %s %s at %s ended by its sender after %d ms", r.URL.Path, t.item, s.id, t.end.Sub(t.begin).Milliseconds())
		panic(http.ErrAbortHandler)
	}
}

// beginRun begins a run, and keeps it if it is one of an item.
func (p *play) beginRun(r *http.Request) *itemRun {
	t := &itemRun{item: r.Header.Get("X-Attempt-Id"), begin: time.Now()}
	if r.Header.Get(headerEvents) == "" {
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.itemRuns = append(p.itemRuns, t)
	return t
}

func (p *play) endRun(run *itemRun, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.end, run.done = time.Now(), done
}

// pause waits for a duration, or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
