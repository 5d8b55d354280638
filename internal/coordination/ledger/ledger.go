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
	calmPause = 10 * time.Second
	// The same while room is short. With the time in which a front hears so it
	// stays under a second; a shorter one costs conflicts in a large fleet.
	pressedPause = 600 * time.Millisecond
	// Part of the limit above which room is short.
	pressedShare = 0.5
	// Other fronts hear at each heartbeat that room is short.
	pressedTime = time.Second
	// Bound of the time in which changes are written.
	writeTimeout = 2 * time.Second
	// Pause after a call that the platform did not answer.
	retryPause = 60 * time.Millisecond
	// Wait of callers while the platform does not answer.
	unansweredWait = 700 * time.Millisecond
	// Part of the wait that is added at random, so that rejected callers don't
	// return at the same moment.
	spread = 0.5
)

// Ledger is the accounts as this front knows them. Its methods may be called
// from any goroutine.
type Ledger struct {
	store trail.StaleStore
	jobs  trail.JobStates
	l     log.Interface
	used  *prometheus.GaugeVec
	limit *prometheus.GaugeVec

	m sync.Mutex
	// By route.
	books map[string]*book
	// Until then room is short, as this front or another has seen.
	ownPressed, otherPressed time.Time
}

// New returns a ledger. The states of the jobs tell which entries are left over.
func New(store trail.StaleStore, jobs trail.JobStates, l log.Interface, r prometheus.Registerer) *Ledger {
	g := func(name, help string) *prometheus.GaugeVec {
		return promauto.With(r).NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"route"})
	}
	return &Ledger{
		store: store, jobs: jobs, l: l, books: map[string]*book{},
		used:  g("bulrushtrail_quota_waiting_tokens", "Tokens of unfinished batch items on a route, as this front last read or wrote them."),
		limit: g("bulrushtrail_quota_limit_tokens", "Limit of the waiting tokens on a route."),
	}
}

// Reserve makes room for a job with so many tokens on a route, and returns nil
// once that is kept. The errors have the verdict not-run: "quota-exceeded" with
// the time at which there is room, "quota-unsettled" when c ends first, and that
// of a platform that does not answer.
func (s *Ledger) Reserve(c context.Context, u *wire.RouteRule, job string, tokens int64) error {
	w := &claim{u: u, job: job, tokens: tokens, done: make(chan error, 1)}
	s.m.Lock()
	b := s.book(u.GetName())
	b.limit = u.GetWaitingTokens()
	b.claims = append(b.claims, w)
	s.start(b)
	s.m.Unlock()
	select {
	case e := <-w.done:
		return e
	case <-c.Done():
		return trail.WrapError(c.Err(), "quota-unsettled", trail.NotRun, "room for the job was not made in time").At(job).RetryAfter(unansweredWait)
	}
}

// Hold records that a job which this front runs from now on has so many tokens
// waiting, if its route has a limit.
func (s *Ledger) Hold(u *wire.RouteRule, job string, tokens int64) {
	if u.GetWaitingTokens() <= 0 {
		return
	}
	s.m.Lock()
	defer s.m.Unlock()
	b := s.book(u.GetName())
	b.limit = u.GetWaitingTokens()
	b.changes[job] = change{tokens: tokens, hold: true}
	s.schedule(b)
}

// Lower records that a job has only so many tokens waiting any more. It does
// nothing for a route on which this front has never reserved or held any.
func (s *Ledger) Lower(u *wire.RouteRule, job string, tokens int64) {
	s.m.Lock()
	defer s.m.Unlock()
	b := s.books[u.GetName()]
	if b == nil {
		return
	}
	h := b.changes[job].hold
	b.changes[job] = change{tokens: tokens, hold: h && tokens > 0}
	s.schedule(b)
}

// Pressed says whether this front has seen lately that room is short.
func (s *Ledger) Pressed() bool {
	s.m.Lock()
	defer s.m.Unlock()
	return time.Now().Before(s.ownPressed)
}

// Press takes in that another front has seen that room is short.
func (s *Ledger) Press() {
	s.m.Lock()
	defer s.m.Unlock()
	s.otherPressed = time.Now().Add(pressedTime)
	for _, b := range s.books {
		s.schedule(b)
	}
}

func (s *Ledger) book(route string) *book {
	b := s.books[route]
	if b == nil {
		b = &book{route: route, account: quota.New(nil), changes: map[string]change{}, seen: map[string]time.Time{}}
		s.books[route] = b
	}
	return b
}

// start writes the claims and changes of a book; the caller holds the lock.
func (s *Ledger) start(b *book) {
	if b.writing {
		return
	}
	b.writing = true
	go s.write(b)
}

// schedule writes the changes of a book after a while; the caller holds the
// lock.
func (s *Ledger) schedule(b *book) {
	if len(b.changes) == 0 {
		return
	}
	d := calmPause
	if o := time.Now(); o.Before(s.ownPressed) || o.Before(s.otherPressed) {
		d = pressedPause
	}
	a := time.Now().Add(d)
	if !b.due.IsZero() && !a.Before(b.due) {
		return
	}
	b.due = a
	time.AfterFunc(d, func() { s.flush(b, a) })
}

// flush writes the changes of a book if they are still due at a time.
func (s *Ledger) flush(b *book, due time.Time) {
	s.m.Lock()
	defer s.m.Unlock()
	if b.due.Equal(due) && len(b.changes) > 0 {
		s.start(b)
	}
}

// rejected is the error of a job for which there is no room.
func (s *Ledger) rejected(b *book, w *claim) error {
	n, l := b.account.Used(), w.u.GetWaitingTokens()
	d := b.account.Wait(w.tokens, l, time.Duration(w.u.GetDueMs())*time.Millisecond)
	d += time.Duration(spread * rand.Float64() * float64(d))
	s.l.WithFields(log.Fields{
		"route": b.route, "job-id": w.job, "tokens": w.tokens, "waiting-tokens": n, "limit": l,
		"age-ms": time.Since(b.read).Milliseconds(), "retry-ms": d.Milliseconds(),
	}).Warn("ledger: job rejected, too many tokens wait on its route")
	return trail.NewError("quota-exceeded", trail.NotRun, "%d of %d tokens wait on route %s, %d more don't fit", n, l, b.route, w.tokens).At(w.job).RetryAfter(d)
}
