package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// DefaultRejectThreshold is the default number of crashes at different backend servers
// after which a request is rejected.
const DefaultRejectThreshold = 2

const (
	// A suspect that is not sent again within this time is forgotten.
	suspectRetention = 10 * time.Minute
	// Bound on the memory for suspects. The oldest one is forgotten first.
	maxSuspects   = 4096
	sweepInterval = time.Minute
)

// Tracker holds the crashes by fingerprint. Its methods may be called from any
// goroutine.
type Tracker struct {
	mu      sync.Mutex
	entries map[uint64]*entry
	// Crashes at different backend servers after which a request is rejected.
	rejectThreshold int
	// When old suspects were last removed.
	lastSweep time.Time
}

type entry struct {
	fingerprint uint64
	// Names of different hosts.
	hosts     []string
	lastCrash time.Time
	rejected  bool
	// Whether a host was lost here, and not only at other processes.
	local bool
}

// New returns an empty record that rejects a request after so many crashes at
// different backend servers.
func New(rejectThreshold int) *Tracker {
	return &Tracker{entries: map[uint64]*entry{}, rejectThreshold: rejectThreshold}
}

// AddCrash counts the loss of a host that was running the request, and returns
// whether the request is rejected from now on.
func (r *Tracker) AddCrash(now time.Time, fingerprint uint64, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entries[fingerprint]
	if k == nil {
		r.evictSuspects(now)
		k = &entry{fingerprint: fingerprint}
		r.entries[fingerprint] = k
	}
	k.lastCrash = now
	k.local = true
	if !slices.Contains(k.hosts, host) {
		k.hosts = append(k.hosts, host)
	}
	if len(k.hosts) >= r.rejectThreshold {
		k.rejected = true
	}
	return k.rejected
}

// ClearSuspect clears a suspect. A rejected request stays rejected.
func (r *Tracker) ClearSuspect(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entries[fingerprint]
	if k == nil || k.rejected {
		return
	}
	delete(r.entries, fingerprint)
}

// IsRejected returns whether the request must not run again.
func (r *Tracker) IsRejected(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entries[fingerprint]
	return k != nil && k.rejected
}

// IsSuspect returns whether the request was running when a host was lost and has
// not completed since.
func (r *Tracker) IsSuspect(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entries[fingerprint]
	return k != nil && !k.rejected
}

// CrashedHosts returns the names of the hosts that were lost while they ran the
// request.
func (r *Tracker) CrashedHosts(fingerprint uint64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entries[fingerprint]
	if k == nil {
		return nil
	}
	return k.hosts
}

// Merge adds crashes that other processes have seen. A host that both sides
// name counts once.
func (r *Tracker) Merge(now time.Time, remote []*wire.Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range remote {
		k := r.entries[w.GetFingerprint()]
		if k == nil {
			k = &entry{fingerprint: w.GetFingerprint(), lastCrash: now}
			r.entries[k.fingerprint] = k
		}
		for _, h := range w.GetHosts() {
			if !slices.Contains(k.hosts, h) {
				k.hosts = append(k.hosts, h)
			}
		}
		k.rejected = k.rejected || w.GetRejected() || len(k.hosts) >= r.rejectThreshold
	}
}

// LocalCrashes returns the records of hosts lost here since a time, in the order of
// their fingerprints.
func (r *Tracker) LocalCrashes(since time.Time) []*wire.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []*wire.Crash
	for _, k := range r.entries {
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

// evictSuspects removes old suspects, and the oldest one when there are too many.
func (r *Tracker) evictSuspects(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval && len(r.entries) < maxSuspects {
		return
	}
	r.lastSweep = now
	var o *entry
	n := 0
	for f, k := range r.entries {
		if k.rejected {
			continue
		}
		if now.Sub(k.lastCrash) > suspectRetention {
			delete(r.entries, f)
			continue
		}
		n++
		if o == nil || k.lastCrash.Before(o.lastCrash) {
			o = k
		}
	}
	if n >= maxSuspects {
		delete(r.entries, o.fingerprint)
	}
}
