package permit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Limit on the time to ask another front for a permit.
	askTimeout = 150 * time.Millisecond
	// Time for which a server is not used after the front that counts its requests
	// has not replied.
	unansweredPause = 250 * time.Millisecond
)

// Upstream is a trail.Upstream that sends a request to a backend server with a
// limit only with a permit. It also grants the permits of the servers whose
// requests this front counts.
type Upstream struct {
	self   string
	fleet  *fleet.Fleet
	next   trail.Upstream
	asker  trail.PermitAsker
	logger log.Interface
	counts counts
	// Requests to servers with a limit, by outcome.
	permitsTotal *prometheus.CounterVec
}

var (
	_ trail.Upstream      = (*Upstream)(nil)
	_ trail.PermitGranter = (*Upstream)(nil)
)

// New returns the upstream of the front self, which sends through next and asks
// other fronts through asker.
func New(self string, fleet *fleet.Fleet, next trail.Upstream, asker trail.PermitAsker, logger log.Interface, registry prometheus.Registerer) *Upstream {
	return &Upstream{
		self: self, fleet: fleet, next: next, asker: asker, logger: logger,
		counts: newCounts(time.Now()),
		permitsTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_permits_total",
			Help: "Requests to backend servers with a limit, by outcome: granted, denied, or unanswered by the front that counts.",
		}, []string{"outcome"}),
	}
}

// Send implements trail.Upstream. Its errors are those of the upstream that it
// sends through, and backend-limited, with the verdict NotRun and the time until
// the server takes the next request.
func (s *Upstream) Send(ctx context.Context, server *wire.BackendServer, request *trail.Request, lastEventID string) (*trail.Response, error) {
	l := s.fleet.Limit(server.GetId())
	if l > 0 {
		e := s.acquire(ctx, server, l)
		if e != nil {
			return nil, e
		}
	}
	return s.next.Send(ctx, server, request, lastEventID)
}

// acquire gets a permit for a request to a server with a limit.
func (s *Upstream) acquire(ctx context.Context, server *wire.BackendServer, perSecond float64) error {
	n := s.fleet.First(time.Now(), server.GetId(), server.GetDataCentre())
	r, e := s.ask(ctx, n, wire.PermitRequest_builder{Server: proto.String(server.GetId()), PerSecond: &perSecond}.Build())
	if r.GetGranted() {
		s.permitsTotal.WithLabelValues("granted").Inc()
		return nil
	}
	w := time.Duration(r.GetWaitMs()) * time.Millisecond
	o := "denied"
	if e != nil {
		w = unansweredPause
		o = "unanswered"
		s.logger.WithError(e).WithFields(log.Fields{"server": server.GetId(), "front": n}).Info("permit: front that counts has not answered")
	}
	s.permitsTotal.WithLabelValues(o).Inc()
	// Spread, so that not all fronts ask again at the same time.
	s.fleet.PauseLimited(server.GetId(), time.Now().Add(w+rand.N(w+time.Millisecond)))
	return trail.NewError("backend-limited", trail.NotRun, "backend server takes %g requests a second: %s", perSecond, o).WithPlace(server.GetAddress()).WithRetryAfter(w)
}

func (s *Upstream) ask(ctx context.Context, front string, request *wire.PermitRequest) (*wire.PermitReply, error) {
	if front == s.self {
		return s.Grant(request), nil
	}
	c, f := context.WithTimeout(ctx, askTimeout)
	defer f()
	return s.asker.AskPermit(c, front, request)
}

// Grant implements trail.PermitGranter.
func (s *Upstream) Grant(request *wire.PermitRequest) *wire.PermitReply {
	l := s.fleet.Limit(request.GetServer())
	if l == 0 {
		// The asking front has heard of the limit first.
		l = request.GetPerSecond()
	}
	w := s.counts.take(time.Now(), request.GetServer(), l)
	if w == 0 {
		return wire.PermitReply_builder{Id: proto.Uint64(request.GetId()), Granted: proto.Bool(true)}.Build()
	}
	return wire.PermitReply_builder{Id: proto.Uint64(request.GetId()), WaitMs: proto.Uint32(uint32(w.Milliseconds()) + 1)}.Build()
}
