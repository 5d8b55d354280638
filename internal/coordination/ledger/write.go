package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/quota"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Others may have changed an account that was read longer ago.
	refreshAge = 100 * time.Millisecond
	// Least time between two looks for entries that are left over.
	cleanupInterval = 2 * time.Second
	// An entry whose job is not found belongs to one that is being accepted,
	// unless this process has seen it for so long.
	acceptGracePeriod = 30 * time.Second
)

// routeAccount is one route's account.
type routeAccount struct {
	route string
	// Most tokens that may wait, as last told.
	limit int64
	// Claims that wait for an answer.
	reservations []*reservation
	// Changes that are not written yet, by job.
	changes map[string]change
	// When the changes are written, zero when that is not planned.
	flushTime time.Time
	// A goroutine writes claims and changes. It alone uses what follows.
	writing bool
	// As last read or written.
	quota   *quota.Account
	version int64
	// Whether the object's present version is known. It may be 0: there is none.
	versionKnown bool
	readTime     time.Time
	// When entries that are left over were last looked for.
	cleanupTime time.Time
	// When this process first saw an entry, by job.
	firstSeen map[string]time.Time
}

// reservation is a job that asks for room on a route.
type reservation struct {
	route *wire.RouteRule
	job   string
	// Tokens of its items.
	tokens int64
	// Holds one result.
	result chan error
}

// change is what an entry becomes.
type change struct {
	tokens int64
	// The entry is made or raised if need be.
	mayRaise bool
}

// updateBatch is what one update of an account has to carry.
type updateBatch struct {
	reservations []*reservation
	changes      map[string]change
	// Claims without room, as of the last look.
	rejected  []*reservation
	limit     int64
	startTime time.Time
}

// writePending carries out claims and changes until there are none left.
func (s *Ledger) writePending(account *routeAccount) {
	for {
		w := s.nextBatch(account)
		if w == nil {
			return
		}
		c, f := context.WithTimeout(context.Background(), writeTimeout)
		e := s.commit(c, account, w)
		f()
		s.finishBatch(account, w, e)
	}
}

// nextBatch takes the claims and changes at hand, nil when there are none.
func (s *Ledger) nextBatch(account *routeAccount) *updateBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(account.reservations) == 0 && (len(account.changes) == 0 || time.Now().Before(account.flushTime)) {
		account.writing = false
		return nil
	}
	w := &updateBatch{reservations: account.reservations, changes: account.changes, limit: account.limit, startTime: time.Now()}
	account.reservations = nil
	account.changes = map[string]change{}
	account.flushTime = time.Time{}
	return w
}

// commit makes the account hold the changes and the claims that fit.
func (s *Ledger) commit(ctx context.Context, account *routeAccount, batch *updateBatch) error {
	for {
		e := s.loadAccount(ctx, account)
		if e == nil {
			e = s.applyBatch(ctx, account, batch)
		}
		if e == nil {
			return nil
		}
		if errors.Is(e, errAccountChanged) {
			continue
		}
		account.versionKnown = false
		t := time.NewTimer(retryDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return e
		}
	}
}

// errAccountChanged means that the account is decided on once more, by a newer copy.
var errAccountChanged = errors.New("account has changed")

// loadAccount reads the account unless its version is known. If it may have changed
// since, a copy of the platform's is cheaper than a conflict.
func (s *Ledger) loadAccount(ctx context.Context, account *routeAccount) error {
	if account.versionKnown {
		if time.Since(account.readTime) > refreshAge {
			s.refreshFromStale(ctx, account)
		}
		return nil
	}
	o := time.Now()
	v, e := s.store.Get(ctx, Kind, account.route)
	if errors.Is(e, trail.ErrNotFound) {
		account.setQuota(o, quota.New(nil), 0)
		return nil
	}
	if e != nil {
		return e
	}
	return account.decode(o, v)
}

// refreshFromStale takes in a copy of the account that may be old, if it is newer than
// what is known.
func (s *Ledger) refreshFromStale(ctx context.Context, account *routeAccount) {
	o := account.readTime
	v, e := s.store.GetStale(ctx, Kind, account.route)
	if e == nil && v.Version() > account.version {
		// The copy may be as old as the last read.
		e = account.decode(o, v)
	}
	if e != nil && !errors.Is(e, trail.ErrNotFound) {
		s.logger.WithError(e).WithField("route", account.route).Debug("ledger: copy of an account not read")
	}
}

func (b *routeAccount) decode(now time.Time, stored object.Object) error {
	v := &wire.QuotaAccount{}
	e := stored.Decode(v)
	if e != nil {
		return errors.Wrap(e, "account of a route")
	}
	b.setQuota(now, quota.New(v), stored.Version())
	return nil
}

// setQuota keeps the account as it was read or written.
func (b *routeAccount) setQuota(now time.Time, quotaAccount *quota.Account, version int64) {
	b.quota, b.version, b.versionKnown, b.readTime = quotaAccount, version, true, now
	n := make(map[string]time.Time, len(b.firstSeen))
	for _, j := range quotaAccount.Jobs() {
		n[j] = now
		if t, k := b.firstSeen[j]; k {
			n[j] = t
		}
	}
	b.firstSeen = n
}

// applyBatch decides by the account and makes the decision good.
func (s *Ledger) applyBatch(ctx context.Context, account *routeAccount, batch *updateBatch) error {
	a := quota.New(account.quota.Value())
	batch.apply(a)
	if account.readTime.Before(batch.startTime) && (len(batch.rejected) > 0 || len(batch.reservations) > 0 && !a.Changed()) {
		// Others may have made room since, or removed the entry of a claim that
		// has one here.
		account.versionKnown = false
		return errAccountChanged
	}
	if s.nearLimitAfter(batch, a) && s.removeStaleEntries(ctx, account, a) {
		batch.apply(a)
	}
	if !a.Changed() {
		return nil
	}
	e := s.storeAccount(ctx, account, a)
	if e != nil {
		// What was found left over is looked for again.
		account.cleanupTime = time.Time{}
	}
	return e
}

// storeAccount replaces the account's object if it is still the one that was read.
func (s *Ledger) storeAccount(ctx context.Context, account *routeAccount, quotaAccount *quota.Account) error {
	v, e := object.Encode(Kind, account.route, account.version, quotaAccount.Value())
	if e != nil {
		return e
	}
	o := time.Now()
	if account.version == 0 {
		v, e = s.store.Create(ctx, v)
	} else {
		v, e = s.store.Update(ctx, v)
	}
	if e == nil {
		account.setQuota(o, quotaAccount, v.Version())
		return nil
	}
	if errors.Is(e, trail.ErrConflict) && v.Version() > account.version && account.decode(o, v) == nil {
		// The platform has told what it holds.
		return errAccountChanged
	}
	if errors.Is(e, trail.ErrConflict) || errors.Is(e, trail.ErrExists) {
		account.versionKnown = false
		return errAccountChanged
	}
	return e
}

// apply changes the account.
func (w *updateBatch) apply(quotaAccount *quota.Account) {
	for j, x := range w.changes {
		if x.mayRaise {
			quotaAccount.ForceReserve(j, x.tokens)
		} else {
			quotaAccount.Lower(j, x.tokens)
		}
	}
	w.rejected = nil
	for _, q := range w.reservations {
		if !quotaAccount.Reserve(q.job, q.tokens, q.route.GetWaitingTokens()) {
			w.rejected = append(w.rejected, q)
		}
	}
}

// nearLimitAfter says whether room is short after a decision.
func (s *Ledger) nearLimitAfter(batch *updateBatch, quotaAccount *quota.Account) bool {
	return len(batch.rejected) > 0 || batch.limit > 0 && float64(quotaAccount.Used()) > nearLimitRatio*float64(batch.limit)
}

// removeStaleEntries removes the entries of jobs that have ended, and of those that were
// never accepted. It returns whether there were any.
func (s *Ledger) removeStaleEntries(ctx context.Context, account *routeAccount, quotaAccount *quota.Account) bool {
	o := time.Now()
	if o.Sub(account.cleanupTime) < cleanupInterval {
		return false
	}
	account.cleanupTime = o
	m, e := s.jobStates.States(ctx)
	if e != nil {
		s.logger.WithError(e).WithField("route", account.route).Warn("ledger: entries that are left over not looked for")
		return false
	}
	d := false
	for _, j := range quotaAccount.Jobs() {
		w, k := m[j]
		t, h := account.firstSeen[j]
		if w || !h || !k && o.Sub(t) < acceptGracePeriod {
			continue
		}
		s.logger.WithField("route", account.route).WithField("job-id", j).Info("ledger: entry of a job that does not wait any more removed")
		quotaAccount.Lower(j, 0)
		d = true
	}
	return d
}

// finishBatch answers the claims. Changes that were not written wait for another
// time, unless newer ones have come.
func (s *Ledger) finishBatch(account *routeAccount, batch *updateBatch, cause error) {
	for _, q := range batch.reservations {
		switch {
		case cause != nil:
			q.result <- trail.WrapError(cause, trail.CodeOf(cause), trail.NotRun, "room for the job was not made").At(q.job).RetryAfter(unavailableRetryAfter)
		case batch.isRejected(q):
			q.result <- s.rejectionError(account, q)
		default:
			q.result <- nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause != nil {
		s.logger.WithError(cause).WithField("route", account.route).Warn("ledger: account not written, the platform does not answer")
		for j, x := range batch.changes {
			if _, k := account.changes[j]; !k {
				account.changes[j] = x
			}
		}
	}
	s.recordUsage(account, batch)
	s.scheduleFlush(account)
}

func (w *updateBatch) isRejected(requested *reservation) bool {
	for _, r := range w.rejected {
		if r == requested {
			return true
		}
	}
	return false
}

// recordUsage tells how full the account is; the caller holds the lock.
func (s *Ledger) recordUsage(account *routeAccount, batch *updateBatch) {
	s.usedTokens.WithLabelValues(account.route).Set(float64(account.quota.Used()))
	s.tokenLimit.WithLabelValues(account.route).Set(float64(batch.limit))
	if s.nearLimitAfter(batch, account.quota) {
		s.nearLimitUntil = time.Now().Add(nearLimitDuration)
	}
}
