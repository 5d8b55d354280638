//go:build review3

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// Prompts that crash servers, and the parts of each.
	limitPrompts = 6
	limitParts   = 640
	// Requests a second that the limited servers name.
	serverLimit = 4.0
	// Span of the rule LIMIT, and ContactMs of the site.
	limitWindow = 4 * time.Second
	contactTime = 3 * time.Second
)

// prefixLimit counts the requests that servers with a limit get, once a few prompts with
// several hundred parts have crashed other servers.
func prefixLimit(p *play) (string, bool) {
	p.startSite(serverLimit)
	c, e := context.WithCancel(context.Background())
	t := &traffic{play: p}
	for _, f := range p.fronts {
		t.run(c, f, 15, "/puxa403/", noPrefix, lookupTimeout)
		t.run(c, f, 3, "/lohu930/", shortPrefix, streamTimeout)
	}
	// All servers with a limit have named it to all machines by then.
	b := time.Now()
	time.Sleep(contactTime + 2*time.Second)
	p.sendCrashing(limitPrompts, limitParts, crashingTime)
	time.Sleep(25 * time.Second)
	e()
	t.answers()
	m, n := 0, ""
	for _, s := range p.servers {
		if s.limit == 0 {
			continue
		}
		s.mu.Lock()
		l := s.runsAt
		s.mu.Unlock()
		k, x := mostIn(l, b.Add(contactTime), limitWindow)
		p.record.add("server %s with a limit of %.1f a second got at most %d requests in %v, from %.3f s on", s.id, s.limit, k, limitWindow, x.Sub(p.record.begin).Seconds())
		if k > m {
			m, n = k, s.id
		}
	}
	a := 1.5*serverLimit*limitWindow.Seconds() + 5
	return fmt.Sprintf("most requests that a server with a limit of %.1f a second got in %v: %d (%s), allowed: %.0f", serverLimit, limitWindow, m, n, a), float64(m) > a
}

// mostIn returns the largest number of times in a window that begins after a time, and
// where that begins.
func mostIn(times []time.Time, after time.Time, window time.Duration) (int, time.Time) {
	m, x := 0, time.Time{}
	e := 0
	for b, t := range times {
		if t.Before(after) {
			continue
		}
		e = max(e, b)
		for e < len(times) && times[e].Sub(t) < window {
			e++
		}
		if e-b > m {
			m, x = e-b, t
		}
	}
	return m, x
}
