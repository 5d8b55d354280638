package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// DefaultRejectThreshold is the default number of different backend servers
// that must crash while running a request before it is rejected.
const DefaultRejectThreshold = 2

const (
	// A suspect whose last crash is longer ago than this is evicted.
	suspectRetention = 10 * time.Minute
	// Bounds the memory used by suspects. The suspect with the oldest crash is
	// evicted first.
	maxSuspects   = 4096
	sweepInterval = time.Minute
)

// Tracker counts backend server crashes by request fingerprint. It is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	entries map[uint64]*entry
	// Number of different crashed backend servers at which a request is
	// rejected.
	rejectThreshold int
	// When evictSuspects last scanned the entries.
	lastSweep time.Time
}

// entry holds the crashes of one fingerprint.
type entry struct {
	fingerprint uint64
	// Names of the crashed backend servers, without duplicates.
	hosts []string
	// Last crash seen by this process or, in an entry created by Merge, the
	// time of that merge.
	lastCrash time.Time
	rejected  bool
	// Whether this process observed a crash itself, as opposed to having
	// received all of them from other processes.
	local bool
}

// New returns an empty tracker that rejects a request once rejectThreshold
// different backend servers have crashed while running it.
func New(rejectThreshold int) *Tracker {
	return &Tracker{entries: map[uint64]*entry{}, rejectThreshold: rejectThreshold}
}

// AddCrash records that host crashed while it was running the request, and
// returns whether the request is now rejected.
func (t *Tracker) AddCrash(now time.Time, fingerprint uint64, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	if k == nil {
		t.evictSuspects(now)
		k = &entry{fingerprint: fingerprint}
		t.entries[fingerprint] = k
	}
	k.lastCrash = now
	k.local = true
	if !slices.Contains(k.hosts, host) {
		k.hosts = append(k.hosts, host)
	}
	if len(k.hosts) >= t.rejectThreshold {
		k.rejected = true
	}
	return k.rejected
}

// ClearSuspect removes a suspect whose request has completed. A rejected
// request stays rejected.
func (t *Tracker) ClearSuspect(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	if k == nil || k.rejected {
		return
	}
	delete(t.entries, fingerprint)
}

// IsRejected reports whether the request must not run again.
func (t *Tracker) IsRejected(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	return k != nil && k.rejected
}

// IsSuspect reports whether a host crashed while running the request, and the
// request has neither completed since nor been rejected.
func (t *Tracker) IsSuspect(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	return k != nil && !k.rejected
}

// CrashedHosts returns the names of the hosts that crashed while running the
// request.
func (t *Tracker) CrashedHosts(fingerprint uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	if k == nil {
		return nil
	}
	return k.hosts
}

// Merge adds crashes reported by other processes. A host that is already known
// for a fingerprint is not counted again.
func (t *Tracker) Merge(now time.Time, remote []*wire.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range remote {
		k := t.entries[w.GetFingerprint()]
		if k == nil {
			k = &entry{fingerprint: w.GetFingerprint(), lastCrash: now}
			t.entries[k.fingerprint] = k
		}
		for _, h := range w.GetHosts() {
			if !slices.Contains(k.hosts, h) {
				k.hosts = append(k.hosts, h)
			}
		}
		k.rejected = k.rejected || w.GetRejected() || len(k.hosts) >= t.rejectThreshold
	}
}

// LocalCrashes returns the fingerprints for which this process observed a crash
// at or after since, sorted by fingerprint. Their hosts include those received
// from other processes.
func (t *Tracker) LocalCrashes(since time.Time) []*wire.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []*wire.Crash
	for _, k := range t.entries {
		if !k.local || k.lastCrash.Before(since) {
			continue
		}
		m := k.lastCrash.UnixMilli()
		l = append(l, wire.Crash_builder{
			Fingerprint: &k.fingerprint,
			Hosts:       slices.Clone(k.hosts),
			LastUnixMs:  &m,
			Rejected:    &k.rejected,
		}.Build())
	}
	slices.SortFunc(l, func(a, b *wire.Crash) int { return cmp.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return l
}

// evictSuspects removes expired suspects, and if the number of suspects then
// still reaches maxSuspects, the one with the oldest crash. It scans the
// entries once per sweepInterval, and at each call while there are maxSuspects
// entries or more.
func (t *Tracker) evictSuspects(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval && len(t.entries) < maxSuspects {
		return
	}
	t.lastSweep = now
	var o *entry
	n := 0
	for f, k := range t.entries {
		if k.rejected {
			continue
		}
		if now.Sub(k.lastCrash) > suspectRetention {
			delete(t.entries, f)
			continue
		}
		n++
		if o == nil || k.lastCrash.Before(o.lastCrash) {
			o = k
		}
	}
	if n >= maxSuspects {
		delete(t.entries, o.fingerprint)
	}
}
