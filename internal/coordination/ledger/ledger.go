package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/quota"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Kind of the platform objects that hold the accounts, by name of the route.
const Kind = "batch-quotas"

const (
	// Finished items are told after this time while there is much room.
	flushInterval = 10 * time.Second
	// The same while room is short. With the time in which a front hears so it
	// stays under a second; a shorter one costs conflicts in a large fleet.
	nearLimitFlushInterval = 600 * time.Millisecond
	// Part of the limit above which room is short.
	nearLimitRatio = 0.5
	// Other fronts hear at each heartbeat that room is short.
	nearLimitDuration = time.Second
	// Bound of the time in which changes are written.
	writeTimeout = 2 * time.Second
	// Pause after a call that the platform did not answer.
	retryDelay = 60 * time.Millisecond
	// Wait of callers while the platform does not answer.
	unavailableRetryAfter = 700 * time.Millisecond
	// Part of the wait that is added at random, so that rejected callers don't
	// return at the same moment.
	retryAfterJitter = 0.5
)

// Ledger is the accounts as this front knows them. Its methods may be called
// from any goroutine.
type Ledger struct {
	store      trail.StaleStore
	jobStates  trail.JobStates
	logger     log.Interface
	usedTokens *prometheus.GaugeVec
	tokenLimit *prometheus.GaugeVec

	mu sync.Mutex
	// By route.
	accounts map[string]*routeAccount
	// Until then room is short, as this front or another has seen.
	nearLimitUntil, peerNearLimitUntil time.Time
}

// New returns a ledger. The states of the jobs tell which entries are left over.
func New(store trail.StaleStore, jobStates trail.JobStates, logger log.Interface, registry prometheus.Registerer) *Ledger {
	g := func(name, help string) *prometheus.GaugeVec {
		return promauto.With(registry).NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"route"})
	}
	return &Ledger{
		store: store, jobStates: jobStates, logger: logger, accounts: map[string]*routeAccount{},
		usedTokens: g("bulrushtrail_quota_waiting_tokens", "Tokens of unfinished batch items on a route, as this front last read or wrote them."),
		tokenLimit: g("bulrushtrail_quota_limit_tokens", "Limit of the waiting tokens on a route."),
	}
}

// Reserve makes room for a job with so many tokens on a route, and returns nil
// once that is kept. The errors have the verdict not-run: "quota-exceeded" with
// the time at which there is room, "quota-unsettled" when c ends first, and that
// of a platform that does not answer.
func (s *Ledger) Reserve(ctx context.Context, route *wire.RouteRule, job string, tokens int64) error {
	w := &reservation{route: route, job: job, tokens: tokens, result: make(chan error, 1)}
	s.mu.Lock()
	b := s.accountOf(route.GetName())
	b.limit = route.GetWaitingTokens()
	b.reservations = append(b.reservations, w)
	s.startWriter(b)
	s.mu.Unlock()
	select {
	case e := <-w.result:
		return e
	case <-ctx.Done():
		return trail.WrapError(ctx.Err(), "quota-unsettled", trail.NotRun, "room for the job was not made in time").At(job).RetryAfter(unavailableRetryAfter)
	}
}

// SetReservation records that a job which this front runs from now on has so many tokens
// waiting, if its route has a limit.
func (s *Ledger) SetReservation(route *wire.RouteRule, job string, tokens int64) {
	if route.GetWaitingTokens() <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.accountOf(route.GetName())
	b.limit = route.GetWaitingTokens()
	b.changes[job] = change{tokens: tokens, mayRaise: true}
	s.scheduleFlush(b)
}

// ReduceReservation records that a job has only so many tokens waiting any more. It does
// nothing for a route on which this front has never reserved or held any.
func (s *Ledger) ReduceReservation(route *wire.RouteRule, job string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.accounts[route.GetName()]
	if b == nil {
		return
	}
	h := b.changes[job].mayRaise
	b.changes[job] = change{tokens: tokens, mayRaise: h && tokens > 0}
	s.scheduleFlush(b)
}

// NearLimit says whether this front has seen lately that room is short.
func (s *Ledger) NearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.nearLimitUntil)
}

// MarkPeerNearLimit takes in that another front has seen that room is short.
func (s *Ledger) MarkPeerNearLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerNearLimitUntil = time.Now().Add(nearLimitDuration)
	for _, b := range s.accounts {
		s.scheduleFlush(b)
	}
}

func (s *Ledger) accountOf(route string) *routeAccount {
	b := s.accounts[route]
	if b == nil {
		b = &routeAccount{route: route, quota: quota.New(nil), changes: map[string]change{}, firstSeen: map[string]time.Time{}}
		s.accounts[route] = b
	}
	return b
}

// startWriter writes the claims and changes of a book; the caller holds the lock.
func (s *Ledger) startWriter(account *routeAccount) {
	if account.writing {
		return
	}
	account.writing = true
	go s.writePending(account)
}

// scheduleFlush writes the changes of a book after a while; the caller holds the
// lock.
func (s *Ledger) scheduleFlush(account *routeAccount) {
	if len(account.changes) == 0 {
		return
	}
	d := flushInterval
	if o := time.Now(); o.Before(s.nearLimitUntil) || o.Before(s.peerNearLimitUntil) {
		d = nearLimitFlushInterval
	}
	a := time.Now().Add(d)
	if !account.flushTime.IsZero() && !a.Before(account.flushTime) {
		return
	}
	account.flushTime = a
	time.AfterFunc(d, func() { s.flush(account, a) })
}

// flush writes the changes of a book if they are still due at a time.
func (s *Ledger) flush(account *routeAccount, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if account.flushTime.Equal(due) && len(account.changes) > 0 {
		s.startWriter(account)
	}
}

// rejectionError is the error of a job for which there is no room.
func (s *Ledger) rejectionError(account *routeAccount, rejected *reservation) error {
	n, l := account.quota.Used(), rejected.route.GetWaitingTokens()
	d := account.quota.RetryAfter(rejected.tokens, l, time.Duration(rejected.route.GetDueMs())*time.Millisecond)
	d += time.Duration(retryAfterJitter * rand.Float64() * float64(d))
	s.logger.WithFields(log.Fields{
		"route": account.route, "job-id": rejected.job, "tokens": rejected.tokens, "waiting-tokens": n, "limit": l,
		"age-ms": time.Since(account.readTime).Milliseconds(), "retry-ms": d.Milliseconds(),
	}).Warn("ledger: job rejected, too many tokens wait on its route")
	return trail.NewError("quota-exceeded", trail.NotRun, "%d of %d tokens wait on route %s, %d more don't fit", n, l, account.route, rejected.tokens).At(rejected.job).RetryAfter(d)
}
