package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/rate"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// CodeExceeded is the error code of a request over the rate limit of its team.
const CodeExceeded = "rate-limited"

const (
	// Limit on the time to ask the front that counts.
	askTimeout = 60 * time.Millisecond
	// Time after which a caller may return if the front that counts does not answer
	// and the reserve is used up: a heartbeat, with which another front may be known
	// to count.
	unansweredWait = 250 * time.Millisecond
)

// Outcomes of requests of teams with a limit, for logs and metrics.
const (
	outcomeGranted = "granted"
	// By the front that counts.
	outcomeDenied = "denied"
	// By this front until the time that the front that counts has told.
	outcomeStillDenied = "still-denied"
	// No front that counts has answered, and the reserve allows the request, or not.
	outcomeReserve    = "reserve"
	outcomeUnanswered = "unanswered"
)

// Teams keeps the rate limits of teams. It is safe for concurrent use.
type Teams struct {
	self   string
	fleet  *fleet.Fleet
	asker  trail.RateAsker
	logger log.Interface
	// Requests of teams with a limit, by outcome.
	requestsTotal *prometheus.CounterVec

	mu       sync.Mutex
	limiter  *rate.Limiter
	refusals refusalLog
}

var _ trail.RateCounter = (*Teams)(nil)

// New returns the limits of the front self, which asks other fronts through asker.
func New(self string, fleet *fleet.Fleet, asker trail.RateAsker, logger log.Interface, registry prometheus.Registerer) *Teams {
	return &Teams{
		self: self, fleet: fleet, asker: asker, logger: logger, limiter: rate.New(time.Now()),
		refusals: refusalLog{lines: map[refusalKind]*refusalLine{}},
		requestsTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_rate_requests_total",
			Help: "Requests of teams with a rate limit, by outcome: granted, denied, still-denied without another question, and, if no front that counts has answered, reserve (granted) or unanswered (refused).",
		}, []string{"outcome"}),
	}
}

// Applies reports whether a team has a limit.
func Applies(team *wire.TeamRule) bool { return rate.Valid(team.GetRequestsPerSecond()) }

func question(team *wire.TeamRule, version int64) *wire.RateRequest {
	return wire.RateRequest_builder{
		Team: proto.String(team.GetName()), RequestsPerSecond: proto.Float64(team.GetRequestsPerSecond()), Burst: proto.Float64(team.GetBurst()), Version: &version,
	}.Build()
}

// Denied returns the error of a request whose team is known to be over its limit, as
// Acquire does, or nil. version is that of the configuration that lists the team.
func (s *Teams) Denied(team *wire.TeamRule, version int64, request *trail.Request) error {
	if !Applies(team) {
		return nil
	}
	q := question(team, version)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.limiter.Denied(time.Now(), q)
	if w == 0 {
		return nil
	}
	return s.refuse(q, request, s.fleet.RateCounter(time.Now(), team.GetName()), outcomeStillDenied, w)
}

// Acquire counts a request against the limit of its team, which must have one. Its
// error is rate-limited, with the verdict NotRun and the time after which the caller
// may return. It waits for another front no longer than ctx lasts.
func (s *Teams) Acquire(ctx context.Context, team *wire.TeamRule, version int64, request *trail.Request) error {
	q := question(team, version)
	n := s.fleet.RateCounter(time.Now(), team.GetName())
	r := s.ask(ctx, n, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := time.Now()
	p, k, h := s.fleet.RateReserve(o, team.GetName())
	switch {
	case r.GetGranted():
		s.limiter.RecordAnswer(o, q, p, k, 0)
		s.requestsTotal.WithLabelValues(outcomeGranted).Inc()
		return nil
	case r.GetWaitMs() > 0:
		w := time.Duration(r.GetWaitMs()) * time.Millisecond
		s.limiter.RecordAnswer(o, q, p, k, w)
		return s.refuse(q, request, n, outcomeDenied, w)
	case ctx.Err() == nil && h && s.limiter.TakeReserve(o, q, p, k):
		s.requestsTotal.WithLabelValues(outcomeReserve).Inc()
		return nil
	}
	return s.refuse(q, request, n, outcomeUnanswered, unansweredWait)
}

// ask returns the answer of the front that counts, nil if there is none.
func (s *Teams) ask(ctx context.Context, front string, question *wire.RateRequest) *wire.RateReply {
	switch front {
	case "":
		return nil
	case s.self:
		return s.Count(question)
	}
	c, f := context.WithTimeout(ctx, askTimeout)
	defer f()
	r, e := s.asker.AskRate(c, front, question)
	if e != nil {
		s.logger.WithError(e).WithFields(log.Fields{"team": question.GetTeam(), "front": front}).Debug("limit: front that counts has not answered")
	}
	return r
}

// refuse returns the error of a request that the limit does not allow for a time.
// The caller holds the lock.
func (s *Teams) refuse(question *wire.RateRequest, request *trail.Request, counter, outcome string, wait time.Duration) error {
	o := time.Now()
	_, n, _ := s.fleet.RateReserve(o, question.GetTeam())
	d := s.limiter.Refuse(o, question, n, wait, request.Deadline().Sub(o), rand.Float64())
	s.requestsTotal.WithLabelValues(outcome).Inc()
	s.refusals.add(o, s.logger, question, request.ID(), counter, outcome)
	return trail.NewError(CodeExceeded, trail.NotRun, "team %s is over its limit of %g requests a second with a burst of %g in configuration %d: %s, counted by front %q",
		question.GetTeam(), question.GetRequestsPerSecond(), question.GetBurst(), question.GetVersion(), outcome, counter).WithRetryAfter(d)
}

// Count implements trail.RateCounter.
func (s *Teams) Count(question *wire.RateRequest) *wire.RateReply {
	r := wire.RateReply_builder{Id: proto.Uint64(question.GetId())}.Build()
	o := time.Now()
	b, k := s.fleet.CountingSince(o, question.GetTeam())
	if !k || !rate.Valid(question.GetRequestsPerSecond()) {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.limiter.Take(o, b, s.fleet.RateShare(o), question)
	if w == 0 {
		r.SetGranted(true)
	} else {
		// Rounded up, so that there is room by then.
		r.SetWaitMs(uint32((w + time.Millisecond - 1) / time.Millisecond))
	}
	return r
}
