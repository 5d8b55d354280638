package tool

import (
	"context"

	"bulrushtrail.example/trail/internal/coordination/answer"
	"bulrushtrail.example/trail/internal/coordination/bulk"
	"bulrushtrail.example/trail/internal/coordination/claim"
	"bulrushtrail.example/trail/internal/coordination/dedup"
	"bulrushtrail.example/trail/internal/coordination/depot"
	"bulrushtrail.example/trail/internal/coordination/entry"
	"bulrushtrail.example/trail/internal/coordination/jobs"
	"bulrushtrail.example/trail/internal/coordination/order"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/coordination/route"
	"bulrushtrail.example/trail/internal/coordination/sched"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/spec"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/httpd"
	"bulrushtrail.example/trail/internal/transport/invoke"
	"bulrushtrail.example/trail/internal/transport/scrape"
)

// build creates the components of the role.
func (p *process) build() (operations, error) {
	switch p.settings.Role() {
	case "entry":
		return p.buildEntry()
	case "depot":
		return p.buildDepot()
	}
	return p.buildSched()
}

func (p *process) buildEntry() (operations, error) {
	r := route.New(p.lifetime, p.settings.MemberID(), p.settings.DataCentre(), p.mesh, p.views, p.logger, p.registry)
	x, e := entry.New(p.logger, p.registry,
		entry.WithRouter(r, r.Loads),
		entry.WithClaims(dedup.New(p.lifetime, p.mesh, p.views, p.logger)),
		entry.WithAnswers(answer.New(p.lifetime, p.mesh, p.views, p.logger, p.registry)),
		entry.WithBulk(p.bulkClient()),
		entry.WithStore(p.store),
		entry.WithViews(p.views),
		entry.WithMesh(p.mesh),
		entry.WithTextParser(spec.Parse),
		entry.WithKeys(p.settings.Callers(), p.settings.OperatorKey()),
		entry.WithMaxBodyBytes(p.settings.MaxBodyBytes()),
	)
	if e != nil {
		return operations{}, e
	}
	h := httpd.New(x, p.logger, p.registry,
		httpd.WithMaxBodyBytes(p.settings.MaxFileBytes()),
		httpd.WithMaxConnections(p.settings.MaxConnections()),
		httpd.WithDrainDelay(p.settings.DrainDelay()),
		httpd.WithDrainTimeout(p.settings.DrainTimeout()-p.settings.DrainDelay()),
		httpd.WithReadinessCheck(p.ready),
	)
	return operations{api: h, drains: []func(context.Context) error{x.Drain}}, nil
}

func (p *process) bulkClient() *bulk.Client {
	return bulk.New(p.settings.DataCentre(), p.mesh, p.views, p.logger, p.registry).WithCopies(p.settings.Copies())
}

func (p *process) buildDepot() (operations, error) {
	x, e := depot.New(p.lifetime, p.settings.MemberID(), p.settings.DataFolder(), p.mesh, p.views, p.logger, p.registry)
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
	b := invoke.New(p.dialer, p.logger, p.registry)
	x := sched.New(p.lifetime, p.self, q, p.views, b, scrape.New(p.dialer), p.logger, p.registry)
	k := claim.New(p.lifetime, p.settings.MemberID(), p.store, p.views, p.logger, p.registry)
	r := route.New(p.lifetime, p.settings.MemberID(), p.settings.DataCentre(), p.mesh, p.views, p.logger, p.registry)
	r.OnReport(x.HandleReport)
	x.PersistRejections(p.store)
	j := jobs.New(p.lifetime, p.settings.MemberID(), p.store, p.bulkClient(), r, p.views, p.logger, p.registry)
	order.New(p.lifetime, p.self, p.store, p.views, b, p.logger)
	return operations{
		call: x.ServeCall, report: x.ServeReport, claim: k.ServeClaim, settle: k.ServeSettle,
		drains: []func(context.Context) error{x.Drain, k.Drain, j.Drain},
	}, nil
}

// handler dispatches the streams of peers by their operation. A stream whose
// operation the role does not serve is closed.
func (p *process) handler(served operations) func(context.Context, *frame.Stream, *wire.Open, *wire.Hello) {
	return func(ctx context.Context, stream *frame.Stream, open *wire.Open, from *wire.Hello) {
		switch {
		case open.GetCall() != nil && served.call != nil:
			served.call(ctx, stream, open.GetCall())
		case open.GetClaim() != nil && served.claim != nil:
			served.claim(ctx, stream, open.GetClaim())
		case open.GetSettle() != nil && served.settle != nil:
			served.settle(ctx, stream, open.GetSettle())
		case open.GetPut() != nil && served.put != nil:
			served.put(ctx, stream, open.GetPut())
		case open.GetGet() != nil && served.get != nil:
			served.get(ctx, stream, open.GetGet())
		case open.GetAnswer() != nil && served.answer != nil:
			served.answer(ctx, stream, open.GetAnswer())
		case open.GetCopy() != nil && served.copy != nil:
			served.copy(ctx, stream, open.GetCopy())
		case open.GetReport() != nil && served.report != nil:
			served.report(ctx, stream, open.GetReport())
		case open.GetWatch() != nil:
			p.views.ServeWatch(ctx, stream, open.GetWatch())
		case open.GetDrain() != nil:
			p.logger.WithField("from", from.GetMemberId()).Info(p.settings.Role() + ": drain requested")
			_ = stream.Send(wire.DrainReply_builder{Accepted: new(true)}.Build())
			p.stop()
		default:
			p.logger.WithField("from", from.GetMemberId()).Warn(p.settings.Role() + ": stream closed, its operation is not served by this role")
		}
	}
}
