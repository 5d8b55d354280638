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

// event is applied by the task that owns the state.
type event func(s *state)

// state belongs to the task.
type state struct {
	table *table
	// Repeated attempts left, by service.
	budgets map[string]*retry.Budget
	// Ends of the subscriptions, by member id.
	cancelSubscription map[string]context.CancelFunc
	// End the current subscription so that a new one begins, by member id.
	renewSubscription map[string]context.CancelFunc
	// Receives each report, nil for none.
	onReport func(*wire.Report)
}

type metrics struct {
	chosen, dropped, retried *prometheus.CounterVec
}

// New returns a router for the process id in a data centre. Its subscriptions
// and its task end with c.
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

// applyView starts and ends subscriptions as schedulers come and go.
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

// do applies an event. It returns false when the task has ended.
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

// choose picks a scheduler that is not in tried, counts the call as running
// there and logs the decision.
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

// OnReport passes each report of a scheduler on as it arrives, those of one
// scheduler in order. The reports must not be changed.
func (s *Router) OnReport(handle func(*wire.Report)) {
	s.do(func(o *state) { o.onReport = handle })
}

// Loads returns the newest report of each scheduler that has sent one, by
// member id. The reports must not be changed.
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
