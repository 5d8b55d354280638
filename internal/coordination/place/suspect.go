package place

import (
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
)

// dispatchSuspects runs the requests that were in flight when a backend server
// was lost. Each runs alone on a backend server, one at a time, so that a
// second loss identifies the request that caused it.
func (p *Placer) dispatchSuspects(now time.Time, service *service) {
	for len(service.suspects) > 0 && service.runningSuspect == nil {
		k := service.suspects[0]
		if !service.hasUntriedServer(now, k) {
			c := codeLost
			if k.verdict == trail.NotRun {
				// The request has not run here; another scheduler may have a
				// backend server for it.
				c = codeNoServer
			}
			p.reject(k, c, minRetryAfter)
			continue
		}
		s := service.reserveServer(now, k)
		if s == nil {
			return
		}
		for y := s.youngestPreemptable(); y != nil; y = s.youngestPreemptable() {
			p.preempt(now, y, "suspect-runs-alone")
		}
		if len(s.inFlight) > 0 {
			return
		}
		service.suspects = service.suspects[1:]
		service.runningSuspect = p.startAttempt(now, k, s, "suspect-runs-alone", nil)
	}
}

// reserveServer returns the backend server reserved for the suspect. If there
// is none yet, it reserves the usable one with the fewest online calls. A
// reserved backend server takes no other work until the suspect has run.
func (v *service) reserveServer(now time.Time, suspect *call) *server {
	var m *server
	for _, s := range v.servers {
		if !s.usable(now) || slices.Contains(suspect.failedHosts, s.name) {
			if s.reservedFor == suspect {
				s.reservedFor = nil
			}
			continue
		}
		if s.reservedFor == suspect {
			return s
		}
		if s.reservedFor == nil && (m == nil || s.onlineInFlight < m.onlineInFlight) {
			m = s
		}
	}
	if m != nil {
		m.reservedFor = suspect
	}
	return m
}
