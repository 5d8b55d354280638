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
	freshTime = 100 * time.Millisecond
	// Least time between two looks for entries that are left over.
	cleanPause = 2 * time.Second
	// An entry whose job is not found belongs to one that is being accepted,
	// unless this process has seen it for so long.
	acceptTime = 30 * time.Second
)

// book is one route's account.
type book struct {
	route string
	// Most tokens that may wait, as last told.
	limit int64
	// Claims that wait for an answer.
	claims []*claim
	// Changes that are not written yet, by job.
	changes map[string]change
	// When the changes are written, zero when that is not planned.
	due time.Time
	// A goroutine writes claims and changes. It alone uses what follows.
	writing bool
	// As last read or written.
	account *quota.Account
	version int64
	// Whether the object's present version is known. It may be 0: there is none.
	known bool
	read  time.Time
	// When entries that are left over were last looked for.
	cleaned time.Time
	// When this process first saw an entry, by job.
	seen map[string]time.Time
}

// claim is a job that asks for room on a route.
type claim struct {
	u   *wire.RouteRule
	job string
	// Tokens of its items.
	tokens int64
	// Holds one result.
	done chan error
}

// change is what an entry becomes.
type change struct {
	tokens int64
	// The entry is made or raised if need be.
	hold bool
}

// pending is what one update of an account has to carry.
type pending struct {
	claims  []*claim
	changes map[string]change
	// Claims without room, as of the last look.
	refused []*claim
	limit   int64
	began   time.Time
}

// write carries out claims and changes until there are none left.
func (s *Ledger) write(b *book) {
	for {
		w := s.next(b)
		if w == nil {
			return
		}
		c, f := context.WithTimeout(context.Background(), writeTimeout)
		e := s.settle(c, b, w)
		f()
		s.conclude(b, w, e)
	}
}

// next takes the claims and changes at hand, nil when there are none.
func (s *Ledger) next(b *book) *pending {
	s.m.Lock()
	defer s.m.Unlock()
	if len(b.claims) == 0 && (len(b.changes) == 0 || time.Now().Before(b.due)) {
		b.writing = false
		return nil
	}
	w := &pending{claims: b.claims, changes: b.changes, limit: b.limit, began: time.Now()}
	b.claims = nil
	b.changes = map[string]change{}
	b.due = time.Time{}
	return w
}

// settle makes the account hold the changes and the claims that fit.
func (s *Ledger) settle(c context.Context, b *book, w *pending) error {
	for {
		e := s.load(c, b)
		if e == nil {
			e = s.update(c, b, w)
		}
		if e == nil {
			return nil
		}
		if errors.Is(e, errAgain) {
			continue
		}
		b.known = false
		t := time.NewTimer(retryPause)
		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()
			return e
		}
	}
}

// errAgain means that the account is decided on once more, by a newer copy.
var errAgain = errors.New("account has changed")

// load reads the account unless its version is known. If it may have changed
// since, a copy of the platform's is cheaper than a conflict.
func (s *Ledger) load(c context.Context, b *book) error {
	if b.known {
		if time.Since(b.read) > freshTime {
			s.catchUp(c, b)
		}
		return nil
	}
	o := time.Now()
	v, e := s.store.Get(c, Kind, b.route)
	if errors.Is(e, trail.ErrNotFound) {
		b.take(o, quota.New(nil), 0)
		return nil
	}
	if e != nil {
		return e
	}
	return b.decode(o, v)
}

// catchUp takes in a copy of the account that may be old, if it is newer than
// what is known.
func (s *Ledger) catchUp(c context.Context, b *book) {
	o := b.read
	v, e := s.store.GetStale(c, Kind, b.route)
	if e == nil && v.Version() > b.version {
		// The copy may be as old as the last read.
		e = b.decode(o, v)
	}
	if e != nil && !errors.Is(e, trail.ErrNotFound) {
		s.l.WithError(e).WithField("route", b.route).Debug("ledger: copy of an account not read")
	}
}

func (b *book) decode(now time.Time, o object.Object) error {
	v := &wire.QuotaAccount{}
	e := o.Decode(v)
	if e != nil {
		return errors.Wrap(e, "account of a route")
	}
	b.take(now, quota.New(v), o.Version())
	return nil
}

// take keeps the account as it was read or written.
func (b *book) take(now time.Time, a *quota.Account, version int64) {
	b.account, b.version, b.known, b.read = a, version, true, now
	n := make(map[string]time.Time, len(b.seen))
	for _, j := range a.Jobs() {
		n[j] = now
		if t, k := b.seen[j]; k {
			n[j] = t
		}
	}
	b.seen = n
}

// update decides by the account and makes the decision good.
func (s *Ledger) update(c context.Context, b *book, w *pending) error {
	a := quota.New(b.account.Value())
	w.apply(a)
	if b.read.Before(w.began) && (len(w.refused) > 0 || len(w.claims) > 0 && !a.Changed()) {
		// Others may have made room since, or removed the entry of a claim that
		// has one here.
		b.known = false
		return errAgain
	}
	if s.short(w, a) && s.clean(c, b, a) {
		w.apply(a)
	}
	if !a.Changed() {
		return nil
	}
	e := s.keep(c, b, a)
	if e != nil {
		// What was found left over is looked for again.
		b.cleaned = time.Time{}
	}
	return e
}

// keep replaces the account's object if it is still the one that was read.
func (s *Ledger) keep(c context.Context, b *book, a *quota.Account) error {
	v, e := object.Encode(Kind, b.route, b.version, a.Value())
	if e != nil {
		return e
	}
	o := time.Now()
	if b.version == 0 {
		v, e = s.store.Create(c, v)
	} else {
		v, e = s.store.Update(c, v)
	}
	if e == nil {
		b.take(o, a, v.Version())
		return nil
	}
	if errors.Is(e, trail.ErrConflict) && v.Version() > b.version && b.decode(o, v) == nil {
		// The platform has told what it holds.
		return errAgain
	}
	if errors.Is(e, trail.ErrConflict) || errors.Is(e, trail.ErrExists) {
		b.known = false
		return errAgain
	}
	return e
}

// apply changes the account.
func (w *pending) apply(a *quota.Account) {
	for j, x := range w.changes {
		if x.hold {
			a.Hold(j, x.tokens)
		} else {
			a.Lower(j, x.tokens)
		}
	}
	w.refused = nil
	for _, q := range w.claims {
		if !a.Reserve(q.job, q.tokens, q.u.GetWaitingTokens()) {
			w.refused = append(w.refused, q)
		}
	}
}

// short says whether room is short after a decision.
func (s *Ledger) short(w *pending, a *quota.Account) bool {
	return len(w.refused) > 0 || w.limit > 0 && float64(a.Used()) > pressedShare*float64(w.limit)
}

// clean removes the entries of jobs that have ended, and of those that were
// never accepted. It returns whether there were any.
func (s *Ledger) clean(c context.Context, b *book, a *quota.Account) bool {
	o := time.Now()
	if o.Sub(b.cleaned) < cleanPause {
		return false
	}
	b.cleaned = o
	m, e := s.jobs.States(c)
	if e != nil {
		s.l.WithError(e).WithField("route", b.route).Warn("ledger: entries that are left over not looked for")
		return false
	}
	d := false
	for _, j := range a.Jobs() {
		w, k := m[j]
		t, h := b.seen[j]
		if w || !h || !k && o.Sub(t) < acceptTime {
			continue
		}
		s.l.WithField("route", b.route).WithField("job-id", j).Info("ledger: entry of a job that does not wait any more removed")
		a.Lower(j, 0)
		d = true
	}
	return d
}

// conclude answers the claims. Changes that were not written wait for another
// time, unless newer ones have come.
func (s *Ledger) conclude(b *book, w *pending, cause error) {
	for _, q := range w.claims {
		switch {
		case cause != nil:
			q.done <- trail.WrapError(cause, trail.CodeOf(cause), trail.NotRun, "room for the job was not made").At(q.job).RetryAfter(unansweredWait)
		case w.refuses(q):
			q.done <- s.rejected(b, q)
		default:
			q.done <- nil
		}
	}
	s.m.Lock()
	defer s.m.Unlock()
	if cause != nil {
		s.l.WithError(cause).WithField("route", b.route).Warn("ledger: account not written, the platform does not answer")
		for j, x := range w.changes {
			if _, k := b.changes[j]; !k {
				b.changes[j] = x
			}
		}
	}
	s.report(b, w)
	s.schedule(b)
}

func (w *pending) refuses(q *claim) bool {
	for _, r := range w.refused {
		if r == q {
			return true
		}
	}
	return false
}

// report tells how full the account is; the caller holds the lock.
func (s *Ledger) report(b *book, w *pending) {
	s.used.WithLabelValues(b.route).Set(float64(b.account.Used()))
	s.limit.WithLabelValues(b.route).Set(float64(w.limit))
	if s.short(w, b.account) {
		s.ownPressed = time.Now().Add(pressedTime)
	}
}
