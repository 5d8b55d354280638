package replay

import (
	"maps"
	"slices"
	"time"
)

const (
	// Timeouts of the HTTP client for backend servers.
	connectTimeout   = time.Second
	firstByteTimeout = 10 * time.Second
	nextTokenTimeout = 2 * time.Second
	// Delay until a lost runner is removed from the host list.
	hostListLag = 10 * time.Second
)

// runnerFault is the loss of the runners with the indexes from to to-1, from
// start until end.
type runnerFault struct {
	start, end time.Duration
	from, to   int
	// Whether connections hang instead of breaking, as when the network of a
	// data centre fails.
	unresponsive bool
}

func (r *run) scheduleFault(fault runnerFault) {
	r.figures.outage, r.figures.outageEnd = fault.start, fault.end
	for i := fault.from; i < fault.to; i++ {
		h := r.runners[i]
		r.clock.after(fault.start, func() { r.loseRunner(h, fault.unresponsive) })
		r.clock.after(fault.start+hostListLag, func() { r.apply(r.placer.HostRemoved(r.clock.now, hostName(i))) })
		r.clock.after(fault.end, func() { r.restartRunner(h) })
	}
}

func (r *run) loseRunner(host *hostState, unresponsive bool) {
	host.up = false
	host.unresponsive = unresponsive
	host.lostAt = r.clock.elapsed()
	r.figures.dispatchesByRunner[host.index] = lostRunnerMarker
	r.figures.recordUptime(host.upAt, host.lostAt)
	b := map[string]bool{}
	for _, q := range slices.Concat(host.running, host.waiting) {
		b[q.attempt] = q.firstTokenSent
	}
	host.reset()
	for _, i := range slices.Sorted(maps.Keys(b)) {
		a := r.attempts[i]
		if a == nil {
			continue
		}
		w := r.deployment.latency
		switch {
		case unresponsive && b[i] && a.call.stream:
			w = nextTokenTimeout
		case unresponsive:
			w = a.startedAt + firstByteTimeout - r.clock.elapsed()
		}
		r.clock.after(w, func() { r.failAttempt(a, unresponsive) })
	}
}

func (r *run) restartRunner(host *hostState) {
	host.up = true
	host.upAt = r.clock.elapsed()
	r.apply(r.placer.HostUpdated(r.clock.now, r.deployment.hostEntry(host.index, 1)))
}
