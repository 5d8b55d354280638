//go:build review3

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// The most items of a job that the pages allow.
	lotItems = 200
	// DueMs and FinishS of the site: after both, an item is listed.
	lotTime = 36 * time.Second
	// Runners and slots as on the grown site, so that they are never half full.
	lotRunners = 90
	lotSlots   = 7
	// Spans of the rule LOST before its end.
	calmTime, noneDoneTime = 5 * time.Second, 3 * time.Second
	// A run that its sender ends within it counts neither as had nor as failed.
	shortRun = time.Second
)

// itemRun is what a backend server has seen of one run of an item.
type itemRun struct {
	item       string
	begin, end time.Time
	// All events were sent.
	done bool
}

// prefixLots submits batch jobs once a few prompts with several hundred parts have crashed
// servers, and applies the rule on items that are left without a result.
func prefixLots(p *play) (string, bool) {
	p.startPlatform(config)
	for n := range lotRunners {
		p.startBackend(engineService, zones[n%len(zones)], lotSlots, true, 0)
	}
	for _, z := range zones {
		p.startBackend(plainService, z, 6, false, 0)
	}
	p.startFronts(zones...)
	c, e := context.WithCancel(context.Background())
	t := &traffic{play: p}
	for _, f := range p.fronts {
		t.run(c, f, 3, "/lohu930/", shortPrefix, streamTimeout)
		t.run(c, f, 3, "/puxa403/", noPrefix, lookupTimeout)
	}
	time.Sleep(3 * time.Second)
	p.sendCrashing(limitPrompts, limitParts, crashingTime)
	l := map[string]bool{}
	var j []string
	for _, f := range p.fronts {
		i, k := p.submit(f, lotItems)
		j = append(j, i)
		for _, x := range k {
			l[x] = true
		}
	}
	time.Sleep(lotTime)
	o := time.Now()
	for k, i := range j {
		for _, x := range p.listed(p.fronts[k], i) {
			delete(l, x)
		}
	}
	e()
	t.answers()
	return p.judgeLots(l, lotItems*len(j), o)
}

// judgeLots applies the rule LOST to the items without a result at a time.
func (p *play) judgeLots(unlisted map[string]bool, all int, at time.Time) (string, bool) {
	p.mu.Lock()
	l := p.itemRuns
	p.mu.Unlock()
	// Runs, those of unlisted items that count as had, and items done lately.
	var n, h, d int
	for _, r := range l {
		if r.begin.After(at) {
			continue
		}
		n++
		z := r.end.IsZero() || r.end.After(at)
		if (z || at.Sub(r.end) < calmTime) && unlisted[r.item] && (r.done || r.length(at) >= shortRun) {
			h++
		}
		if !z && r.done && at.Sub(r.end) < noneDoneTime {
			d++
		}
	}
	m := mostAtOnce(l, at)
	s := fmt.Sprintf("items without a result %v after their jobs' 202: %d of %d, runs of items: %d; in the last %v runs of these that count as had: %d, most runs at once: %d of %d slots; items done in the last %v: %d",
		lotTime, len(unlisted), all, n, calmTime, h, m, lotRunners*lotSlots, noneDoneTime, d)
	return s, len(unlisted) > 0 && h == 0 && d == 0 && 2*m < lotRunners*lotSlots
}

func (r *itemRun) length(at time.Time) time.Duration {
	if r.end.IsZero() || r.end.After(at) {
		return at.Sub(r.begin)
	}
	return r.end.Sub(r.begin)
}

// mostAtOnce returns the largest number of runs at the same time in the calm time.
func mostAtOnce(runs []*itemRun, at time.Time) int {
	m := 0
	for b := at.Add(-calmTime); b.Before(at); b = b.Add(10 * time.Millisecond) {
		n := 0
		for _, r := range runs {
			if r.begin.Before(b) && (r.end.IsZero() || r.end.After(b)) {
				n++
			}
		}
		m = max(m, n)
	}
	return m
}
