//go:build review3

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	lotItems = 10
	// DueMs and FinishS of the site: after both, an item is listed.
	lotTime = 36 * time.Second
)

// prefixLots submits batch jobs once a few prompts with several hundred parts have crashed
// servers, and looks which of their items have a result in the end.
func prefixLots(p *play) (string, bool) {
	p.startSite(0)
	c, e := context.WithCancel(context.Background())
	t := &traffic{play: p}
	for _, f := range p.fronts {
		t.run(c, f, 3, "/lohu930/", shortPrefix, streamTimeout)
		t.run(c, f, 3, "/puxa403/", noPrefix, lookupTimeout)
	}
	time.Sleep(3 * time.Second)
	p.sendCrashing(limitPrompts, limitParts, crashingTime)
	var l []string
	for _, f := range p.fronts {
		l = append(l, p.submit(f, lotItems))
	}
	time.Sleep(lotTime)
	n := 0
	for k, i := range l {
		_, x, _ := p.readResults(p.fronts[k], i, 0)
		p.record.add("batch job %s: %d of %d items listed", i, x, lotItems)
		n += x
	}
	e()
	t.answers()
	return fmt.Sprintf("items listed: %d of %d", n, lotItems*len(l)), n < lotItems*len(l)
}
