package tool

import (
	"context"

	"bulrushtrail.example/trail/internal/coordination/bulk"
	"bulrushtrail.example/trail/internal/coordination/claim"
	"bulrushtrail.example/trail/internal/coordination/claimc"
	"bulrushtrail.example/trail/internal/coordination/depot"
	"bulrushtrail.example/trail/internal/coordination/entry"
	"bulrushtrail.example/trail/internal/coordination/jobs"
	"bulrushtrail.example/trail/internal/coordination/order"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/coordination/recall"
	"bulrushtrail.example/trail/internal/coordination/route"
	"bulrushtrail.example/trail/internal/coordination/sched"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/spec"
	"bulrushtrail.example/trail/internal/transport/bksrv"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/internal/transport/scrape"
)

// build creates the modules of the role.
func (p *process) build() (operations, error) {
	switch p.s.Role() {
	case "entry":
		return p.buildEntry()
	case "depot":
		return p.buildDepot()
	}
	return p.buildSched()
}

func (p *process) buildEntry() (operations, error) {
	r := route.New(p.life, p.s.MemberID(), p.s.DataCentre(), p.m, p.v, p.l, p.r)
	x, e := entry.New(p.l, p.r,
		entry.WithRoute(r, r.Loads),
		entry.WithClaims(claimc.New(p.life, p.m, p.v, p.l)),
		entry.WithAnswers(recall.New(p.life, p.m, p.v, p.l, p.r)),
		entry.WithBulk(p.bulk()),
		entry.WithStore(p.store),
		entry.WithViews(p.v),
		entry.WithMesh(p.m),
		entry.WithCheck(spec.Parse),
		entry.WithKeys(p.s.Callers(), p.s.OperatorKey()),
		entry.WithBodyBytes(p.s.BodyBytes()),
	)
	if e != nil {
		return operations{}, e
	}
	h := httpd.New(x, p.l, p.r,
		httpd.WithMaxBodyBytes(p.s.FileBytes()),
		httpd.WithMaxConnections(p.s.Connections()),
		httpd.WithDrainDelay(p.s.DrainDelay()),
		httpd.WithDrainTimeout(p.s.DrainTimeout()-p.s.DrainDelay()),
		httpd.WithReadinessCheck(p.ready),
	)
	return operations{api: h, drains: []func(context.Context) error{x.Drain}}, nil
}

func (p *process) bulk() *bulk.Client {
	return bulk.New(p.s.DataCentre(), p.m, p.v, p.l, p.r).WithCopies(p.s.Copies())
}

func (p *process) buildDepot() (operations, error) {
	x, e := depot.New(p.life, p.s.MemberID(), p.s.DataFolder(), p.m, p.v, p.l, p.r)
	if e != nil {
		return operations{}, e
	}
	return operations{
		put: x.ServePut, get: x.ServeGet, answer: x.ServeAnswer, copy: x.ServeCopy,
		drains: []func(context.Context) error{x.Drain},
	}, nil
}

func (p *process) buildSched() (operations, error) {
	q, e := policy.New(policy.Fair)
	if e != nil {
		return operations{}, e
	}
	b := bksrv.New(p.d, p.l, p.r)
	x := sched.New(p.life, p.self, q, p.v, b, scrape.New(p.d), p.l, p.r)
	k := claim.New(p.life, p.s.MemberID(), p.store, p.v, p.l, p.r)
	r := route.New(p.life, p.s.MemberID(), p.s.DataCentre(), p.m, p.v, p.l, p.r)
	r.Forward(x.HandleReport)
	x.PersistRejections(p.store)
	j := jobs.New(p.life, p.s.MemberID(), p.store, p.bulk(), r, p.v, p.l, p.r)
	order.New(p.life, p.self, p.store, p.v, b, p.l)
	return operations{
		call: x.ServeCall, report: x.ServeReport, claim: k.ServeClaim, settle: k.ServeSettle,
		drains: []func(context.Context) error{x.Drain, k.Drain, j.Drain},
	}, nil
}

// handler connects the streams of peers to the modules. A stream whose
// operation the role does not serve is closed.
func (p *process) handler(o operations) func(context.Context, *frame.Stream, *wire.Open, *wire.Hello) {
	return func(c context.Context, s *frame.Stream, r *wire.Open, from *wire.Hello) {
		switch {
		case r.GetCall() != nil && o.call != nil:
			o.call(c, s, r.GetCall())
		case r.GetClaim() != nil && o.claim != nil:
			o.claim(c, s, r.GetClaim())
		case r.GetSettle() != nil && o.settle != nil:
			o.settle(c, s, r.GetSettle())
		case r.GetPut() != nil && o.put != nil:
			o.put(c, s, r.GetPut())
		case r.GetGet() != nil && o.get != nil:
			o.get(c, s, r.GetGet())
		case r.GetAnswer() != nil && o.answer != nil:
			o.answer(c, s, r.GetAnswer())
		case r.GetCopy() != nil && o.copy != nil:
			o.copy(c, s, r.GetCopy())
		case r.GetReport() != nil && o.report != nil:
			o.report(c, s, r.GetReport())
		case r.GetWatch() != nil:
			p.v.ServeWatch(c, s, r.GetWatch())
		case r.GetDrain() != nil:
			p.l.WithField("from", from.GetMemberId()).Info(p.s.Role() + ": drain asked for")
			_ = s.Send(wire.DrainReply_builder{Accepted: new(true)}.Build())
			p.stop()
		default:
			p.l.WithField("from", from.GetMemberId()).Warn(p.s.Role() + ": operation is not served")
		}
	}
}
