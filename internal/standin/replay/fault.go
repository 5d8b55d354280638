package replay

import (
	"maps"
	"slices"
	"time"
)

const (
	// Timeouts of the HTTP client for backend servers.
	connectTimeout = time.Second
	firstTimeout   = 10 * time.Second
	tokenTimeout   = 2 * time.Second
	// The host list shows the loss of a runner after this time.
	hostLag = 10 * time.Second
)

// fault is the loss of the runners from to to-1 from one time to another.
type fault struct {
	at, until time.Duration
	from, to  int
	// Connections hang, as when the network of a data centre fails.
	silent bool
}

func (r *run) arrange(f fault) {
	r.f.outage, r.f.outageEnd = f.at, f.until
	for i := f.from; i < f.to; i++ {
		h := r.runners[i]
		r.c.after(f.at, func() { r.lose(h, f.silent) })
		r.c.after(f.at+hostLag, func() { r.follow(r.p.HostRemoved(r.c.now, hostName(i))) })
		r.c.after(f.until, func() { r.restart(h) })
	}
}

func (r *run) lose(h *host, silent bool) {
	h.up = false
	h.silent = silent
	h.lostAt = r.c.since()
	r.f.load[h.index] = lostLoad
	r.f.alive(h.upAt, h.lostAt)
	b := map[string]bool{}
	for _, q := range slices.Concat(h.running, h.waiting) {
		b[q.attempt] = q.begun
	}
	h.lose()
	for _, i := range slices.Sorted(maps.Keys(b)) {
		a := r.live[i]
		if a == nil {
			continue
		}
		w := r.d.latency
		switch {
		case silent && b[i] && a.k.stream:
			w = tokenTimeout
		case silent:
			w = a.began + firstTimeout - r.c.since()
		}
		r.c.after(w, func() { r.failed(a, silent) })
	}
}

func (r *run) restart(h *host) {
	h.up = true
	h.upAt = r.c.since()
	r.follow(r.p.HostUpdated(r.c.now, r.d.host(h.index, 1)))
}
