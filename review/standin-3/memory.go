//go:build review3

package main

import (
	"context"
	"fmt"
	"time"
)

// Requests a second of the callers at each front. The sheet has 9 on the mean and 17 at
// the peak.
const memoryRate = 30

// prefixMemory watches the memory of fronts whose callers send prompts with many parts,
// all of which are answered.
func prefixMemory(p *play) (string, bool) {
	p.startSite(0)
	c, e := context.WithCancel(context.Background())
	t := &traffic{play: p}
	k := 0
	for _, f := range p.fronts {
		t.run(c, f, memoryRate, "/lohu930/", func() string {
			if !p.trouble {
				return shortPrefix()
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			k++
			return distinctPrefix(k, longParts) + "," + randomID()[:6] + ":16"
		}, streamTimeout)
	}
	s, d := p.watchMemory(80 * time.Second)
	e()
	n := 0
	for _, a := range t.answers() {
		if a.status == 200 && a.err == nil {
			n++
		}
	}
	return fmt.Sprintf("%s; requests answered: %d", s, n), d
}

// watchMemory waits for a time, or until a front has more memory than its host, and
// reports whether one has.
func (p *play) watchMemory(duration time.Duration) (string, bool) {
	m := 0
	w := ""
	for b := time.Now(); time.Since(b) < duration; time.Sleep(time.Second) {
		for _, f := range p.fronts {
			n, h := f.memoryKB()
			p.record.add("memory of %s: %.1f MB", f.name, float64(n)/1024)
			if h > m {
				m, w = h, f.name
			}
			if f.hasExited() {
				return f.name + " has ended by itself", true
			}
		}
		if m > frontMemoryMB<<10 {
			break
		}
	}
	return fmt.Sprintf("most memory of a front: %.1f MB (%s), of its host: %d MB", float64(m)/1024, w, frontMemoryMB), m > frontMemoryMB<<10
}
