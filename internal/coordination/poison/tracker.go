package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Number of different backend servers that must crash while running a
	// request before it is rejected.
	rejectThreshold = 2
	// Time for which a request is rejected after its last crash. It doubles with
	// each crash beyond the threshold.
	minRejection = 30 * time.Second
	maxRejection = 8 * time.Minute
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
	// When evictSuspects last scanned the entries.
	lastSweep time.Time
}

// entry holds the crashes of one fingerprint.
type entry struct {
	fingerprint uint64
	// Names of the crashed backend servers, without duplicates.
	hosts []string
	// Last crash seen by this process or reported by another one.
	lastCrash time.Time
	// Zero before the first rejection.
	rejectedUntil time.Time
	// Whether this process observed a crash itself, as opposed to having
	// received all of them from other processes.
	local bool
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{entries: map[uint64]*entry{}} }

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
	k.rejectedUntil = rejectionEnd(k.hosts, now)
	return k.isRejected(now)
}

// rejectionEnd returns when the rejection of a request ends that has crashed
// hosts, the last one at a given time; zero if these are too few.
func rejectionEnd(hosts []string, lastCrash time.Time) time.Time {
	n := len(hosts) - rejectThreshold
	if n < 0 {
		return time.Time{}
	}
	return lastCrash.Add(rejection(n))
}

func (k *entry) isRejected(now time.Time) bool { return k != nil && now.Before(k.rejectedUntil) }

// ClearSuspect removes a suspect whose request has completed. A request that is
// rejected now stays rejected.
func (t *Tracker) ClearSuspect(now time.Time, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	if k == nil || k.isRejected(now) {
		return
	}
	delete(t.entries, fingerprint)
}

// RejectedUntil returns when the rejection of a request ends, and whether the
// request is rejected now.
func (t *Tracker) RejectedUntil(now time.Time, fingerprint uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	if !k.isRejected(now) {
		return time.Time{}, false
	}
	return k.rejectedUntil, true
}

// IsSuspect reports whether a host crashed while running the request, and the
// request has neither completed since nor is rejected now.
func (t *Tracker) IsSuspect(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	return k != nil && !k.isRejected(now)
}

// CrashedHosts returns the names of the hosts that crashed while running the
// request. Once a rejection has ended, they have long started again and there
// are none.
func (t *Tracker) CrashedHosts(now time.Time, fingerprint uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entries[fingerprint]
	if k == nil || !k.rejectedUntil.IsZero() && !k.isRejected(now) {
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
		c := lastCrash(now, w)
		if now.Sub(c) > suspectRetention {
			continue
		}
		k := t.entries[w.GetFingerprint()]
		if k == nil {
			k = &entry{fingerprint: w.GetFingerprint(), lastCrash: c}
			t.entries[k.fingerprint] = k
		}
		if c.After(k.lastCrash) {
			k.lastCrash = c
		}
		for _, h := range w.GetHosts() {
			if !slices.Contains(k.hosts, h) {
				k.hosts = append(k.hosts, h)
			}
		}
		k.rejectedUntil = rejectionEnd(k.hosts, k.lastCrash)
	}
}

// lastCrash returns the time of the last crash that another process reports. It
// is never later than now.
func lastCrash(now time.Time, crash *wire.Crash) time.Time {
	if crash.GetLastUnixMs() == 0 {
		return now
	}
	return now.Add(-max(now.Sub(time.UnixMilli(crash.GetLastUnixMs())), 0))
}

// RejectionLeft returns for how long a rejection that the platform holds is still
// in force, 0 if it has ended.
func RejectionLeft(now time.Time, crash *wire.Crash) time.Duration {
	if !crash.GetRejected() {
		return 0
	}
	return max(rejection(len(crash.GetHosts())-rejectThreshold)-now.Sub(lastCrash(now, crash)), 0)
}

// rejection returns the duration of a rejection, by the number of crashes beyond
// the threshold.
func rejection(further int) time.Duration {
	return min(minRejection<<min(max(further, 0), 8), maxRejection)
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
			Rejected:    proto.Bool(!k.rejectedUntil.IsZero()),
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
		if k.isRejected(now) {
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
