package order_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/order"
	"bulrushtrail.example/trail/internal/protocol/objapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/engine"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/kube"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/invoke"
)

const (
	platformAddress = "10.0.0.1:8000"
	engineAddress   = "10.0.1.1:8000"
	// Slightly more than two reconcile intervals.
	twoIntervals = 11 * time.Second
	// Lease duration plus margin: the minimum time between orders of two owners
	// to an engine that ignores fencing tokens.
	minHandover = 12 * time.Second
	maxOrders   = 100
)

// views serves a view that the test can replace.
type views struct{ current atomic.Pointer[wire.View] }

func (s *views) Latest() *wire.View                          { return s.current.Load() }
func (s *views) Subscribe(context.Context) <-chan *wire.View { return nil }

func member(id string) *wire.Member {
	return wire.Member_builder{Id: &id, Role: new("sched"), Incarnation: new(uint64(1))}.Build()
}

func view(id, version string, configVersion int64, tokensChecked bool) *wire.View {
	return wire.View_builder{
		Config: wire.Config_builder{Version: &configVersion, Text: wire.Text_builder{Services: []*wire.Service{wire.Service_builder{
			Name: new("fit-assistant"), Kind: new("model"), Model: new("fit"), Version: &version,
			Adapters: []string{"short-notes"}, ChecksFencing: &tokensChecked,
		}.Build()}}.Build()}.Build(),
		Members: []*wire.Member{member(id)},
		Hosts: []*wire.Host{wire.Host_builder{
			Name: new("fit-01"), Service: new("fit-assistant"), Address: new(engineAddress), Ready: new(true),
		}.Build()},
	}.Build()
}

// fixture runs a platform and an engine on an in-memory network.
type fixture struct {
	network *memnet.Network
	logger  log.Interface
	// Arrival times of orders at the engine.
	orders chan time.Time
}

func newFixture(ctx context.Context, tokensChecked bool) *fixture {
	r := &fixture{network: memnet.New(), orders: make(chan time.Time, maxOrders), logger: &log.Logger{Handler: discard.New()}}
	r.serve(ctx, platformAddress, &http.Server{Handler: kube.New(ctx, 1000, 1000, 0, r.logger, prometheus.NewRegistry())})
	x := engine.New(ctx, engine.Model("old"), engine.ChecksFencing(tokensChecked))
	r.serve(ctx, engineAddress, &http.Server{ConnContext: x.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodPost {
			r.orders <- time.Now()
		}
		x.ServeHTTP(w, q)
	})})
	return r
}

func (r *fixture) serve(ctx context.Context, address string, server *http.Server) {
	l := r.network.Listen(address)
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// startReconciler starts the reconciler of one scheduler.
func (r *fixture) startReconciler(ctx context.Context, id string, views trail.Views) {
	g := prometheus.NewRegistry()
	order.New(ctx, member(id), objapi.New("http://"+platformAddress, r.network, r.logger, g), views, invoke.New(r.network, r.logger, g), r.logger)
}

func (r *fixture) engineState(t *testing.T) (reported struct {
	Model, Version string
	Adapters       []string
},
) {
	t.Helper()
	k := &http.Client{Transport: &http.Transport{DialContext: r.network.DialContext, DisableKeepAlives: true}}
	a, e := k.Get("http://" + engineAddress + "/orders")
	if e != nil {
		t.Fatal(e)
	}
	defer a.Body.Close()
	e = json.NewDecoder(a.Body).Decode(&reported)
	if e != nil {
		t.Fatal(e)
	}
	return reported
}

// Guards against an engine that does not reach the configured state, at start or
// after a configuration change, and against orders to an engine that already
// matches.
func TestEngineMissesConfigChange(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		r := newFixture(c, true)
		v := &views{}
		v.current.Store(view("sched-1", "1", 1, true))
		r.startReconciler(c, "sched-1", v)
		time.Sleep(2 * twoIntervals)
		w := r.engineState(t)
		if d := cmp.Diff([]string{"fit", "1", "short-notes"}, append([]string{w.Model, w.Version}, w.Adapters...)); d != "" {
			t.Error(d)
		}
		v.current.Store(view("sched-1", "2", 2, true))
		time.Sleep(twoIntervals)
		if d := cmp.Diff("2", r.engineState(t).Version); d != "" {
			t.Error(d)
		}
		n := len(r.orders)
		time.Sleep(twoIntervals)
		if d := cmp.Diff(n, len(r.orders)); d != "" {
			t.Error("orders sent to an engine that already matches:", d)
		}
	})
}

// Guards against two owners that send orders to the same engine at the same
// time: a new owner must wait for the previous lease to expire if the engine
// ignores fencing tokens. A scheduler with an outdated configuration must send
// no order at all.
func TestChangeOfOwner(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, c context.Context) {
		r := newFixture(c, false)
		a, b := &views{}, &views{}
		a.current.Store(view("sched-1", "1", 1, false))
		b.current.Store(view("sched-1", "1", 1, false))
		r.startReconciler(c, "sched-1", a)
		r.startReconciler(c, "sched-2", b)
		time.Sleep(2 * twoIntervals)
		for len(r.orders) > 0 {
			<-r.orders
		}
		// The second scheduler takes over with a new configuration. The first
		// one has received neither change and must not revert the engine.
		b.current.Store(view("sched-2", "2", 2, false))
		f := time.Now()
		time.Sleep(3 * twoIntervals)
		if d := cmp.Diff(1, len(r.orders)); d != "" {
			t.Fatal(d)
		}
		if w := (<-r.orders).Sub(f); w < minHandover {
			t.Errorf("new owner sent an order after %v, want at least %v", w, minHandover)
		}
	})
}
