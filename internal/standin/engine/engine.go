package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Engine is a model engine stand-in. Besides the API of a model engine it
// serves /control/faults, /control/runs and /control/orders.
type Engine struct {
	config  *engineConfig
	handler http.Handler
	// Functions to be run by the goroutine that owns the scheduler.
	tasks chan func(*scheduler, time.Time)
	done  chan struct{}
}

// engineConfig does not change after the start of the engine.
type engineConfig struct {
	model       string
	slots       int
	queueLength int
	// Length of a step, and its increase for each running request.
	token, tokenPerRequest time.Duration
	// Prefill time of one prompt token that is not in the prefix cache.
	promptToken time.Duration
	cacheBlocks int
	loadLag     time.Duration
	eventLag    time.Duration
	// Every eventGap-th cache event is never reported; 0 reports all.
	eventGap      int64
	checksFencing bool
	exit          func()
}

// New starts an engine that runs until ctx ends. Without options it serves the
// model "model" with 16 slots, steps of 20 ms plus 0.2 ms for each running
// request, 0.25 ms for each prompt token, 4096 cache blocks, a queue of 4096
// requests, a load lag of 1 s, an event lag of 500 ms and one cache event lost
// in 50, and it ignores fencing tokens.
func New(ctx context.Context, options ...func(*Engine)) *Engine {
	s := &Engine{
		config: &engineConfig{
			model: "model", slots: 16, queueLength: 4096,
			token: 20 * time.Millisecond, tokenPerRequest: 200 * time.Microsecond, promptToken: 250 * time.Microsecond,
			cacheBlocks: 4096, loadLag: time.Second, eventLag: 500 * time.Millisecond, eventGap: 50,
		},
		tasks: make(chan func(*scheduler, time.Time)),
		done:  make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.handler = s.routes()
	go s.run(ctx)
	return s
}

// Model names the model that the engine serves.
func Model(name string) func(*Engine) {
	return func(s *Engine) { s.config.model = name }
}

// Slots limits the requests that run at the same time to slots, and those that
// wait to queue. Requests beyond both limits are rejected with status 429.
func Slots(slots, queue int) func(*Engine) {
	return func(s *Engine) { s.config.slots, s.config.queueLength = slots, queue }
}

// Timing sets the duration of a step, its increase for each running request, and
// the prefill time of each prompt token that is not in the prefix cache.
func Timing(token, perRequest, promptToken time.Duration) func(*Engine) {
	return func(s *Engine) {
		s.config.token, s.config.tokenPerRequest, s.config.promptToken = token, perRequest, promptToken
	}
}

// CacheBlocks limits the prefix cache to a number of blocks, each of which
// covers BlockBytes of prompt text.
func CacheBlocks(blocks int) func(*Engine) {
	return func(s *Engine) { s.config.cacheBlocks = blocks }
}

// ReportLag delays the reports of load and of cache events, and drops every
// gap-th cache event; 0 drops none.
func ReportLag(load, events time.Duration, gap int64) func(*Engine) {
	return func(s *Engine) { s.config.loadLag, s.config.eventLag, s.config.eventGap = load, events, gap }
}

// ChecksFencing makes the engine reject orders whose fencing token is lower
// than the highest one of an earlier order.
func ChecksFencing(on bool) func(*Engine) {
	return func(s *Engine) { s.config.checksFencing = on }
}

// OnExit sets the function that is called once after a crash in the mode "exit".
func OnExit(exit func()) func(*Engine) {
	return func(s *Engine) { s.config.exit = exit }
}

// run owns the scheduler: it runs the functions of runTask and the events that
// are due, one at a time, until ctx ends.
func (s *Engine) run(ctx context.Context) {
	defer close(s.done)
	t := newScheduler(s.config)
	m := time.NewTimer(0)
	defer m.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.tasks:
			f(t, time.Now())
		case <-m.C:
			t.processDue(time.Now())
		}
		w := t.nextEvent()
		if w.IsZero() {
			m.Stop()
			continue
		}
		m.Reset(time.Until(w))
	}
}

// runTask runs task in the goroutine that owns the scheduler and waits for it.
// It returns false if that goroutine has ended.
func (s *Engine) runTask(task func(*scheduler, time.Time)) bool {
	d := make(chan struct{})
	select {
	case s.tasks <- func(t *scheduler, now time.Time) { task(t, now); close(d) }:
		<-d
		return true
	case <-s.done:
		return false
	}
}

// silenceKey is the context key of the channel that is closed when a connection
// goes silent.
type silenceKey struct{}

// ConnContext is meant for the field ConnContext of http.Server. With it the
// fault "silence" affects whole connections rather than single requests.
func (s *Engine) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	var m chan struct{}
	s.runTask(func(t *scheduler, _ time.Time) { m = t.silenced })
	return context.WithValue(ctx, silenceKey{}, m)
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
	o.Handle("/", s.withFaults(m))
	return o
}

// ServeHTTP serves the paths of the engine API and the control paths.
func (s *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// withFaults applies a crash or a silent connection to requests. The control
// paths bypass it.
func (s *Engine) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var k faultSignals
		y := s.runTask(func(t *scheduler, _ time.Time) { k = faultSignals{silenced: t.silenced, crashed: t.crashSignal} })
		if m, y := r.Context().Value(silenceKey{}).(chan struct{}); y && m != nil {
			k.silenced = m
		}
		if !y {
			resetConnection(w)
			return
		}
		switch k.state() {
		case stateCrashed:
			resetConnection(w)
		case stateSilenced:
			hang(r)
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), faultSignalsKey{}, k)))
		}
	})
}

// hang sends no response, and aborts the handler when the client closes the
// connection.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
