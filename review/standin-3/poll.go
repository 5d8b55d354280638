//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// Callers that wait for results of one open job at one front.
	pollers = 900
	// Time in which ordinary requests are counted.
	pollTime = 30 * time.Second
	// Events of the items of a job that stays open for the whole case.
	openEvents = 10_000
)

// pollCrowd applies the rule on requests that outlast their timeout to ordinary ones while a crowd waits there for
// the next result of an open job, each caller again and again on its connection.
func pollCrowd(p *play) (string, bool) {
	p.startSite(0)
	f := p.fronts[0]
	p.itemEvents = openEvents
	j, _ := p.submit(f, 2)
	c, e := context.WithCancel(context.Background())
	var n atomic.Int64
	if p.trouble {
		for range pollers {
			go p.poll(c, f, j, &n)
		}
	}
	time.Sleep(5 * time.Second)
	t := &traffic{play: p, fresh: true}
	d, x := context.WithTimeout(c, pollTime)
	t.run(d, f, 9, "/lohu930/", shortPrefix, streamTimeout)
	t.run(d, f, 3, "/puxa403/", noPrefix, lookupTimeout)
	time.Sleep(pollTime / 2)
	r, y := http.Get("http://" + f.readyAddress + "/ready")
	check(y)
	_ = r.Body.Close()
	p.record.add("ready path of %s: status %d", f.name, r.StatusCode)
	<-d.Done()
	x()
	l := t.answers()
	e()
	p.record.add("polls answered: %d", n.Load())
	s, k := judgeTimeouts(p, l, time.Time{})
	return fmt.Sprintf("%s; ready path: %d; polls answered: %d", s, r.StatusCode, n.Load()), k
}

// poll waits for results of a job on one connection until ctx ends.
func (p *play) poll(ctx context.Context, f *front, job string, answered *atomic.Int64) {
	for ctx.Err() == nil {
		n, e := net.DialTimeout("tcp", f.apiAddress, 5*time.Second)
		if e != nil {
			pause(ctx, time.Second)
			continue
		}
		x := context.AfterFunc(ctx, func() { _ = n.Close() })
		r := bufio.NewReader(n)
		for e == nil {
			_, e = fmt.Fprintf(n, "GET %s%s?After=0 HTTP/1.1\r\nHost: %s\r\nX-Wait-Ms: 1000\r\n\r\n", resultsPath, job, callerHost)
			if e != nil {
				break
			}
			var a *http.Response
			a, e = http.ReadResponse(r, nil)
			if e == nil {
				_, e = io.Copy(io.Discard, a.Body)
				answered.Add(1)
			}
		}
		x()
		_ = n.Close()
	}
}
