package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Engine is a model engine stand-in. Besides the paths of an engine it serves
// /control/faults, /control/runs and /control/orders.
type Engine struct {
	s *settings
	h http.Handler
	// Work for the task that owns the table.
	work chan func(*table, time.Time)
	done chan struct{}
}

// settings are fixed when the engine starts.
type settings struct {
	model       string
	slots       int
	queueLength int
	// Length of a step, and its increase for each running request.
	token, tokenPerRequest time.Duration
	// Time to read one prompt token that is not in the cache.
	promptToken time.Duration
	cacheBlocks int
	loadLag     time.Duration
	eventLag    time.Duration
	// Each so many cache events, one is never shown; 0 for none.
	eventGap      int64
	checksFencing bool
	exit          func()
}

// New starts an engine, which ends with c. Without options it serves the model
// "model" with 16 slots, 20 ms a token and 0.2 ms more for each running
// request, 0.25 ms for each prompt token, 4096 cache blocks, a queue of 4096
// requests, a load lag of 1 s, an event lag of 500 ms, one event lost in 50,
// and it ignores fencing tokens.
func New(c context.Context, options ...func(*Engine)) *Engine {
	s := &Engine{
		s: &settings{
			model: "model", slots: 16, queueLength: 4096,
			token: 20 * time.Millisecond, tokenPerRequest: 200 * time.Microsecond, promptToken: 250 * time.Microsecond,
			cacheBlocks: 4096, loadLag: time.Second, eventLag: 500 * time.Millisecond, eventGap: 50,
		},
		work: make(chan func(*table, time.Time)),
		done: make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.h = s.routes()
	go s.run(c)
	return s
}

// Model names the model that the engine serves.
func Model(name string) func(*Engine) {
	return func(s *Engine) { s.s.model = name }
}

// Slots bounds the requests that run at the same time, and queue those that
// wait; more are refused with 429.
func Slots(n, queue int) func(*Engine) {
	return func(s *Engine) { s.s.slots, s.s.queueLength = n, queue }
}

// Pace sets the time of a step, its increase for each running request, and the
// time for each prompt token that is not in the cache.
func Pace(token, perRequest, promptToken time.Duration) func(*Engine) {
	return func(s *Engine) { s.s.token, s.s.tokenPerRequest, s.s.promptToken = token, perRequest, promptToken }
}

// CacheBlocks bounds the prefix cache, in blocks of BlockBytes of prompt text.
func CacheBlocks(n int) func(*Engine) {
	return func(s *Engine) { s.s.cacheBlocks = n }
}

// Lag delays the reports of load and of cache events, and loses each gap-th
// cache event; 0 loses none.
func Lag(load, events time.Duration, gap int64) func(*Engine) {
	return func(s *Engine) { s.s.loadLag, s.s.eventLag, s.s.eventGap = load, events, gap }
}

// ChecksFencing makes the engine refuse orders with a fencing token below the
// highest that it has seen.
func ChecksFencing(on bool) func(*Engine) {
	return func(s *Engine) { s.s.checksFencing = on }
}

// OnExit is called once after a crash in the mode "exit".
func OnExit(exit func()) func(*Engine) {
	return func(s *Engine) { s.s.exit = exit }
}

// run is the task that owns the table.
func (s *Engine) run(c context.Context) {
	defer close(s.done)
	t := newTable(s.s)
	m := time.NewTimer(0)
	defer m.Stop()
	for {
		select {
		case <-c.Done():
			return
		case f := <-s.work:
			f(t, time.Now())
		case <-m.C:
			t.tick(time.Now())
		}
		w := t.wake()
		if w.IsZero() {
			m.Stop()
			continue
		}
		m.Reset(time.Until(w))
	}
}

// do runs f in the task, and reports whether the task is still there.
func (s *Engine) do(f func(*table, time.Time)) bool {
	d := make(chan struct{})
	select {
	case s.work <- func(t *table, now time.Time) { f(t, now); close(d) }:
		<-d
		return true
	case <-s.done:
		return false
	}
}

// muteKey finds the channel in a context that is closed when a connection goes
// silent.
type muteKey struct{}

// ConnContext is for http.Server's field of that name. It lets the fault
// "silence" strike connections rather than single requests.
func (s *Engine) ConnContext(c context.Context, _ net.Conn) context.Context {
	var m chan struct{}
	s.do(func(t *table, _ time.Time) { m = t.mute })
	return context.WithValue(c, muteKey{}, m)
}

func (s *Engine) routes() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{s})
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", s.chat)
	m.HandleFunc("GET /v1/models", s.models)
	m.HandleFunc("GET /health", s.health)
	m.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /cache-events", s.cacheEvents)
	m.HandleFunc("POST /v1/load_lora_adapter", s.loadAdapter)
	m.HandleFunc("POST /orders/{order}", s.order)
	m.HandleFunc("GET /orders", s.listOrders)
	o := http.NewServeMux()
	o.HandleFunc("POST /control/faults", s.setFaults)
	o.HandleFunc("GET /control/runs", s.listRuns)
	o.HandleFunc("GET /control/orders", s.listOrders)
	o.Handle("/", s.faulty(m))
	return o
}

// ServeHTTP serves the engine's and the control paths.
func (s *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.h.ServeHTTP(w, r) }

// faulty lets requests meet a crash or a silent connection.
func (s *Engine) faulty(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var k signals
		y := s.do(func(t *table, _ time.Time) { k = signals{mute: t.mute, down: t.down} })
		if m, y := r.Context().Value(muteKey{}).(chan struct{}); y && m != nil {
			k.mute = m
		}
		if !y {
			reset(w)
			return
		}
		switch k.state() {
		case stateDown:
			reset(w)
		case stateMute:
			silent(r)
		default:
			h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), signalsKey{}, k)))
		}
	})
}

// silent never answers and ends when the client closes the connection.
func silent(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
