package place

import (
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
)

// runSuspects runs the calls that were running when a host was lost, one at a
// time and each alone on a backend server, so that a second loss shows which
// of them was the cause.
func (p *Place) runSuspects(now time.Time, v *service) {
	for len(v.suspects) > 0 && v.alone == nil {
		k := v.suspects[0]
		if !v.otherPresent(now, k) {
			c := codeLost
			if k.verdict == trail.NotRun {
				// Another scheduler may have a backend server for it.
				c = codeNoServer
			}
			p.reject(k, c, minRetryAfter)
			continue
		}
		s := v.reserve(now, k)
		if s == nil {
			return
		}
		for y := s.youngest(); y != nil; y = s.youngest() {
			p.preempt(now, y, "suspect-runs-alone")
		}
		if len(s.running) > 0 {
			return
		}
		v.suspects = v.suspects[1:]
		v.alone = p.start(now, k, s, "suspect-runs-alone", nil)
	}
}

// reserve returns the backend server that the suspect waits for: the one it
// has already reserved, or the one with the fewest online calls. It takes no
// other work until the suspect has run.
func (v *service) reserve(now time.Time, k *call) *server {
	var m *server
	for _, s := range v.servers {
		if !s.usable(now) || s.lost || slices.Contains(k.tried, s.name) {
			if s.reserved == k {
				s.reserved = nil
			}
			continue
		}
		if s.reserved == k {
			return s
		}
		if s.reserved == nil && (m == nil || s.online < m.online) {
			m = s
		}
	}
	if m != nil {
		m.reserved = k
	}
	return m
}
