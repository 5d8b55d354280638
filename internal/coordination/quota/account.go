package quota

import (
	"maps"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Minimum time after which a rejected job may be submitted again.
const minRetryAfter = 200 * time.Millisecond

// Account holds the tokens that the jobs of one route have reserved. It is not
// safe for concurrent use.
type Account struct {
	// Tokens of items without a result, by job. All values are positive.
	entries map[string]int64
	// Sum of the entries.
	used int64
	// Some entry differs from the stored object.
	changed bool
}

// New returns the account held in a stored object.
func New(stored *wire.QuotaAccount) *Account {
	a := &Account{entries: map[string]int64{}}
	for _, e := range stored.GetEntries() {
		a.set(e.GetJob(), e.GetTokens())
	}
	a.changed = false
	return a
}

// Value returns the account as it is stored.
func (a *Account) Value() *wire.QuotaAccount {
	v := wire.QuotaAccount_builder{}
	for _, j := range slices.Sorted(maps.Keys(a.entries)) {
		n := a.entries[j]
		v.Entries = append(v.Entries, wire.QuotaEntry_builder{Job: &j, Tokens: &n}.Build())
	}
	return v.Build()
}

// Changed reports whether any entry has been changed since the account was read
// from its object.
func (a *Account) Changed() bool { return a.changed }

// Used returns the tokens reserved by all jobs.
func (a *Account) Used() int64 { return a.used }

// Jobs returns the sorted names of the jobs with an entry.
func (a *Account) Jobs() []string { return slices.Sorted(maps.Keys(a.entries)) }

// Reserve adds an entry for a new job. It returns false if the tokens would
// exceed the limit. A job that already has an entry was admitted before, and
// Reserve returns true.
func (a *Account) Reserve(job string, tokens, limit int64) bool {
	if _, k := a.entries[job]; k {
		return true
	}
	if a.used+tokens > limit {
		return false
	}
	a.set(job, tokens)
	return true
}

// ForceReserve sets the entry of an accepted job regardless of the limit. Jobs
// may have been accepted before the route had a limit.
func (a *Account) ForceReserve(job string, tokens int64) { a.set(job, tokens) }

// Lower reduces the entry of a job to the tokens of its unfinished items. It never
// adds or raises an entry, since a front that was suspended may report an old
// state.
func (a *Account) Lower(job string, tokens int64) {
	if tokens < a.entries[job] {
		a.set(job, tokens)
	}
}

func (a *Account) set(job string, tokens int64) {
	if a.entries[job] == max(tokens, 0) {
		return
	}
	a.changed = true
	a.used -= a.entries[job]
	delete(a.entries, job)
	if tokens > 0 {
		a.entries[job] = tokens
		a.used += tokens
	}
}

// RetryAfter estimates after which time a rejected job fits the limit. It assumes
// that the reserved tokens are freed at a constant rate within dueIn, the time in
// which the jobs of the route are due.
func (a *Account) RetryAfter(tokens, limit int64, dueIn time.Duration) time.Duration {
	m := a.used + tokens - limit
	if a.used == 0 || m <= 0 {
		return minRetryAfter
	}
	w := time.Duration(float64(dueIn) * float64(m) / float64(a.used))
	return min(max(w, minRetryAfter), dueIn)
}
