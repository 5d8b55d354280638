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

// Kind is the kind of the platform objects that hold the accounts.
const Kind = "batch-quotas"

const (
	// Time after which tokens of finished items are released.
	flushInterval = 10 * time.Second
	// The same while a quota is near its limit. Together with the delay until
	// other fronts receive that state it is under a second. A shorter interval
	// causes update conflicts in a large fleet.
	nearLimitFlushInterval = 600 * time.Millisecond
	// A quota is near its limit when more than this part of it is reserved.
	nearLimitRatio = 0.5
	// How long a quota counts as near its limit after that was seen. Other fronts
	// receive the state with each heartbeat.
	nearLimitDuration = time.Second
	// Timeout of an update with all its retries.
	writeTimeout = 2 * time.Second
	// Delay before a failed call to the platform is retried.
	retryDelay = 60 * time.Millisecond
	// Retry-After time of reservations while the platform is unavailable.
	unavailableRetryAfter = 700 * time.Millisecond
	// Part of the Retry-After time that is added at random, so that rejected
	// callers don't retry at the same moment.
	retryAfterJitter = 0.5
)

// Ledger holds the accounts as this front last read or wrote them, and its
// pending changes. Its methods may be called from any goroutine.
type Ledger struct {
	store      trail.StaleStore
	jobStates  trail.JobStates
	logger     log.Interface
	usedTokens *prometheus.GaugeVec
	tokenLimit *prometheus.GaugeVec

	mu       sync.Mutex
	accounts map[accountKey]*routeAccount
	// Until when a quota counts as near its limit, by what this front or another
	// has seen.
	nearLimitUntil, peerNearLimitUntil time.Time
}

// New returns a ledger without accounts. The states of the jobs show which
// entries are stale.
func New(store trail.StaleStore, jobStates trail.JobStates, logger log.Interface, registry prometheus.Registerer) *Ledger {
	g := func(name, help string) *prometheus.GaugeVec {
		return promauto.With(registry).NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"route", "team"})
	}
	return &Ledger{
		store: store, jobStates: jobStates, logger: logger, accounts: map[accountKey]*routeAccount{},
		usedTokens: g("bulrushtrail_quota_waiting_tokens", "Tokens of unfinished batch items on a route, of one team if there are teams, as this front last read or wrote them."),
		tokenLimit: g("bulrushtrail_quota_limit_tokens", "Limit of the waiting tokens on a route, for each team if there are teams."),
	}
}

// Reserve reserves tokens for a job of a team on a route, and returns nil once the
// reservation is stored. An empty team stands for all jobs of the route that belong to
// no account of a team. Its errors have the verdict not-run: "quota-exceeded"
// with the time after which the tokens are expected to fit, "quota-unsettled" if
// ctx ends first, and the code of the platform's error if the account cannot be
// read or written.
func (s *Ledger) Reserve(ctx context.Context, route *wire.RouteRule, team, job string, tokens int64) error {
	w := &reservation{route: route, job: job, tokens: tokens, result: make(chan error, 1)}
	s.mu.Lock()
	b := s.accountOf(accountKey{route.GetName(), team})
	b.limit = route.GetWaitingTokens()
	b.reservations = append(b.reservations, w)
	s.startWriter(b)
	s.mu.Unlock()
	select {
	case e := <-w.result:
		return e
	case <-ctx.Done():
		return trail.WrapError(ctx.Err(), "quota-unsettled", trail.NotRun, "reservation was not stored in time").WithPlace(job).WithRetryAfter(unavailableRetryAfter)
	}
}

// SetReservation records the waiting tokens of a job that this front runs, if the
// route has a limit. They may exceed the limit, because the job has been accepted
// already.
func (s *Ledger) SetReservation(route *wire.RouteRule, team, job string, tokens int64) {
	if route.GetWaitingTokens() <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.accountOf(accountKey{route.GetName(), team})
	b.limit = route.GetWaitingTokens()
	b.changes[job] = change{tokens: tokens, mayRaise: true}
	s.scheduleFlush(b)
}

// ReduceReservation lowers the reservation of a job to the tokens that are still
// waiting on the route with a name. It does nothing for a team and route for which this
// front has made or set no reservation.
func (s *Ledger) ReduceReservation(route, team, job string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.accounts[accountKey{route, team}]
	if b == nil {
		return
	}
	// A pending SetReservation may still have to create the entry.
	h := b.changes[job].mayRaise
	b.changes[job] = change{tokens: tokens, mayRaise: h && tokens > 0}
	s.scheduleFlush(b)
}

// NearLimit returns whether this front has seen within nearLimitDuration that a
// quota is near its limit.
func (s *Ledger) NearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.nearLimitUntil)
}

// MarkPeerNearLimit records that another front has seen a quota near its limit,
// so that this front releases tokens sooner.
func (s *Ledger) MarkPeerNearLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerNearLimitUntil = time.Now().Add(nearLimitDuration)
	for _, b := range s.accounts {
		s.scheduleFlush(b)
	}
}

// accountOf returns an account; the caller holds the lock.
func (s *Ledger) accountOf(key accountKey) *routeAccount {
	b := s.accounts[key]
	if b == nil {
		b = &routeAccount{accountKey: key, object: key.objectName(), quota: quota.New(nil), changes: map[string]change{}, firstSeen: map[string]time.Time{}}
		s.accounts[key] = b
	}
	return b
}

// startWriter starts a goroutine that writes the pending reservations and changes
// of an account, unless one is running; the caller holds the lock.
func (s *Ledger) startWriter(account *routeAccount) {
	if account.writing {
		return
	}
	account.writing = true
	go s.writePending(account)
}

// scheduleFlush schedules the write of an account's pending changes, unless an
// earlier one is scheduled; the caller holds the lock.
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

// flush writes the pending changes of an account if the write scheduled for due
// has not been replaced by another one.
func (s *Ledger) flush(account *routeAccount, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if account.flushTime.Equal(due) && len(account.changes) > 0 {
		s.startWriter(account)
	}
}

// rejectionError returns the error of a reservation that exceeds the limit.
func (s *Ledger) rejectionError(account *routeAccount, rejected *reservation) error {
	n, l := account.quota.Used(), rejected.route.GetWaitingTokens()
	d := account.quota.RetryAfter(rejected.tokens, l, time.Duration(rejected.route.GetDueMs())*time.Millisecond)
	d += time.Duration(retryAfterJitter * rand.Float64() * float64(d))
	s.logger.WithFields(account.fields()).WithFields(log.Fields{
		"job-id": rejected.job, "tokens": rejected.tokens, "waiting-tokens": n, "limit": l,
		"age-ms": time.Since(account.readTime).Milliseconds(), "retry-ms": d.Milliseconds(),
	}).Warn("ledger: job rejected, too many tokens wait on its route")
	return trail.NewError("quota-exceeded", trail.NotRun, "%d of %d tokens are reserved on route %s, %d more exceed the limit", n, l, account.route, rejected.tokens).WithPlace(rejected.job).WithRetryAfter(d)
}
