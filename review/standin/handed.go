//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	handedJobItems = 20
	// End of the id of the item that fails at each run, and the time that a run takes.
	failingItemEnd = "a03"
	failingRunTime = 1500 * time.Millisecond
	// Answers of 500 after which the rule allows no further run: three times the
	// attempts of the route.
	allowedFailures = 9
	// Failures of the item at its first front, and at a later one, before that is
	// stopped. A front gives the item up at six of its own, a later one at three.
	firstFailures, laterFailures = 4, 1
	takeoverLine                 = "batch: job run here from now on"
)

// handedOverItem has fronts stopped and started in turn, each while it runs a job with
// an item that fails at each run.
func handedOverItem(b *bed) (string, error) {
	b.setConfig(1, askRoute+","+jobsRoute)
	e := b.addEngines(4, engineBehaviour{slots: 8, events: 12, interval: 40 * time.Millisecond, fails: func(r *http.Request) bool {
		return strings.HasSuffix(r.URL.Path, failingItemEnd)
	}})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	if !c.submit(b.fronts, jobID, c.newItems(jobID, handedJobItems)) {
		return "", errors.New("job was not accepted")
	}
	o, n := b.fronts[0], firstFailures
	for range len(b.fronts) - 1 {
		if !b.awaitFailures(n) {
			break
		}
		n = int(failures(b.engines)) + 1 + laterFailures
		if !b.trouble {
			continue
		}
		// The next run has begun; the front ends it before it hands the job over.
		time.Sleep(failingRunTime / 2)
		o.signal(syscall.SIGTERM)
		go o.restart()
		o = b.awaitOwner(o)
		if o == nil {
			return "", errors.New("no front has taken the job over")
		}
		n = int(failures(b.engines)) + laterFailures
	}
	c.readAll(b.fronts[1], jobID, handedJobItems, 15*time.Second)
	f := failures(b.engines)
	b.add("the item was answered with 500 %d times", f)
	if f <= allowedFailures {
		return "", nil
	}
	return fmt.Sprintf("BUDGET: an item reaches a server after %d answers of 500, %d times in all", allowedFailures, f), nil
}

func failures(engines []*engine) int64 {
	n := int64(0)
	for _, g := range engines {
		n += g.failed.Load()
	}
	return n
}

// awaitFailures waits until the item has failed count times. It returns false if that
// takes too long.
func (b *bed) awaitFailures(count int) bool {
	for t := time.Now(); time.Since(t) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		if failures(b.engines) >= int64(count) {
			return true
		}
	}
	return false
}

// awaitOwner returns the front that takes the job over from another one.
func (b *bed) awaitOwner(from *front) *front {
	s := map[*front]int{}
	for _, f := range b.fronts {
		s[f] = f.takeovers()
	}
	for t := time.Now(); time.Since(t) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, f := range b.fronts {
			if f != from && f.takeovers() > s[f] {
				b.add("%s runs the job now", f.name)
				return f
			}
		}
	}
	return nil
}

// takeovers returns how often the front has taken a job over, by its log.
func (f *front) takeovers() int {
	l, e := os.ReadFile(f.logPath)
	if e != nil {
		return 0
	}
	return bytes.Count(l, []byte(takeoverLine))
}

// restart starts the front again once its process has exited, as the platform does.
func (f *front) restart() {
	f.mu.Lock()
	x := f.exited
	f.mu.Unlock()
	<-x
	f.add("%s: process has exited", f.name)
	e := f.start()
	if e != nil {
		f.add("%s: not started again: %v", f.name, e)
	}
}

// signal sends a signal to the process.
func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	c := f.cmd
	f.mu.Unlock()
	_ = c.Process.Signal(s)
	f.add("%s: signal %q sent", f.name, s)
}
