package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// RejectAfter is the default number of crashes at different backend servers
// after which a request is rejected.
const RejectAfter = 2

const (
	// A suspect that is not sent again within this time is forgotten.
	suspectLifetime = 10 * time.Minute
	// Bound on the memory for suspects. The oldest one is forgotten first.
	maxSuspects = 4096
	sweepPeriod = time.Minute
)

// Record holds the crashes by fingerprint. Its methods may be called from any
// goroutine.
type Record struct {
	m       sync.Mutex
	crashes map[uint64]*crash
	// Crashes at different backend servers after which a request is rejected.
	rejectAfter int
	// When old suspects were last removed.
	swept time.Time
}

type crash struct {
	fingerprint uint64
	// Names of different hosts.
	hosts    []string
	last     time.Time
	rejected bool
	// Whether a host was lost here, and not only at other processes.
	own bool
}

// New returns an empty record that rejects a request after so many crashes at
// different backend servers.
func New(rejectAfter int) *Record {
	return &Record{crashes: map[uint64]*crash{}, rejectAfter: rejectAfter}
}

// Crashed counts the loss of a host that was running the request, and returns
// whether the request is rejected from now on.
func (r *Record) Crashed(now time.Time, fingerprint uint64, host string) bool {
	r.m.Lock()
	defer r.m.Unlock()
	k := r.crashes[fingerprint]
	if k == nil {
		r.forget(now)
		k = &crash{fingerprint: fingerprint}
		r.crashes[fingerprint] = k
	}
	k.last = now
	k.own = true
	if !slices.Contains(k.hosts, host) {
		k.hosts = append(k.hosts, host)
	}
	if len(k.hosts) >= r.rejectAfter {
		k.rejected = true
	}
	return k.rejected
}

// Completed clears a suspect. A rejected request stays rejected.
func (r *Record) Completed(fingerprint uint64) {
	r.m.Lock()
	defer r.m.Unlock()
	k := r.crashes[fingerprint]
	if k == nil || k.rejected {
		return
	}
	delete(r.crashes, fingerprint)
}

// Rejected returns whether the request must not run again.
func (r *Record) Rejected(fingerprint uint64) bool {
	r.m.Lock()
	defer r.m.Unlock()
	k := r.crashes[fingerprint]
	return k != nil && k.rejected
}

// Suspect returns whether the request was running when a host was lost and has
// not completed since.
func (r *Record) Suspect(fingerprint uint64) bool {
	r.m.Lock()
	defer r.m.Unlock()
	k := r.crashes[fingerprint]
	return k != nil && !k.rejected
}

// Hosts returns the names of the hosts that were lost while they ran the
// request.
func (r *Record) Hosts(fingerprint uint64) []string {
	r.m.Lock()
	defer r.m.Unlock()
	k := r.crashes[fingerprint]
	if k == nil {
		return nil
	}
	return k.hosts
}

// Merge adds crashes that other processes have seen. A host that both sides
// name counts once.
func (r *Record) Merge(now time.Time, l []*wire.Crash) {
	r.m.Lock()
	defer r.m.Unlock()
	for _, w := range l {
		k := r.crashes[w.GetFingerprint()]
		if k == nil {
			k = &crash{fingerprint: w.GetFingerprint(), last: now}
			r.crashes[k.fingerprint] = k
		}
		for _, h := range w.GetHosts() {
			if !slices.Contains(k.hosts, h) {
				k.hosts = append(k.hosts, h)
			}
		}
		k.rejected = k.rejected || w.GetRejected() || len(k.hosts) >= r.rejectAfter
	}
}

// Crashes returns the records of hosts lost here since a time, in the order of
// their fingerprints.
func (r *Record) Crashes(since time.Time) []*wire.Crash {
	r.m.Lock()
	defer r.m.Unlock()
	var l []*wire.Crash
	for _, k := range r.crashes {
		if !k.own || k.last.Before(since) {
			continue
		}
		m := k.last.UnixMilli()
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

// forget removes old suspects, and the oldest one when there are too many.
func (r *Record) forget(now time.Time) {
	if now.Sub(r.swept) < sweepPeriod && len(r.crashes) < maxSuspects {
		return
	}
	r.swept = now
	var o *crash
	n := 0
	for f, k := range r.crashes {
		if k.rejected {
			continue
		}
		if now.Sub(k.last) > suspectLifetime {
			delete(r.crashes, f)
			continue
		}
		n++
		if o == nil || k.last.Before(o.last) {
			o = k
		}
	}
	if n >= maxSuspects {
		delete(r.crashes, o.fingerprint)
	}
}
