package quota

import (
	"maps"
	"slices"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Least time after which a rejected job may come again.
const minRetryAfter = 200 * time.Millisecond

// Account is what the jobs of one route have reserved. It is used by one
// goroutine at a time.
type Account struct {
	// Tokens without a result by job, each above 0.
	entries map[string]int64
	// Sum of the entries.
	used int64
	// An entry differs from what the object holds.
	changed bool
}

// New returns the account that an object holds.
func New(stored *wire.QuotaAccount) *Account {
	a := &Account{entries: map[string]int64{}}
	for _, e := range stored.GetEntries() {
		a.set(e.GetJob(), e.GetTokens())
	}
	a.changed = false
	return a
}

// Value returns the account as it is kept.
func (a *Account) Value() *wire.QuotaAccount {
	v := wire.QuotaAccount_builder{}
	for _, j := range slices.Sorted(maps.Keys(a.entries)) {
		n := a.entries[j]
		v.Entries = append(v.Entries, wire.QuotaEntry_builder{Job: &j, Tokens: &n}.Build())
	}
	return v.Build()
}

// Changed says whether any entry differs from the object that the account was
// read from.
func (a *Account) Changed() bool { return a.changed }

// Used returns the tokens that all jobs have reserved.
func (a *Account) Used() int64 { return a.used }

// Jobs returns the names of the jobs with an entry, in order.
func (a *Account) Jobs() []string { return slices.Sorted(maps.Keys(a.entries)) }

// Reserve makes an entry for a new job. It returns false when the tokens don't
// fit the limit. A job with an entry has been let in before.
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

// ForceReserve sets the entry of a job that has been accepted, whatever the limit. Jobs
// may have been accepted before the route had one.
func (a *Account) ForceReserve(job string, tokens int64) { a.set(job, tokens) }

// Lower sets the entry of a job to the tokens that still wait. It never makes or
// raises an entry: a front that was suspended may tell of an old state.
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

// RetryAfter returns when there is room for a job that does not fit. The jobs that
// wait are done within the time until they are due, one after the other.
func (a *Account) RetryAfter(tokens, limit int64, dueIn time.Duration) time.Duration {
	m := a.used + tokens - limit
	if a.used == 0 || m <= 0 {
		return minRetryAfter
	}
	w := time.Duration(float64(dueIn) * float64(m) / float64(a.used))
	return min(max(w, minRetryAfter), dueIn)
}
