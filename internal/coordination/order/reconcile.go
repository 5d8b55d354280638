package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/spec"
)

const (
	reconcileInterval = 5 * time.Second
	// Limit for the whole fleet, divided evenly among the schedulers.
	weightLoadsPerMinute = 60
	ordersPath           = "/orders"
	tokenHeader          = "Fencing-Token"
)

// Reconciler brings the engines that this scheduler owns in line with the
// services configuration.
type Reconciler struct {
	self     *wire.Member
	store    trail.Store
	views    trail.Views
	backends trail.Caller
	logger   log.Interface
	// Limits weight loads over all engines of this scheduler.
	loadLimiter *rate.Limiter
}

// New starts a reconciler that runs until ctx is done. Calls to backends are
// addressed by IP and port.
func New(ctx context.Context, self *wire.Member, store trail.Store, views trail.Views, backends trail.Caller, logger log.Interface) *Reconciler {
	o := &Reconciler{self: self, store: store, views: views, backends: backends, logger: logger, loadLimiter: rate.NewLimiter(0, 1)}
	go o.run(ctx)
	return o
}

func (o *Reconciler) run(ctx context.Context) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			o.reconcileAll(ctx)
		}
	}
}

// reconcileAll handles the owned engines sequentially, so that at most one
// engine of this scheduler changes at a time and the other engines of its
// service keep serving.
func (o *Reconciler) reconcileAll(ctx context.Context) {
	v := o.views.Latest()
	n := len(owner.Rank(v.GetMembers(), "sched", "", ""))
	o.loadLimiter.SetLimit(rate.Limit(weightLoadsPerMinute / time.Minute.Seconds() / float64(max(n, 1))))
	for _, h := range v.GetHosts() {
		w := spec.Find(v.GetConfig().GetText(), h.GetService())
		if w.GetKind() != "model" || !h.GetReady() || h.GetLeaving() || !o.owns(h) {
			continue
		}
		e := o.reconcile(ctx, h, w, v.GetConfig().GetVersion())
		if e != nil && ctx.Err() == nil {
			o.logger.WithError(e).WithField("host", h.GetName()).Warn("order: engine not reconciled with the configuration")
		}
	}
}

func (o *Reconciler) owns(host *wire.Host) bool {
	return owner.First(o.views.Latest().GetMembers(), "sched", host.GetName(), host.GetDataCentre()).GetId() == o.self.GetId()
}

// reconcile sends one order if the engine differs from the configuration.
func (o *Reconciler) reconcile(ctx context.Context, host *wire.Host, service *wire.Service, configVersion int64) error {
	s, e := o.engineState(ctx, host)
	if e != nil || nextOrder(service, s) == nil {
		return e
	}
	g, e := o.acquireLease(ctx, host.GetName(), service.GetChecksFencing(), configVersion)
	if e != nil {
		return e
	}
	// The state may have changed while the lease was being acquired.
	s, e = o.engineState(ctx, host)
	if e != nil {
		return e
	}
	n := nextOrder(service, s)
	if n == nil || !o.owns(host) {
		return nil
	}
	c, f := context.WithDeadline(ctx, g.expires)
	defer f()
	if n.loadsWeights() {
		e = o.loadLimiter.Wait(c)
		if e != nil {
			return trail.WrapError(e, "weight-store-busy", trail.NotRun, "rate limit allows no weight load before the lease expires")
		}
	}
	e = o.send(c, host, n, g.token)
	if e != nil {
		return e
	}
	s, e = o.engineState(c, host)
	o.logger.WithField("host", host.GetName()).WithField("service", service.GetName()).WithField("order", n.Name).
		WithField("token", g.token).WithField("matches", e == nil && nextOrder(service, s) == nil).Info("order: order sent to engine")
	return e
}

func (o *Reconciler) engineState(ctx context.Context, host *wire.Host) (*wire.EngineState, error) {
	b, e := o.call(ctx, host, "GET", ordersPath, nil, 0)
	if e != nil {
		return nil, e
	}
	s := &wire.EngineState{}
	e = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, s)
	if e != nil {
		return nil, trail.WrapError(e, "engine-state", trail.NotRun, "cannot decode engine state").WithPlace(host.GetName())
	}
	return s, nil
}

func (o *Reconciler) send(ctx context.Context, host *wire.Host, command *order, token int64) error {
	b, e := json.Marshal(command)
	if e != nil {
		return e
	}
	_, e = o.call(ctx, host, "POST", ordersPath+"/"+command.Name, b, token)
	return e
}
