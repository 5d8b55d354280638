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
	// How often each owned engine is compared with the text.
	comparePeriod = 5 * time.Second
	// Loads of weights of the whole fleet; each scheduler takes its share.
	loadsPerMinute = 60
	path           = "/orders"
	tokenHeader    = "Fencing-Token"
)

// Orders compares the owned engines with the services text.
type Orders struct {
	self     *wire.Member
	store    trail.Store
	v        trail.Views
	backends trail.Caller
	l        log.Interface
	// Shared by all engines of this scheduler.
	loads *rate.Limiter
}

// New starts the task, which ends with c. The backends' target is an IP and
// port.
func New(c context.Context, self *wire.Member, store trail.Store, v trail.Views, backends trail.Caller, l log.Interface) *Orders {
	o := &Orders{self: self, store: store, v: v, backends: backends, l: l, loads: rate.NewLimiter(0, 1)}
	go o.run(c)
	return o
}

func (o *Orders) run(c context.Context) {
	t := time.NewTicker(comparePeriod)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			o.compareAll(c)
		}
	}
}

// compareAll goes through the owned engines one after the other, so that at
// most one engine of this scheduler changes at a time and the others of its
// service keep answering.
func (o *Orders) compareAll(c context.Context) {
	v := o.v.Latest()
	n := len(owner.Rank(v.GetMembers(), "sched", "", ""))
	o.loads.SetLimit(rate.Limit(loadsPerMinute / time.Minute.Seconds() / float64(max(n, 1))))
	for _, h := range v.GetHosts() {
		w := spec.Find(v.GetConfig().GetText(), h.GetService())
		if w.GetKind() != "model" || !h.GetReady() || h.GetLeaving() || !o.owns(h) {
			continue
		}
		e := o.compare(c, h, w, v.GetConfig().GetVersion())
		if e != nil && c.Err() == nil {
			o.l.WithError(e).WithField("host", h.GetName()).Warn("order: engine was not matched")
		}
	}
}

func (o *Orders) owns(h *wire.Host) bool {
	return owner.First(o.v.Latest().GetMembers(), "sched", h.GetName(), h.GetDataCentre()).GetId() == o.self.GetId()
}

// compare gives one order if the engine differs from the text.
func (o *Orders) compare(c context.Context, h *wire.Host, w *wire.Service, config int64) error {
	s, e := o.state(c, h)
	if e != nil || next(w, s) == nil {
		return e
	}
	g, e := o.fence(c, h.GetName(), w.GetChecksFencing(), config)
	if e != nil {
		return e
	}
	// The state may have changed while the right was taken.
	s, e = o.state(c, h)
	if e != nil {
		return e
	}
	n := next(w, s)
	if n == nil || !o.owns(h) {
		return nil
	}
	c, f := context.WithDeadline(c, g.until)
	defer f()
	if n.loads() {
		e = o.loads.Wait(c)
		if e != nil {
			return trail.WrapError(e, "weight-store-busy", trail.NotRun, "loads are limited, engine waits")
		}
	}
	e = o.give(c, h, n, g.token)
	if e != nil {
		return e
	}
	s, e = o.state(c, h)
	o.l.WithField("host", h.GetName()).WithField("service", w.GetName()).WithField("order", n.Order).
		WithField("token", g.token).WithField("matches", e == nil && next(w, s) == nil).Info("order: engine ordered")
	return e
}

func (o *Orders) state(c context.Context, h *wire.Host) (*wire.EngineState, error) {
	b, e := o.exchange(c, h, "GET", path, nil, 0)
	if e != nil {
		return nil, e
	}
	s := &wire.EngineState{}
	e = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, s)
	if e != nil {
		return nil, trail.WrapError(e, "engine-state", trail.NotRun, "engine's state can't be read").WithPlace(h.GetName())
	}
	return s, nil
}

func (o *Orders) give(c context.Context, h *wire.Host, n *step, token int64) error {
	b, e := json.Marshal(n)
	if e != nil {
		return e
	}
	_, e = o.exchange(c, h, "POST", path+"/"+n.Order, b, token)
	return e
}
