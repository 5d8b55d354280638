package route

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/retry"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// Router chooses a scheduler for each call and relays its replies.
type Router struct {
	id      string
	mesh    *mesh.Mesh
	logger  log.Interface
	events  chan event
	done    chan struct{}
	metrics metrics
}

// event is a function that the goroutine of run applies to its state.
type event func(s *state)

// state is accessed only by the goroutine of run.
type state struct {
	table *table
	// Retry budgets by service.
	budgets map[string]*retry.Budget
	// End the subscription to a scheduler, by member id.
	cancelSubscription map[string]context.CancelFunc
	// End the current stream of a subscription so that a new one is opened, by
	// member id.
	renewSubscription map[string]context.CancelFunc
	// Called with each report; nil if not set.
	onReport func(*wire.Report)
}

type metrics struct {
	chosen, dropped, retried *prometheus.CounterVec
}

// New returns a router for the process id in a data centre. Its goroutines and
// subscriptions end when ctx is done.
func New(ctx context.Context, id, dataCentre string, mesh *mesh.Mesh, views trail.Views, logger log.Interface, registry prometheus.Registerer) *Router {
	s := &Router{id: id, mesh: mesh, logger: logger, events: make(chan event), done: make(chan struct{}), metrics: newMetrics(registry)}
	go s.run(ctx, newTable(dataCentre), views.Subscribe(ctx), views.Latest())
	return s
}

func newMetrics(registry prometheus.Registerer) metrics {
	k := metrics{
		chosen: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_route_chosen_total", Help: "Choices of a scheduler by reason.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_route_replies_dropped_total", Help: "Replies of another attempt or with a wrong offset.",
		}, []string{"cause"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_route_passed_total", Help: "Calls passed on to another scheduler by the verdict of the failed attempt.",
		}, []string{"verdict"}),
	}
	registry.MustRegister(k.chosen, k.dropped, k.retried)
	return k
}

func (s *Router) run(ctx context.Context, schedulers *table, views <-chan *wire.View, initial *wire.View) {
	defer close(s.done)
	o := &state{table: schedulers, budgets: map[string]*retry.Budget{}, cancelSubscription: map[string]context.CancelFunc{}, renewSubscription: map[string]context.CancelFunc{}}
	s.applyView(ctx, o, initial)
	for {
		select {
		case <-ctx.Done():
			return
		case v, b := <-views:
			if !b {
				views = nil
				continue
			}
			s.applyView(ctx, o, v)
		case f := <-s.events:
			f(o)
		}
	}
}

// applyView starts subscriptions to schedulers that are new in the view and ends
// those to schedulers that were removed.
func (s *Router) applyView(ctx context.Context, current *state, view *wire.View) {
	a, g := current.table.updateMembers(view.GetMembers())
	for _, m := range g {
		current.cancelSubscription[m.GetId()]()
		delete(current.cancelSubscription, m.GetId())
		delete(current.renewSubscription, m.GetId())
	}
	for _, m := range a {
		d, f := context.WithCancel(ctx)
		current.cancelSubscription[m.GetId()] = f
		go s.subscribe(d, m)
	}
}

// do applies an event and waits for it. It returns false if the router has
// stopped.
func (s *Router) do(apply event) bool {
	w := make(chan struct{})
	select {
	case s.events <- func(o *state) { apply(o); close(w) }:
		<-w
		return true
	case <-s.done:
		return false
	}
}

// choose returns a scheduler that is not in tried, counts the call as running
// there and logs the choice. It returns nil if there is none.
func (s *Router) choose(call *wire.Call, tried map[string]bool) *choice {
	var k *choice
	b := s.do(func(o *state) {
		k = o.table.choose(call, tried)
		if k != nil {
			k.reportCount = o.table.callStarted(k.member.GetId(), call.GetService())
		}
	})
	if !b || k == nil {
		return nil
	}
	s.metrics.chosen.WithLabelValues(k.reason).Inc()
	s.logger.WithFields(log.Fields{
		"request-id":   call.GetRequestId(),
		"attempt-id":   call.GetAttemptId(),
		"service":      call.GetService(),
		"scheduler":    k.member.GetId(),
		"reason":       k.reason,
		"alternatives": strings.Join(k.alternatives, "; "),
	}).Info("route: scheduler chosen")
	return k
}

// OnReport sets the function that is called with each load report as it
// arrives, in order for each scheduler. The function must not modify reports.
func (s *Router) OnReport(handle func(*wire.Report)) {
	s.do(func(o *state) { o.onReport = handle })
}

// Loads returns the latest report of each scheduler that has sent one, ordered
// by member id. The reports must not be modified.
func (s *Router) Loads() []*wire.Report {
	var l []*wire.Report
	s.do(func(o *state) {
		for _, i := range slices.Sorted(maps.Keys(o.table.schedulers)) {
			if o.table.schedulers[i].report != nil {
				l = append(l, o.table.schedulers[i].report)
			}
		}
	})
	return l
}

func (s *state) budget(service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retry.New()
		s.budgets[service] = b
	}
	return b
}
