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
	// An account that was read longer ago is refreshed before an update, because
	// other fronts may have changed it.
	refreshAge = 100 * time.Millisecond
	// Minimum time between two searches for stale entries.
	cleanupInterval = 2 * time.Second
	// An entry without a stored job may belong to a job that is being accepted. It
	// counts as stale once this process has seen it for longer than this.
	acceptGracePeriod = 30 * time.Second
)

// routeAccount is one account, with the reservations and changes
// that are not written yet.
type routeAccount struct {
	accountKey
	// Name of its object.
	object string
	// Limit of waiting tokens, by the route that was last passed in.
	limit int64
	// Reservations that have no result yet.
	reservations []*reservation
	// Changes that are not written yet, by job.
	changes map[string]change
	// When the changes will be written, zero if that is not scheduled.
	flushTime time.Time
	// A goroutine writes the reservations and changes. The fields below are used
	// by that goroutine only.
	writing bool
	// As last read or written.
	quota   *quota.Account
	version int64
	// Whether version is the object's current one, as far as known. Version 0
	// stands for an object that does not exist.
	versionKnown bool
	readTime     time.Time
	// When stale entries were last searched for.
	cleanupTime time.Time
	// When this process first saw an entry, by job.
	firstSeen map[string]time.Time
}

// reservation is a pending call of Reserve.
type reservation struct {
	route  *wire.RouteRule
	job    string
	tokens int64
	// Has space for the one result, so that sending it never blocks.
	result chan error
}

// change is the new state of an entry.
type change struct {
	tokens int64
	// Whether the entry may be created or raised, and not only lowered.
	mayRaise bool
}

// updateBatch holds the reservations and changes that one update of an account
// writes.
type updateBatch struct {
	reservations []*reservation
	changes      map[string]change
	// Reservations that did not fit when the batch was last applied.
	rejected  []*reservation
	limit     int64
	startTime time.Time
}

// writePending writes reservations and changes until none are pending.
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

// nextBatch takes all pending reservations and changes. It returns nil, and ends
// the writing, if there are no reservations and no changes are due.
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

// commit writes a batch to the account's object. It retries until it succeeds or
// ctx ends.
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

// errAccountChanged means that the batch must be applied again to a newer copy of
// the account.
var errAccountChanged = errors.New("quota account has changed")

// loadAccount reads the account unless its version is known. If a known version
// may be outdated, it is refreshed by a stale read, which costs less than an
// update conflict.
func (s *Ledger) loadAccount(ctx context.Context, account *routeAccount) error {
	if account.versionKnown {
		if time.Since(account.readTime) > refreshAge {
			s.refreshFromStale(ctx, account)
		}
		return nil
	}
	o := time.Now()
	v, e := s.store.Get(ctx, Kind, account.object)
	if errors.Is(e, trail.ErrNotFound) {
		account.setQuota(o, quota.New(nil), 0)
		return nil
	}
	if e != nil {
		return e
	}
	return account.decode(o, v)
}

// refreshFromStale replaces the account by a copy that may be stale, if that one
// is newer. Without a copy the known account stays.
func (s *Ledger) refreshFromStale(ctx context.Context, account *routeAccount) {
	o := account.readTime
	v, e := s.store.GetStale(ctx, Kind, account.object)
	if e == nil && v.Version() > account.version {
		// The copy may be as old as the last read, so the read time stays.
		e = account.decode(o, v)
	}
	if e != nil && !errors.Is(e, trail.ErrNotFound) {
		s.logger.WithError(e).WithFields(account.fields()).Debug("ledger: stale read of a quota account failed")
	}
}

// decode sets the account to the one that a stored object holds, as read at now.
func (b *routeAccount) decode(now time.Time, stored object.Object) error {
	v := &wire.QuotaAccount{}
	e := stored.Decode(v)
	if e != nil {
		return errors.Wrap(e, "decode quota account")
	}
	b.setQuota(now, quota.New(v), stored.Version())
	return nil
}

// setQuota sets the account to one that was read or written at now, and records
// which entries are seen for the first time.
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

// applyBatch applies a batch to the known account and stores the result.
func (s *Ledger) applyBatch(ctx context.Context, account *routeAccount, batch *updateBatch) error {
	a := quota.New(account.quota.Value())
	batch.apply(a)
	if account.readTime.Before(batch.startTime) && (len(batch.rejected) > 0 || len(batch.reservations) > 0 && !a.Changed()) {
		// Before a rejection, and before a reservation whose job has an entry
		// already and so needs no write, the account must be read again: other
		// fronts may have released tokens or removed that entry since.
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
		// The removal of stale entries was not stored: search again at once.
		account.cleanupTime = time.Time{}
	}
	return e
}

// storeAccount replaces the account's object if it has still the known version.
func (s *Ledger) storeAccount(ctx context.Context, account *routeAccount, quotaAccount *quota.Account) error {
	v, e := object.Encode(Kind, account.object, account.version, quotaAccount.Value())
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
		// The conflict response holds the current object.
		return errAccountChanged
	}
	if errors.Is(e, trail.ErrConflict) || errors.Is(e, trail.ErrExists) {
		account.versionKnown = false
		return errAccountChanged
	}
	return e
}

// apply applies the changes and then the reservations that fit. It replaces the
// list of those that don't.
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

// nearLimitAfter returns whether the quota is near its limit after a batch has
// been applied.
func (s *Ledger) nearLimitAfter(batch *updateBatch, quotaAccount *quota.Account) bool {
	return len(batch.rejected) > 0 || batch.limit > 0 && float64(quotaAccount.Used()) > nearLimitRatio*float64(batch.limit)
}

// removeStaleEntries removes the entries of jobs that have ended and of jobs that
// were never accepted. It returns whether there were any. Entries that this
// update adds are not in firstSeen and are kept.
func (s *Ledger) removeStaleEntries(ctx context.Context, account *routeAccount, quotaAccount *quota.Account) bool {
	o := time.Now()
	if o.Sub(account.cleanupTime) < cleanupInterval {
		return false
	}
	account.cleanupTime = o
	m, e := s.jobStates.States(ctx)
	if e != nil {
		s.logger.WithError(e).WithFields(account.fields()).Warn("ledger: search for stale entries failed, states of jobs are not available")
		return false
	}
	d := false
	for _, j := range quotaAccount.Jobs() {
		w, k := m[j]
		t, h := account.firstSeen[j]
		// An entry stays if its job is open, if this update adds it, or if its job
		// may still be being accepted.
		if w || !h || !k && o.Sub(t) < acceptGracePeriod {
			continue
		}
		s.logger.WithFields(account.fields()).WithField("job-id", j).Info("ledger: entry of a job that does not wait any more removed")
		quotaAccount.Lower(j, 0)
		d = true
	}
	return d
}

// finishBatch sends the results of the reservations. Changes that were not written
// become pending again, unless newer ones of the same job have replaced them.
func (s *Ledger) finishBatch(account *routeAccount, batch *updateBatch, cause error) {
	for _, q := range batch.reservations {
		switch {
		case cause != nil:
			q.result <- trail.WrapError(cause, trail.CodeOf(cause), trail.NotRun, "reservation was not stored").WithPlace(q.job).WithRetryAfter(unavailableRetryAfter)
		case batch.isRejected(q):
			q.result <- s.rejectionError(account, q)
		default:
			q.result <- nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause != nil {
		s.logger.WithError(cause).WithFields(account.fields()).Warn("ledger: account not written, the platform does not answer")
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

// recordUsage sets the metrics of the account, and records if the quota is near
// its limit; the caller holds the lock.
func (s *Ledger) recordUsage(account *routeAccount, batch *updateBatch) {
	s.usedTokens.WithLabelValues(account.route, account.team).Set(float64(account.quota.Used()))
	s.tokenLimit.WithLabelValues(account.route, account.team).Set(float64(batch.limit))
	if s.nearLimitAfter(batch, account.quota) {
		s.nearLimitUntil = time.Now().Add(nearLimitDuration)
	}
}
