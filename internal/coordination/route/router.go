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
	id     string
	m      *mesh.Mesh
	l      log.Interface
	events chan event
	done   chan struct{}
	counts counts
}

// event is applied by the task that owns the state.
type event func(s *state)

// state belongs to the task.
type state struct {
	table *table
	// Repeated attempts left, by service.
	budgets map[string]*retry.Budget
	// Ends of the subscriptions, by member id.
	stops map[string]context.CancelFunc
	// End the current subscription so that a new one begins, by member id.
	renewals map[string]context.CancelFunc
	// Receives each report, nil for none.
	reported func(*wire.Report)
}

type counts struct {
	chosen, dropped, passed *prometheus.CounterVec
}

// New returns a router for the process id in a data centre. Its subscriptions
// and its task end with c.
func New(c context.Context, id, dataCentre string, m *mesh.Mesh, v trail.Views, l log.Interface, r prometheus.Registerer) *Router {
	s := &Router{id: id, m: m, l: l, events: make(chan event), done: make(chan struct{}), counts: newCounts(r)}
	go s.run(c, newTable(dataCentre), v.Subscribe(c), v.Latest())
	return s
}

func newCounts(r prometheus.Registerer) counts {
	k := counts{
		chosen: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_route_chosen_total", Help: "Choices of a scheduler by reason.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_route_replies_dropped_total", Help: "Replies of another attempt or with a wrong offset.",
		}, []string{"cause"}),
		passed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_route_passed_total", Help: "Calls passed on to another scheduler by the verdict of the failed attempt.",
		}, []string{"verdict"}),
	}
	r.MustRegister(k.chosen, k.dropped, k.passed)
	return k
}

func (s *Router) run(c context.Context, t *table, views <-chan *wire.View, first *wire.View) {
	defer close(s.done)
	o := &state{table: t, budgets: map[string]*retry.Budget{}, stops: map[string]context.CancelFunc{}, renewals: map[string]context.CancelFunc{}}
	s.view(c, o, first)
	for {
		select {
		case <-c.Done():
			return
		case v, b := <-views:
			if !b {
				views = nil
				continue
			}
			s.view(c, o, v)
		case f := <-s.events:
			f(o)
		}
	}
}

// view starts and ends subscriptions as schedulers come and go.
func (s *Router) view(c context.Context, o *state, v *wire.View) {
	a, g := o.table.members(v.GetMembers())
	for _, m := range g {
		o.stops[m.GetId()]()
		delete(o.stops, m.GetId())
		delete(o.renewals, m.GetId())
	}
	for _, m := range a {
		d, f := context.WithCancel(c)
		o.stops[m.GetId()] = f
		go s.subscribe(d, m)
	}
}

// do applies an event. It returns false when the task has ended.
func (s *Router) do(f event) bool {
	w := make(chan struct{})
	select {
	case s.events <- func(o *state) { f(o); close(w) }:
		<-w
		return true
	case <-s.done:
		return false
	}
}

// choose picks a scheduler that is not in tried, counts the call as running
// there and logs the decision.
func (s *Router) choose(r *wire.Call, tried map[string]bool) *choice {
	var k *choice
	b := s.do(func(o *state) {
		k = o.table.choose(r, tried)
		if k != nil {
			k.reports = o.table.started(k.member.GetId(), r.GetService())
		}
	})
	if !b || k == nil {
		return nil
	}
	s.counts.chosen.WithLabelValues(k.reason).Inc()
	s.l.WithFields(log.Fields{
		"request-id":   r.GetRequestId(),
		"attempt-id":   r.GetAttemptId(),
		"service":      r.GetService(),
		"scheduler":    k.member.GetId(),
		"reason":       k.reason,
		"alternatives": strings.Join(k.alternatives, "; "),
	}).Info("route: scheduler chosen")
	return k
}

// Forward passes each report of a scheduler on as it arrives, those of one
// scheduler in order. The reports must not be changed.
func (s *Router) Forward(to func(*wire.Report)) {
	s.do(func(o *state) { o.reported = to })
}

// Loads returns the newest report of each scheduler that has sent one, by
// member id. The reports must not be changed.
func (s *Router) Loads() []*wire.Report {
	var l []*wire.Report
	s.do(func(o *state) {
		for _, i := range slices.Sorted(maps.Keys(o.table.targets)) {
			if o.table.targets[i].report != nil {
				l = append(l, o.table.targets[i].report)
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
