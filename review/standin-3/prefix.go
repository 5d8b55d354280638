//go:build review3

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	streamTimeout = 5 * time.Second
	lookupTimeout = 4 * time.Second
	// CONFIG counts requests without an answer this long after their route's timeout.
	timeoutSlack = 500 * time.Millisecond
	// Prompts that crash servers, in the case of timeouts.
	hangPrompts = 4
	// Time in which prompts that crash servers are sent.
	crashingTime = 25 * time.Second
)

const config = `{"Version":1,"Routes":[
	{"Name":"r-full","Hostname":"ficu95.example","PathPrefix":"/lohu930/","RouteType":"streaming","TimeoutMs":5000,"LatencyTargetMs":300,"Priority":0,"Service":"huvo11a","MaxAttempts":1,"SessionAffinity":true,"Resumable":false,"GapTargetMs":300},
	{"Name":"r-short","Hostname":"ficu95.example","PathPrefix":"/pufi791/","RouteType":"streaming","TimeoutMs":5000,"LatencyTargetMs":300,"Priority":0,"Service":"huvo11a","MaxAttempts":2,"SessionAffinity":true,"Resumable":true,"GapTargetMs":300},
	{"Name":"r-lots","Hostname":"ficu95.example","PathPrefix":"/pule252/","RouteType":"batch","TimeoutMs":15000,"LatencyTargetMs":400,"Priority":2,"Service":"huvo11a","MaxAttempts":3,"DueMs":18000,"MaxWaitS":60},
	{"Name":"r-look","Hostname":"ficu95.example","PathPrefix":"/puxa403/","RouteType":"idempotent","TimeoutMs":4000,"LatencyTargetMs":300,"Priority":2,"Service":"wuno96b","MaxAttempts":2}],
	"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":210,"Protocol":"h1","Tls":false,"Engine":{"Slots":8,"KvCapacity":147261,"KvTokenBytes":35136,"LinkMbps":1100000.0,"Models":[{"Name":"m"}]}},
	{"Name":"wuno96b","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
)

var zones = []string{"saskatoon", "regina", "winnipeg"}

// startSite starts a deployment with 18 engines and 3 plain servers, as the sheets name
// them, and one front in each zone.
func (p *play) startSite(limit float64) {
	p.startPlatform(config)
	for _, z := range zones {
		for range 6 {
			p.startBackend(engineService, z, 8, true, 0)
		}
		p.startBackend(plainService, z, 6, false, limit)
	}
	p.startFronts(zones...)
}

// sendCrashing sends prompts that crash each server that begins to run them, each again
// and again with the same path, caller and body at any machine, until it is refused or
// the time is over.
func (p *play) sendCrashing(prompts, parts int, duration time.Duration) {
	b := time.Now()
	var w sync.WaitGroup
	for n := range prompts {
		x := longPrefix(n+1, parts)
		w.Go(func() {
			for k := 0; time.Since(b) < duration; k++ {
				a := p.send(p.fronts[(n+k)%len(p.fronts)], fmt.Sprintf("/pufi791%s%d", crashMark, n), x, streamTimeout, "the same prompt")
				if a.status == 503 || !p.trouble && k >= 2 {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	w.Wait()
	time.Sleep(duration - time.Since(b))
}

// prefixHang counts ordinary requests without an answer half a second after the timeout
// of their route, once a few prompts with many parts have crashed servers.
func prefixHang(p *play) (string, bool) {
	p.startSite(0)
	c, e := context.WithCancel(context.Background())
	t := &traffic{play: p}
	for _, f := range p.fronts {
		t.run(c, f, 9, "/lohu930/", shortPrefix, streamTimeout)
		t.run(c, f, 3, "/puxa403/", noPrefix, lookupTimeout)
	}
	time.Sleep(5 * time.Second)
	p.sendCrashing(hangPrompts, longParts, crashingTime)
	time.Sleep(4 * time.Second)
	b := time.Now()
	time.Sleep(25 * time.Second)
	e()
	return judgeTimeouts(p, t.answers(), b)
}

// judgeTimeouts applies the rule on requests that outlast their timeout to those sent
// since a time.
func judgeTimeouts(p *play, answers []answer, since time.Time) (string, bool) {
	var n, l, u, s int
	for _, a := range answers {
		if a.sentAt.Before(since) {
			continue
		}
		n++
		m := streamTimeout
		if a.lookup() {
			m = lookupTimeout
		}
		if a.status == 200 && a.err == nil {
			s++
		}
		if a.after > 0 && a.after <= m {
			continue
		}
		l++
		if a.after == 0 || a.after > m+timeoutSlack {
			u++
		}
	}
	t := fmt.Sprintf("ordinary requests: %d, served in the end: %d, without an answer at their route's timeout: %d, of these also half a second later: %d", n, s, l, u)
	return t, u >= 8 && 2*u > l
}
